package document_test

import (
	"strings"
	"testing"

	"sniperail.example/sniperail/internal/document"
	"sniperail.example/sniperail/internal/model"
)

// Guards against a record of another writer that crashes the daemon or names a target which cannot be called.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"daemon":"d","service":"s","state":"ready","slots":4,"address":"10.0.0.1:80","peerAddress":"10.0.0.1:65536"}`))
	f.Add([]byte(`{"id":"m","service":"s","step":1,"steps":[{"share":1e400}],"canaries":["a",7]}`))
	f.Add([]byte(strings.Repeat(`{"steps":[`, 6000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		if target, err := (document.JSON{}).DecodeTarget(data); err == nil && (target.Slots < 1 || !target.State.IsKnown() || target.Address == "") {
			t.Fatalf("an unusable target was accepted: %+v", target)
		}
		m, err := document.JSON{}.DecodeMove(data)
		if err != nil {
			return
		}
		if m.Step < -1 || m.Step >= len(m.Steps) {
			t.Fatalf("a move at step %d of %d was accepted", m.Step, len(m.Steps))
		}
		for _, step := range m.Steps {
			if step.Share < 0 || step.Share > model.FullShare {
				t.Fatalf("a share of %d was accepted", step.Share)
			}
		}
	})
}
