// Package latency measures what the two hops of the call path add to a call.
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
	// Loads are parts of the measured capacity through both daemons; 0.3 and 0.7 if empty.
	Loads []float64
	// Duration of each run; 5 s if zero.
	Duration time.Duration
	Seed     uint64
	// Workers of the load generator; 64 if zero.
	Workers int
}

// Row is the figures for one size and load. Latencies are in microseconds.
type Row struct {
	Size int
	Load float64
	// Rate is the calls per second, Capacity the closed-loop maximum through both daemons.
	Rate, Capacity  float64
	Direct, Through Percentiles
	Added           Percentiles
	// QuietP99 is the added p99 in the median round. Other work on the host disturbs single rounds.
	QuietP99 float64
	Failed   int64
	// CPUMicros is the processor time that both daemons add per call at this load.
	CPUMicros float64
	// CallsPerCore is the calls per second that one core of daemon carries when all cores are busy: both hops of a call,
	// without client and target. Allocations is what both daemons add per call then.
	CallsPerCore, Allocations float64
}

// Percentiles are latencies in microseconds.
type Percentiles struct{ P50, P99, P999 float64 }

func percentiles(r openloop.Result) Percentiles {
	return Percentiles{r.Micros(50), r.Micros(99), r.Micros(99.9)}
}

func (p Percentiles) minus(q Percentiles) Percentiles {
	return Percentiles{p.P50 - q.P50, p.P99 - q.P99, p.P999 - q.P999}
}

// String renders a row.
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

// Run measures each size at each load: directly and through both daemons, at the same rate and with the same arrivals.
func Run(ctx context.Context, o Options) ([]Row, error) {
	o = o.withDefaults()
	defer debug.SetGCPercent(debug.SetGCPercent(traffic.GCPercent))
	var rows []Row
	for _, size := range o.Sizes {
		// More slots than workers: the measurement is of the path, not of admission.
		mesh, err := openloop.NewMesh(admission.Settings{Slots: 2 * o.Workers, Connections: 4 * o.Workers, Queue: o.Workers},
			target.Config{Name: "t", Version: "v1", Slots: 4 * o.Workers, Bad: target.BadNone, ColdFactor: 1, AnswerBytes: size})
		if err != nil {
			return rows, errors.Wrap(err, "mesh")
		}
		measured, err := measure(ctx, o, mesh, size)
		mesh.Close()
		rows = append(rows, measured...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

func measure(ctx context.Context, o Options, mesh *openloop.Mesh, size int) ([]Row, error) {
	client := openloop.Client(o.Workers)
	defer client.CloseIdleConnections()
	_, direct, err := saturate(ctx, o, client, mesh.TargetURLs[0]+"/c")
	if err != nil {
		return nil, err
	}
	capacity, through, err := saturate(ctx, o, client, mesh.IngressURL+"/c")
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, part := range o.Loads {
		row := Row{
			Size: size, Load: part, Rate: capacity * part, Capacity: capacity,
			CallsPerCore: 1e6 / (through.cpu - direct.cpu), Allocations: through.allocations - direct.allocations,
		}
		if err := compare(ctx, o, client, mesh, &row); err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// rounds is how often both ways alternate, so that other work on the host disturbs both alike.
const rounds = 9

// compare fills in the latencies of a row.
func compare(ctx context.Context, o Options, client *http.Client, mesh *openloop.Mesh, row *Row) error {
	var sums [2]openloop.Result
	var cpu [2]float64
	var added []float64
	for round := range rounds {
		var p99 [2]float64
		for way, url := range []string{mesh.TargetURLs[0], mesh.IngressURL} {
			before, _ := processUse()
			result, err := openloop.Run(ctx, client, openloop.Options{
				URL: url + "/c", Rate: row.Rate, Duration: o.Duration / rounds, Seed: o.Seed + uint64(round), Workers: o.Workers,
			})
			if err != nil {
				return errors.Wrap(err, "load")
			}
			after, _ := processUse()
			cpu[way] += float64(after-before) / 1e3
			p99[way] = result.Micros(99)
			sums[way].Add(result)
		}
		added = append(added, p99[1]-p99[0])
	}
	slices.Sort(added)
	row.Direct, row.Through, row.QuietP99 = percentiles(sums[0]), percentiles(sums[1]), added[rounds/2]
	row.Added, row.Failed = row.Through.minus(row.Direct), sums[0].Failed+sums[1].Failed
	row.CPUMicros = cpu[1]/float64(max(sums[1].Sent, 1)) - cpu[0]/float64(max(sums[0].Sent, 1))
	return nil
}

// saturate measures the closed-loop maximum and what a call uses then.
func saturate(ctx context.Context, o Options, client *http.Client, url string) (float64, use, error) {
	cpu, allocations := processUse()
	start := time.Now()
	rate, err := openloop.Closed(ctx, client, openloop.Options{URL: url, Duration: o.Duration / 2, Workers: o.Workers})
	if err != nil {
		return 0, use{}, errors.Wrap(err, "capacity")
	}
	calls := max(rate*time.Since(start).Seconds(), 1)
	cpuAfter, allocationsAfter := processUse()
	return rate, use{float64(cpuAfter-cpu) / 1e3 / calls, float64(allocationsAfter-allocations) / calls}, nil
}

// use is what the process used per call.
type use struct{ cpu, allocations float64 }

// processUse returns the processor time and the allocations of this process so far.
func processUse() (time.Duration, uint64) {
	var usage syscall.Rusage
	// The call fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), memory.Mallocs
}
