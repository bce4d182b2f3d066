package once

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sniperail.example/sniperail/internal/command/claims"
)

// Guards against a stored record that crashes the guard, that lets a request run, or that leads to the replay of an
// incomplete response.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"x","owner":"d","phase":"running","deadline_ms":1000}`))
	f.Add([]byte(`{"id":"x","phase":"done","status":201,"header":{"A":["b"]},"body":"eA=="}`))
	f.Add([]byte(`{"phase":"done"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded := decodeRecord(data)
		decision := claims.DecideClaimed(claims.DefaultConfig("d"), decoded, time.Unix(0, 0))
		switch {
		case decision.Kind == claims.Run || decision.Kind == claims.Refused:
			t.Fatalf("a foreign record led to %s", decision.Kind)
		case decision.Kind == claims.Replay && decision.Response.Status < 100:
			t.Fatalf("replay without status")
		}
		encoded, err := encodeRecord(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(decoded, decodeRecord(encoded)); diff != "" && decoded.Phase != "" {
			t.Fatalf("a record changes when it is written again:\n%s", diff)
		}
	})
}
