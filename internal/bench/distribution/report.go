package distribution

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"sniperail.example/sniperail/internal/command/agent"
)

// Report is the result of a run.
type Report struct {
	Options Options
	// P50, P99 and Max are convergence times: from a write until a daemon that was serving at the time of the write publishes
	// a view that contains it.
	P50, P99, Max time.Duration
	Samples       int
	// InForce is the mean and InForceMax the longest time from a write until a leader reports the change in force
	// everywhere.
	InForce, InForceMax time.Duration
	Roles               map[agent.Role]Usage
	// Messages counts messages per daemon and second.
	Messages float64
	// Reads, Writes and Watches are platform calls of the whole fleet per second in the steady state.
	Reads, Writes, Watches float64
	// CPUPerChange is the processor time of the whole fleet in the steady state, heartbeats included, per change.
	CPUPerChange time.Duration
	// Heap is the heap of the whole simulation in bytes, links and store included.
	Heap          uint64
	Start, Return Surge
	// LeaderLost holds two times from a change after which a leader is killed: until all live daemons show the change,
	// and until it is reported in force.
	LeaderLost [2]time.Duration
	Naive      []Naive
}

// Usage is what a daemon of one role uses: means and maxima over the daemons of the role. Bytes are sent plus received
// bytes per second, Sent are sent bytes per second, and Processor is the fraction of one core.
type Usage struct {
	Daemons            int
	Bytes, MaxBytes    float64
	Sent, MaxSent      float64
	Processor, MaxProc float64
	// Kinds are the bytes sent and received per second and daemon, by message method.
	Kinds map[string]float64
	// State is the mean heap per daemon in bytes.
	State float64
}

// Surge describes a start of all daemons within startWindow: how many became ready, the time until then, and the highest
// numbers of platform reads and writes in one second.
type Surge struct {
	Ready                 int
	All                   time.Duration
	PeakReads, PeakWrites int
}

func percentiles(samples []time.Duration) (p50, p99, longest time.Duration) {
	if len(samples) == 0 {
		return 0, 0, 0
	}
	slices.Sort(samples)
	at := func(share float64) time.Duration { return samples[int(share*float64(len(samples)-1))] }
	return at(0.5), at(0.99), at(1)
}

// fillSteadyState computes the figures of the steady state, which took span. A daemon counts for the role that it has at
// the end.
func (rep *Report) fillSteadyState(r *runner, span time.Duration) {
	rep.Samples = len(r.samples)
	rep.P50, rep.P99, rep.Max = percentiles(r.samples)
	_, _, rep.InForceMax = percentiles(r.inForce)
	for _, d := range r.inForce {
		rep.InForce += d / time.Duration(len(r.inForce))
	}
	rep.Roles = map[agent.Role]Usage{}
	messages, cpu := 0, time.Duration(0)
	seconds := span.Seconds()
	for _, n := range r.fleet.Nodes {
		u := r.wire.usageOf(n)
		messages += u.messages
		cpu += u.cpu
		if !n.Alive {
			continue
		}
		t := rep.Roles[n.Agent.Role()]
		both, sent, share := float64(u.sent+u.received)/seconds, float64(u.sent)/seconds, u.cpu.Seconds()/seconds
		t.Daemons++
		if t.Kinds == nil {
			t.Kinds = map[string]float64{}
		}
		for kind, bytes := range u.kinds {
			t.Kinds[kind] += float64(bytes) / seconds
		}
		t.Bytes, t.MaxBytes = t.Bytes+both, max(t.MaxBytes, both)
		t.Sent, t.MaxSent = t.Sent+sent, max(t.MaxSent, sent)
		t.Processor, t.MaxProc = t.Processor+share, max(t.MaxProc, share)
		rep.Roles[n.Agent.Role()] = t
	}
	for role, t := range rep.Roles {
		n := float64(t.Daemons)
		t.Bytes, t.Sent, t.Processor = t.Bytes/n, t.Sent/n, t.Processor/n
		for kind := range t.Kinds {
			t.Kinds[kind] /= n
		}
		rep.Roles[role] = t
	}
	rep.Messages = float64(messages) / seconds / float64(r.options.Daemons)
	rep.CPUPerChange = cpu / time.Duration(r.options.Changes+burstChanges)
}

// Print writes the report as text.
func (rep *Report) Print(out io.Writer) error {
	o := rep.Options
	lines := []string{
		fmt.Sprintf("daemons %d, centres %d, services %d, changes %d + burst of %d, kill %.0f%% of relays, seed %d",
			o.Daemons, o.Centres, o.Services, o.Changes, burstChanges, 100*o.Kill, o.Seed),
		fmt.Sprintf("convergence s: p50 %.3f p99 %.3f max %.3f (%d samples); in force s: mean %.2f max %.2f",
			rep.P50.Seconds(), rep.P99.Seconds(), rep.Max.Seconds(), rep.Samples, rep.InForce.Seconds(),
			rep.InForceMax.Seconds()),
	}
	for _, role := range []agent.Role{agent.RoleLeader, agent.RoleRelay, agent.RoleLeaf} {
		u := rep.Roles[role]
		lines = append(lines, fmt.Sprintf(
			"%-6s %4d: bytes/s sent+received mean %.0f max %.0f, sent mean %.0f max %.0f; cpu %% mean %.3f max %.3f; "+
				"state KB %.0f", role, u.Daemons, u.Bytes, u.MaxBytes, u.Sent, u.MaxSent, 100*u.Processor,
			100*u.MaxProc, u.State/1024), "       bytes/s by message:"+formatKinds(u.Kinds))
	}
	lines = append(lines,
		fmt.Sprintf("messages per daemon and second %.2f; cpu per change %v", rep.Messages, rep.CPUPerChange),
		fmt.Sprintf("platform calls/s: reads %.2f writes %.2f watch starts %.3f", rep.Reads, rep.Writes, rep.Watches),
		fmt.Sprintf("a leader dies during a change: shown everywhere after %.2f s, in force after %.2f s",
			rep.LeaderLost[0].Seconds(), rep.LeaderLost[1].Seconds()),
		fmt.Sprintf("first start within %v: %s", startWindow, rep.Start),
		fmt.Sprintf("all return within %v: %s", startWindow, rep.Return))
	for _, n := range rep.Naive {
		lines = append(lines, fmt.Sprintf(
			"naive, %s: convergence s p50 %.3f p99 %.3f max %.3f; bytes/s per daemon %.0f; platform reads/s %.1f, watches %.0f",
			n.Name, n.P50.Seconds(), n.P99.Seconds(), n.Max.Seconds(), n.BytesPerDaemon, n.Reads, n.Watch))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

// String formats a surge as text.
func (s Surge) String() string {
	return fmt.Sprintf("%d ready after %.1f s, peak reads/s %d, peak writes/s %d", s.Ready, s.All.Seconds(), s.PeakReads,
		s.PeakWrites)
}

func formatKinds(bytes map[string]float64) string {
	text := ""
	for _, kind := range slices.Sorted(maps.Keys(bytes)) {
		text += fmt.Sprintf(" %s %.0f", strings.TrimPrefix(kind, "Command."), bytes[kind])
	}
	return text
}
