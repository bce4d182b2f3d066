// Package latency measures the latency and the processor time that the two daemons on the path of a call add to it.
package latency

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sniperail.example/sniperail/internal/bench/openloop"
	"sniperail.example/sniperail/internal/command/admission"
	"sniperail.example/sniperail/internal/standin/target"
	"sniperail.example/sniperail/internal/traffic"
)

// Options describe a measurement.
type Options struct {
	// Sizes of responses in bytes; 1 KB and 64 KB if empty.
	Sizes []int
	// Loads are fractions of the measured capacity through both daemons; 0.3 and 0.7 if empty.
	Loads []float64
	// Duration of each run; 5 s if zero.
	Duration time.Duration
	Seed     uint64
	// Workers of the load generator; 64 if zero.
	Workers int
}

// Row holds the figures for one size and load. Latencies are in microseconds.
type Row struct {
	Size int
	Load float64
	// Rate is the number of calls per second, Capacity the closed-loop maximum through both daemons.
	Rate, Capacity  float64
	Direct, Through Percentiles
	Added           Percentiles
	// QuietP99 is the added p99 in the median round, since other work on the host can disturb single rounds.
	QuietP99 float64
	Failed   int64
	// CPUMicros is the processor time that both daemons add per call at this load.
	CPUMicros float64
	// CallsPerCore is how many calls per second one core can pass through both daemons when all cores are busy, without
	// the processor time of client and target. Allocations are the heap allocations that both daemons add per call then.
	CallsPerCore, Allocations float64
}

// Percentiles are latencies in microseconds.
type Percentiles struct{ P50, P99, P999 float64 }

func percentiles(r openloop.Result) Percentiles {
	return Percentiles{r.LatencyMicros(50), r.LatencyMicros(99), r.LatencyMicros(99.9)}
}

func (p Percentiles) minus(q Percentiles) Percentiles {
	return Percentiles{p.P50 - q.P50, p.P99 - q.P99, p.P999 - q.P999}
}

// String formats a row as one line.
func (r Row) String() string {
	return fmt.Sprintf("size=%d load=%.0f%% rate=%.0f/s capacity=%.0f/s direct=%v through=%v added=%v quiet_p99=%.0f failed=%d cpu=%.1fus calls_per_core=%.0f/s allocations=%.0f",
		r.Size, r.Load*100, r.Rate, r.Capacity, r.Direct, r.Through, r.Added, r.QuietP99, r.Failed, r.CPUMicros, r.CallsPerCore, r.Allocations)
}

func (o Options) withDefaults() Options {
	if len(o.Sizes) == 0 {
		o.Sizes = []int{1 << 10, 64 << 10}
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.3, 0.7}
	}
	if o.Duration == 0 {
		o.Duration = 5 * time.Second
	}
	if o.Workers == 0 {
		o.Workers = 64
	}
	return o
}

// Run measures each size at each load, directly and through both daemons, at the same rate and with the same arrivals.
func Run(ctx context.Context, o Options) ([]Row, error) {
	o = o.withDefaults()
	defer debug.SetGCPercent(debug.SetGCPercent(traffic.GCPercent))
	var rows []Row
	for _, size := range o.Sizes {
		// More slots than workers: calls must not wait for admission.
		mesh, err := openloop.NewMesh(admission.Settings{Slots: 2 * o.Workers, Connections: 4 * o.Workers, Queue: o.Workers},
			target.Config{Name: "t", Version: "v1", Slots: 4 * o.Workers, Bad: target.BadNone, ColdFactor: 1, AnswerBytes: size})
		if err != nil {
			return rows, errors.Wrap(err, "mesh")
		}
		measured, err := measureSize(ctx, o, mesh, size)
		mesh.Close()
		rows = append(rows, measured...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

func measureSize(ctx context.Context, o Options, mesh *openloop.Mesh, size int) ([]Row, error) {
	client := openloop.NewClient(o.Workers)
	defer client.CloseIdleConnections()
	_, direct, err := measureCapacity(ctx, o, client, mesh.TargetURLs[0]+"/c")
	if err != nil {
		return nil, err
	}
	capacity, through, err := measureCapacity(ctx, o, client, mesh.IngressURL+"/c")
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, fraction := range o.Loads {
		row := Row{
			Size: size, Load: fraction, Rate: capacity * fraction, Capacity: capacity,
			CallsPerCore: 1e6 / (through.cpu - direct.cpu), Allocations: through.allocations - direct.allocations,
		}
		if err := measureAdded(ctx, o, client, mesh, &row); err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// rounds is how many times the direct path and the path through the daemons alternate, so that other work on the host
// disturbs both alike.
const rounds = 9

// measureAdded measures both paths at the rate of a row, and sets the latencies and the processor time of the row.
func measureAdded(ctx context.Context, o Options, client *http.Client, mesh *openloop.Mesh, row *Row) error {
	var sums [2]openloop.Result
	var cpu [2]float64
	var added []float64
	for round := range rounds {
		var p99 [2]float64
		for path, url := range []string{mesh.TargetURLs[0], mesh.IngressURL} {
			before, _ := processUsage()
			result, err := openloop.Run(ctx, client, openloop.Options{
				URL: url + "/c", Rate: row.Rate, Duration: o.Duration / rounds, Seed: o.Seed + uint64(round), Workers: o.Workers,
			})
			if err != nil {
				return errors.Wrap(err, "load")
			}
			after, _ := processUsage()
			cpu[path] += float64(after-before) / 1e3
			p99[path] = result.LatencyMicros(99)
			sums[path].Add(result)
		}
		added = append(added, p99[1]-p99[0])
	}
	slices.Sort(added)
	row.Direct, row.Through, row.QuietP99 = percentiles(sums[0]), percentiles(sums[1]), added[rounds/2]
	row.Added, row.Failed = row.Through.minus(row.Direct), sums[0].Failed+sums[1].Failed
	row.CPUMicros = cpu[1]/float64(max(sums[1].Sent, 1)) - cpu[0]/float64(max(sums[0].Sent, 1))
	return nil
}

// measureCapacity returns the closed-loop maximum in calls per second, and what a call uses at that rate.
func measureCapacity(ctx context.Context, o Options, client *http.Client, url string) (float64, callUsage, error) {
	cpu, allocations := processUsage()
	start := time.Now()
	rate, err := openloop.RunClosedLoop(ctx, client, openloop.Options{URL: url, Duration: o.Duration / 2, Workers: o.Workers})
	if err != nil {
		return 0, callUsage{}, errors.Wrap(err, "capacity")
	}
	calls := max(rate*time.Since(start).Seconds(), 1)
	cpuAfter, allocationsAfter := processUsage()
	return rate, callUsage{float64(cpuAfter-cpu) / 1e3 / calls, float64(allocationsAfter-allocations) / calls}, nil
}

// callUsage is the processor time in microseconds and the number of heap allocations that this process used per call.
type callUsage struct{ cpu, allocations float64 }

// processUsage returns the processor time and the number of heap allocations of this process so far.
func processUsage() (time.Duration, uint64) {
	var usage syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs
}
