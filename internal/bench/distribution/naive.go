package distribution

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/bench/fleet"
	"sniperail.example/sniperail/internal/model"
)

const (
	// storeCallsPerSecond is how many reads or watch deliveries per second the platform serves in the baselines.
	storeCallsPerSecond = 2000
	// pollInterval is the interval of the polling baseline; its mean convergence time is at least half of it.
	pollInterval = 5 * time.Second
)

// Naive is the result of a baseline in which every daemon gets the whole configuration document from the platform.
// Membership is left out, which favours the baseline.
type Naive struct {
	Name                 string
	P50, P99, Max        time.Duration
	BytesPerDaemon       float64
	Reads, Writes, Watch float64
}

func documentSize(c *model.Configuration) int {
	data, err := fleet.Codec{}.EncodeConfiguration(c)
	if err != nil {
		panic(errors.Wrap(err, "encode configuration"))
	}
	return len(data)
}

// simulateWatches simulates a baseline in which every daemon holds a watch on the document; the platform sends the whole
// document to each of them.
func simulateWatches(o Options, c *model.Configuration) Naive {
	n := Naive{Name: "every daemon watches"}
	var samples []time.Duration
	free := time.Duration(0)
	deliver := func(at time.Duration) {
		for range o.Daemons {
			free = max(free, at) + time.Second/storeCallsPerSecond
			samples = append(samples, free-at+storeDelay)
		}
	}
	span := time.Duration(o.Changes+1) * changeInterval
	for i := range o.Changes {
		deliver(time.Duration(i) * changeInterval)
	}
	for i := range burstChanges {
		deliver(time.Duration(o.Changes)*changeInterval + time.Duration(i)*burstInterval)
	}
	n.P50, n.P99, n.Max = percentiles(samples)
	n.BytesPerDaemon = float64(len(samples)*documentSize(c)) / float64(o.Daemons) / span.Seconds()
	n.Reads = float64(len(samples)) / span.Seconds()
	n.Watch = float64(o.Daemons)
	return n
}

// simulatePolls simulates a baseline in which every daemon reads the document once per pollInterval, at a random phase.
func simulatePolls(o Options, c *model.Configuration) Naive {
	n := Naive{Name: "every daemon polls each " + pollInterval.String()}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	var samples []time.Duration
	for range o.Changes + burstChanges {
		for range o.Daemons {
			samples = append(samples, time.Duration(random.Int64N(int64(pollInterval)))+storeDelay)
		}
	}
	n.P50, n.P99, n.Max = percentiles(samples)
	n.Reads = float64(o.Daemons) / pollInterval.Seconds()
	n.BytesPerDaemon = float64(documentSize(c)) / pollInterval.Seconds()
	return n
}
