package traffic

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sniperail.example/sniperail/internal/model"
)

// Guards against the states of peers, the end of the requests of a daemon that stops, and the age of the latest call being kept as times
// of day, which a jump of the clock moves. A test can't set the clock, so it requires that the monotonic reading is kept.
func TestTimesInAtomicsAreMonotonic(t *testing.T) {
	is := is.New(t)
	isMonotonic := func(at time.Time) bool { return strings.Contains(at.String(), " m=") }
	now := time.Now()
	is.True(isMonotonic(fromMonotonic(monotonic(now))))
	is.True(fromMonotonic(monotonic(now)).Equal(now))
	is.True(monotonic(now.Add(-time.Hour)) > 0 && monotonic(time.Unix(0, 0)) > 0) // 0 stands for no time

	var stop stopLimit
	stop.set(now.Add(time.Second))
	deadline, refused := stop.apply(now.Add(time.Minute))
	is.True(refused == nil && isMonotonic(deadline))

	in := NewInbound(InboundOptions{Limits: DefaultLimits()})
	in.lastSent.Store(monotonic(now))
	is.True(isMonotonic(in.lastSentAt()))

	q := newPriorityQueue()
	q.setTarget(&model.Target{State: model.TargetReady, Slots: 1, WarmAt: now.Add(time.Minute)}, TargetConditions{WarmupPerSecond: 4})
	is.True(isMonotonic(q.warmAt))
}
