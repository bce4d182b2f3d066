package platform

import (
	"time"

	"golang.org/x/time/rate"

	"sniperail.example/sniperail/internal/store"
)

// KindWatch counts watches. A waiting watch is one call and counts as a read.
const KindWatch store.Kind = "watch"

// DownMode says how the service fails while it is down.
type DownMode string

// Modes of failure.
const (
	// Up: calls are served.
	Up DownMode = ""
	// DownRefuse: calls are answered with "no leader", which excludes an effect.
	DownRefuse DownMode = "refuse"
	// DownDrop: connections are closed without an answer and without an effect.
	DownDrop DownMode = "drop"
)

// Faults are the faults that the service shows. Absent fields of a request leave the present value.
type Faults struct {
	// Down is "", "refuse" or "drop". Going down ends all watches; leases still expire.
	Down *DownMode `json:"down,omitempty"`
	// SlowMS delays each call before its effect, also if the caller gives up meanwhile.
	SlowMS *int `json:"slow_ms,omitempty"`
	// LoseAnswers drops the connection of the next writes after they took effect.
	LoseAnswers *int `json:"lose_answers,omitempty"`
	// LapseLease ends a lease now.
	LapseLease int64 `json:"lapse_lease,omitempty"`
	// LapseKey ends the lease of a key now.
	LapseKey string `json:"lapse_key,omitempty"`
	// EndWatches ends all watches now.
	EndWatches bool `json:"end_watches,omitempty"`
}

// Limits bound the calls per second; 0 is no limit. Calls over a limit are answered with 429 and have no effect.
type Limits struct {
	WritesPerSecond int
	ReadsPerSecond  int
}

// Counts is the number of calls so far.
type Counts struct {
	// Calls counts by kind, served or not.
	Calls map[store.Kind]int64 `json:"calls"`
	// Refused counts calls over a limit, Dropped calls that a fault left without an answer.
	Refused int64 `json:"refused"`
	Dropped int64 `json:"dropped"`
	// OpenWatches is the number of watches now.
	OpenWatches int `json:"open_watches"`
	Keys        int `json:"keys"`
	Leases      int `json:"leases"`
	// PeakWrites and PeakReads are the largest counts within one second of the clock.
	PeakWrites int64 `json:"peak_writes_per_second"`
	PeakReads  int64 `json:"peak_reads_per_second"`
	Revision   int64 `json:"revision"`
}

// meter counts and limits calls. The loop goroutine owns it.
type meter struct {
	calls            map[store.Kind]int64
	refused, dropped int64
	second           int64
	writes, reads    int64
	peakWrites       int64
	peakReads        int64
	writeLimit       *rate.Limiter
	readLimit        *rate.Limiter
}

func newMeter(limits Limits) *meter {
	return &meter{
		calls: map[store.Kind]int64{}, writeLimit: limiter(limits.WritesPerSecond), readLimit: limiter(limits.ReadsPerSecond),
	}
}

// limiter allows bursts of one second's calls.
func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// admit counts a call and reports whether the limits allow it.
func (m *meter) admit(kind store.Kind, now time.Time) bool {
	m.calls[kind]++
	if second := now.Unix(); second != m.second {
		m.second, m.writes, m.reads = second, 0, 0
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
