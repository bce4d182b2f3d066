package rollouts

import (
	"container/heap"
	"time"

	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

// target is a simulated target with its slots.
type target struct {
	model.Target
	// pace is the factor by which its calls take longer than the mean.
	pace float64
	// freeAt holds the time at which each occupied slot is free, those of waiting calls included.
	freeAt    times
	sums      map[model.OutcomeKey]*model.OutcomeSum
	arrivedAt time.Time
}

// times is a heap of times, the earliest first.
type times []time.Time

func (t times) Len() int           { return len(t) }
func (t times) Less(i, j int) bool { return t[i].Before(t[j]) }
func (t times) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(time.Time)) }
func (t *times) Pop() any          { old := *t; last := old[len(old)-1]; *t = old[:len(old)-1]; return last }

// outstanding returns the calls that run or wait at the target.
func (t *target) outstanding(now time.Time) int {
	for len(t.freeAt) > 0 && !t.freeAt[0].After(now) {
		heap.Pop(&t.freeAt)
	}
	return len(t.freeAt)
}

// start returns when a call that arrives now begins.
func (t *target) start(now time.Time) time.Time {
	waiting := t.outstanding(now) - t.Slots
	if waiting < 0 {
		return now
	}
	// The slot of the call is freed by the call that ends after as many others as wait.
	ends := append(times{}, t.freeAt...)
	for range waiting {
		heap.Pop(&ends)
	}
	return ends[0]
}

func (t *target) occupy(until time.Time) { heap.Push(&t.freeAt, until) }

func (t *target) record(key model.OutcomeKey, failed bool, took time.Duration) {
	sum := t.sums[key]
	if sum == nil {
		sum = &model.OutcomeSum{}
		t.sums[key] = sum
	}
	sum.Observe(failed, took)
}

// loads implements routing.LoadProvider with the true load of each target.
type loads struct {
	fleet *fleet
	now   time.Time
}

func (l loads) Load(t *model.Target) routing.TargetLoad {
	known := l.fleet.byDaemon[t.Daemon]
	took := time.Duration(known.pace * float64(meanExecutionTime))
	return routing.TargetLoad{
		Outstanding: float64(known.outstanding(l.now)), Slots: known.Slots, ExecutionTime: took, MeanExecutionTime: took, Fresh: true,
	}
}
