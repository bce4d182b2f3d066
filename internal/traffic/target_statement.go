package traffic

import (
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sniperail.example/sniperail/internal/model"
)

// maxRateLimit is the largest rate limit, in calls per second, that is taken from a target. No target serves as many.
const maxRateLimit = 1e6

// targetStatement is what a target says of itself in a response.
type targetStatement struct {
	// limited says that the target names a rate limit, which is perSecond, or cannot be read if invalid is set.
	limited   bool
	perSecond float64
	invalid   bool
	// leaving says that the target is leaving.
	leaving bool
	// coldFor is the time for which the target is still cold; 0 if it does not say.
	coldFor time.Duration
}

// parseTargetStatement reads the statement of a target. Of several limits the lowest one counts.
func parseTargetStatement(names Headers, h http.Header) targetStatement {
	s := targetStatement{leaving: saysLeaving(names, h)}
	s.coldFor, _ = WarmupLeft(names, h)
	if names.TargetRateLimit == "" {
		return s
	}
	for _, value := range h.Values(names.TargetRateLimit) {
		for text := range strings.SplitSeq(value, ",") {
			perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
				s.invalid = true
				continue
			}
			if perSecond = min(perSecond, maxRateLimit); !s.limited || perSecond < s.perSecond {
				s.limited, s.perSecond = true, perSecond
			}
		}
	}
	return s
}

// maxWarmup is the longest time for which a target is believed to be cold.
const maxWarmup = time.Hour

// WarmupLeft returns the time for which a target is still cold by one of its responses. It reports false if the response does not
// name it, or in a form that cannot be read.
func WarmupLeft(names Headers, h http.Header) (time.Duration, bool) {
	if names.TargetWarmup == "" {
		return 0, false
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(h.Get(names.TargetWarmup)), 64)
	if err != nil || !(ms >= 0) {
		return 0, false
	}
	return time.Duration(min(ms, float64(maxWarmup.Milliseconds())) * float64(time.Millisecond)), true
}

// saysLeaving reports whether a response says that its target is leaving.
func saysLeaving(names Headers, h http.Header) bool {
	return names.TargetLeaving != "" && h.Get(names.TargetLeaving) == "1"
}

// targetRun identifies one run of a target, which a later run under the same name does not share.
type targetRun struct {
	instance model.InstanceID
	born     int64
}

func runOf(t *model.Target) targetRun { return targetRun{t.Instance, t.Born} }

// maxLeavingRuns is the number of runs that leavingRuns holds at most. It bounds the memory; older runs have ended long ago.
const maxLeavingRuns = 4096

// leavingRuns holds the runs of targets that have said in a response that they are leaving. A run that leaves does not return;
// a later run of the same target has another start time.
type leavingRuns struct {
	mu    sync.Mutex
	known atomic.Pointer[map[targetRun]struct{}]
	order []targetRun
}

// add adds a run and reports whether it is new.
func (l *leavingRuns) add(run targetRun) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.contains(run) {
		return false
	}
	next := map[targetRun]struct{}{run: {}}
	if known := l.known.Load(); known != nil {
		maps.Copy(next, *known)
	}
	if l.order = append(l.order, run); len(l.order) > maxLeavingRuns {
		delete(next, l.order[0])
		l.order = l.order[1:]
	}
	l.known.Store(&next)
	return true
}

func (l *leavingRuns) contains(run targetRun) bool {
	known := l.known.Load()
	if known == nil {
		return false
	}
	_, ok := (*known)[run]
	return ok
}

// rateReport is the content of HeaderRate: the rate limit of a target in calls per second, and the time until it has room for
// another call. The header is missing while the target has no limit.
type rateReport struct {
	perSecond float64
	wait      time.Duration
}

func (r rateReport) String() string {
	return strconv.FormatFloat(r.perSecond, 'f', -1, 64) + " " + formatMicros(r.wait)
}

// parseRate parses HeaderRate. An invalid header counts as none.
func parseRate(text string) rateReport {
	rate, wait, _ := strings.Cut(text, " ")
	perSecond, err := strconv.ParseFloat(rate, 64)
	micros, waitErr := strconv.ParseInt(wait, 10, 64)
	if err != nil || waitErr != nil || !(perSecond > 0) || perSecond > maxRateLimit || micros < 0 {
		return rateReport{}
	}
	return rateReport{perSecond, time.Duration(micros) * time.Microsecond}
}
