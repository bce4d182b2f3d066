package traffic

import (
	"sync"
	"time"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// assumedRun stands in for the time of a call at a target without reports.
	assumedRun = 100 * time.Millisecond
	// noReport is the age of the report of a target that has made none, as logs show it.
	noReport = -time.Millisecond
	// reportLife is the age at which a report of load says nothing any more.
	reportLife = 2 * time.Second
	// failureLife is the time in which the reported part of failed calls halves, so that a target that had failed gets a
	// call again from time to time.
	failureLife = 2 * time.Second
)

// peerLoad is the latest report of a target's load.
type peerLoad struct {
	mu     sync.Mutex
	report loadReport
	at     time.Time
	// own is the number of this daemon's calls in flight when the report came.
	own  int64
	runs map[model.RouteName]time.Duration
}

// reportLoad takes a report that came with a response to a call on a route.
func (p *peer) reportLoad(now time.Time, route model.RouteName, report loadReport) {
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	p.load.report, p.load.at = report, now
	// The call that brought the report has ended.
	p.load.own = p.inFlight.Load() - 1
	if p.load.runs == nil {
		p.load.runs = map[model.RouteName]time.Duration{}
	}
	p.load.runs[route] = report.run
}

// loads implements routing.LoadProvider for a route at one moment.
type loads struct {
	peers *peers
	route model.RouteName
	now   time.Time
}

func (l *loads) Load(target *model.Target) routing.TargetLoad {
	p := l.peers.find(target)
	now := l.now.UnixNano()
	out := routing.TargetLoad{
		Slots: target.Slots, Cold: target.WarmAt.After(l.now),
		Suspect: p.ejectedUntil.Load() > now || p.leavingUntil.Load() > now,
	}
	own := p.inFlight.Load()
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	out.ReportAge = noReport
	if !p.load.at.IsZero() {
		out.ReportAge = l.now.Sub(p.load.at)
	}
	out.Outstanding = float64(own)
	if out.ReportAge != noReport && out.ReportAge < reportLife {
		out.Outstanding = max(float64(int64(p.load.report.running+p.load.report.queued)+own-p.load.own), float64(own))
	}
	out.ExecutionTime, out.MeanExecutionTime = p.load.runs[l.route], p.load.report.mean
	if out.MeanExecutionTime == 0 {
		out.MeanExecutionTime = assumedRun
	}
	out.FailureRate = p.load.report.failed / (1 + float64(max(out.ReportAge, 0))/float64(failureLife))
	return out
}

// sharedBudget is a daemon's part of the retry budget of a service.
type sharedBudget struct {
	mu     sync.Mutex
	budget retry.SharedBudget
}

func (b *sharedBudget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordCall()
}

// take takes a retry from the budget; false means that none is left.
func (b *sharedBudget) take(limit retry.SharedLimit, table *routing.Table, executed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TakeRetry(time.Now(), limit, len(table.View.Targets), executed)
}
