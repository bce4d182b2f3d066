package quota

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/peer"
)

// byteCounter counts what is written to it.
type byteCounter int

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

// wireSize returns the bytes of a message with its header, as internal/peer encodes it.
func wireSize(body any) int {
	var n byteCounter
	e := peer.NewEncoder(&n)
	header := &peer.Header{Layout: peer.Layout, Method: "Command.Quota", Seq: 1000}
	for _, part := range []any{header, body} {
		if err := e.Encode(part); err != nil {
			panic(errors.Wrap(err, "encode")) // the messages are those of internal/peer
		}
	}
	return int(n)
}

// WorstWindow returns the most executions within a window, and the time of its first one. Windows that begin before from are not counted.
func WorstWindow(executed []time.Duration, window, from time.Duration) (most int, at time.Duration) {
	executed = slices.Sorted(slices.Values(executed))
	last := 0
	for i, start := range executed {
		for last < len(executed) && executed[last] < start+window {
			last++
		}
		if n := last - i; n > most && start >= from {
			most, at = n, start
		}
	}
	return most, at
}

// worstShare returns the executions in the worst window of any tenant, as a part of what its limit allows.
func worstShare(tenants []*Tenant, from time.Duration, executed func(*Tenant) []time.Duration) float64 {
	worst := 0.0
	for _, t := range tenants {
		n, _ := WorstWindow(executed(t), t.Limit.Window, from)
		worst = max(worst, float64(n)/t.Limit.Allowed())
	}
	return worst
}
