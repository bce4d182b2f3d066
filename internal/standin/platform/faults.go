package platform

import (
	"time"

	"golang.org/x/time/rate"

	"sniperail.example/sniperail/internal/store"
)

// KindWatch is the kind under which watches are counted. An open watch counts as one read.
const KindWatch store.Kind = "watch"

// DownMode is the way in which calls fail during an outage.
type DownMode string

// Modes of an outage.
const (
	// Up means that there is no outage: calls are served.
	Up DownMode = ""
	// DownRefuse means that the response to each call is the error "no leader", which proves that it had no effect.
	DownRefuse DownMode = "refuse"
	// DownDrop means that connections are closed without a response and calls have no effect.
	DownDrop DownMode = "drop"
)

// Faults are the faults that the service injects. A field that is absent in a request leaves its fault as it is.
type Faults struct {
	// Down is "", "refuse" or "drop". An outage ends all watches; leases still expire.
	Down *DownMode `json:"down,omitempty"`
	// SlowMS delays the effect of each call, which takes place even if the caller cancels the call in the meantime.
	SlowMS *int `json:"slow_ms,omitempty"`
	// LoseAnswers is the number of the next writes whose connections are closed without a response after they took effect.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// LapseLease is a lease that ends now.
	LapseLease int64 `json:"lapse_lease,omitempty"`
	// LapseKey is a key whose lease ends now.
	LapseKey string `json:"lapse_key,omitempty"`
	// EndWatches ends all watches now.
	EndWatches bool `json:"end_watches,omitempty"`
}

// Limits bound the calls per second; 0 means no limit. The response to a call over a limit has status 429, and the call has
// no effect.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Counts are the numbers of calls so far and the current size of the state.
type Counts struct {
	// Calls counts the calls by kind, including those that were not served.
	Calls map[store.Kind]int64 `json:"calls"`
	// Refused counts the calls over a limit, Dropped the calls that got no response because of a fault.
	Refused int64 `json:"refused"`
	Dropped int64 `json:"dropped"`
	// OpenWatches is the current number of watches.
	OpenWatches int `json:"open_watches"`
	Keys        int `json:"keys"`
	Leases      int `json:"leases"`
	// PeakWrites and PeakReads are the largest numbers of calls within one calendar second.
	PeakWrites int64 `json:"peak_writes_per_second"`
	PeakReads  int64 `json:"peak_reads_per_second"`
	Revision   int64 `json:"revision"`
}

// callMeter counts and limits calls. The loop goroutine owns it.
type callMeter struct {
	calls            map[store.Kind]int64
	refused, dropped int64
	currentSecond    int64
	writes, reads    int64
	peakWrites       int64
	peakReads        int64
	writeLimit       *rate.Limiter
	readLimit        *rate.Limiter
}

func newMeter(limits Limits) *callMeter {
	return &callMeter{
		calls: map[store.Kind]int64{}, writeLimit: newLimiter(limits.WritesPerSecond), readLimit: newLimiter(limits.ReadsPerSecond),
	}
}

// newLimiter returns a limiter whose burst is the number of calls per second.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// admit counts a call and reports whether the limits allow it.
func (m *callMeter) admit(kind store.Kind, now time.Time) bool {
	m.calls[kind]++
	if second := now.Unix(); second != m.currentSecond {
		m.currentSecond, m.writes, m.reads = second, 0, 0
	}
	limit := m.readLimit
	if isWrite(kind) {
		m.writes++
		m.peakWrites = max(m.peakWrites, m.writes)
		limit = m.writeLimit
	} else {
		m.reads++
		m.peakReads = max(m.peakReads, m.reads)
	}
	if limit.AllowN(now, 1) {
		return true
	}
	m.refused++
	return false
}

func isWrite(kind store.Kind) bool { return kind != KindWatch && kind.IsWrite() }
