package queries_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/cli/output"
	"sniperail.example/sniperail/internal/cli/queries"
)

const callerLog = `ts=2026-12-04T12:00:00Z level=info event=configuration number=7 revision=2
ts=2026-12-04T12:00:01Z level=info event=peer-changed daemon=b state=ready
ts=2026-12-04T12:00:01.5Z level=info event=peer-changed daemon=elsewhere state=ready
ts=2026-12-04T12:00:02Z level=info event=configuration number=8 revision=3
ts=2026-12-04T12:00:03Z level=info event=attempt-failed request=r1 daemon=b outcome=connection-lost next=may-have-executed
ts=2026-12-04T12:00:03.1Z level=info event=request-refused request=r1 service=s reason=connection-lost
ts=2026-12-04T12:00:03.2Z level=info event=request-answered request=r12 daemon=b status=200
ts=2026-12-04T12:00:04Z level=info event=configuration number=9 revision=4
a line that is cu`

const targetLog = `ts=2026-12-04T12:00:00Z level=info event=target-changed instance=i state=ready
ts=2026-12-04T12:00:02.9Z level=info event=call-refused request=r1 reason=connection-lost detail="a \"quoted\" text"
`

// Guards against an explanation that is out of order, contains lines of other requests, or shows a state that a daemon
// reached only after its first line of the request.
func TestExplainShowsOneRequestInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := queries.Session{Printer: output.Printer{Out: &out, Format: output.FormatTable}}
	is.NoErr(s.Explain("r1", []queries.LogSource{
		{Name: "caller", Read: strings.NewReader(callerLog)}, {Name: "target", Read: strings.NewReader(targetLog)},
		{Name: "other", Read: strings.NewReader("ts=2026-12-04T12:00:00Z level=info event=configuration number=1\n")},
	}))
	want := []string{
		"target believed target-changed state=ready", "caller believed peer-changed daemon=b", "caller believed configuration number=8",
		`target request call-refused detail=a "quoted" text`, "caller request attempt-failed", "caller request request-refused",
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	is.Equal(len(lines), len(want))
	for i, line := range lines {
		for word := range strings.FieldsSeq(want[i]) {
			is.True(strings.Contains(line, word)) // each line contains the words in any order
		}
	}
	out.Reset()
	is.NoErr(s.Explain("nobody", nil))
	is.Equal(out.String(), "no line of request nobody\n")
}
