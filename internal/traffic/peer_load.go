package traffic

import (
	"slices"
	"sync"
	"time"

	"sniperail.example/sniperail/internal/command/retry"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/query/routing"
)

const (
	// assumedExecutionTime is the execution time that is assumed for a target without reports.
	assumedExecutionTime = 100 * time.Millisecond
	// noReportAge is the age that is logged for a target that has sent no report.
	noReportAge = -time.Millisecond
	// maxReportAge is the age from which the running and queued calls of a load report are ignored.
	maxReportAge = 2 * time.Second
	// failureHalfLife is the report age at which the reported fraction of failed calls counts half, so that a target that
	// has failed gets a call again from time to time.
	failureHalfLife = 2 * time.Second
)

// loadState is the latest load report of a target.
type loadState struct {
	mu     sync.Mutex
	report loadReport
	rate   rateReport
	at     time.Time
	// ownInFlight is the number of this daemon's calls in flight when the report was received.
	ownInFlight    int64
	executionTimes map[model.RouteName]time.Duration
}

// recordLoad records a report that was received with a response to a call on a route.
func (p *peer) recordLoad(now time.Time, route model.RouteName, report loadReport, rate rateReport) {
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	p.load.report, p.load.rate, p.load.at = report, rate, now
	// The call whose response carried the report has ended.
	p.load.ownInFlight = p.inFlight.Load() - 1
	if p.load.executionTimes == nil {
		p.load.executionTimes = map[model.RouteName]time.Duration{}
	}
	p.load.executionTimes[route] = report.executionTime
}

// peerLoads implements routing.LoadProvider for a route at one moment.
type peerLoads struct {
	peers   *peers
	leaving *leavingRuns
	// evacuated are the data centres whose targets get no calls.
	evacuated []model.DataCentre
	route     model.RouteName
	now       time.Time
}

func (l *peerLoads) Load(target *model.Target) routing.TargetLoad {
	p := l.peers.get(target)
	now := monotonic(l.now)
	out := routing.TargetLoad{
		Slots: target.Slots, Cold: target.WarmAt.After(l.now),
		Leaving: l.leaving.contains(runOf(target)) || slices.Contains(l.evacuated, target.DataCentre),
		Suspect: p.ejectedUntil.Load() > now || p.leavingUntil.Load() > now,
	}
	own := p.inFlight.Load()
	p.load.mu.Lock()
	defer p.load.mu.Unlock()
	out.ReportAge = noReportAge
	if !p.load.at.IsZero() {
		out.ReportAge = l.now.Sub(p.load.at)
	}
	out.Outstanding = float64(own)
	out.Fresh = out.ReportAge != noReportAge && out.ReportAge < maxReportAge
	if out.Fresh {
		out.Slots = p.load.report.usableSlots(target.Slots)
		out.Outstanding = max(float64(int64(p.load.report.running+p.load.report.queued)+own-p.load.ownInFlight), float64(own))
	}
	out.Unlimited = !p.load.at.IsZero() && monotonic(p.load.at) > p.warmAtSince.Load() && p.load.rate.perSecond == 0
	if out.Fresh && p.load.rate.perSecond > 0 {
		// This daemon's calls since the report take their turn at the limit too.
		since := time.Duration(float64(max(own-p.load.ownInFlight, 0)) / p.load.rate.perSecond * float64(time.Second))
		out.RateWait = max(p.load.rate.wait+since-out.ReportAge, 0)
	}
	out.ExecutionTime, out.MeanExecutionTime = p.load.executionTimes[l.route], p.load.report.meanExecutionTime
	if out.MeanExecutionTime == 0 {
		out.MeanExecutionTime = assumedExecutionTime
	}
	out.FailureRate = p.load.report.failureRate / (1 + float64(max(out.ReportAge, 0))/float64(failureHalfLife))
	return out
}

// sharedBudget is this daemon's share of the retry budget of a service.
type sharedBudget struct {
	mu     sync.Mutex
	budget retry.SharedBudget
}

func (b *sharedBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordCall()
}

// takeRetry takes a retry from the budget. It returns false if none is left.
func (b *sharedBudget) takeRetry(limit retry.SharedLimit, table *routing.Table, executed bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TakeRetry(time.Now(), limit, len(table.View.Targets), executed)
}
