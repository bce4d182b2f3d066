package admission

import "time"

// reportedWeight sets the weight of one call in the reported averages to 1/reportedWeight. Callers have to notice within seconds that
// a target has become slower. The averages behind decisions in the queue are slower (sampleWeight), since they must not follow
// times of 0.6 s in which a machine is slow.
const reportedWeight = 8

// reportedTimes holds the moving averages of the execution time that are reported to callers.
type reportedTimes struct {
	kinds map[string]time.Duration
	mean  time.Duration
}

func (r *reportedTimes) record(kind string, took time.Duration) {
	if r.kinds == nil {
		r.kinds = map[string]time.Duration{}
	}
	r.kinds[kind] = follow(r.kinds[kind], took)
	r.mean = follow(r.mean, took)
}

func follow(old, took time.Duration) time.Duration {
	if old == 0 {
		return took
	}
	return old + (took-old)/reportedWeight
}

// ReportedTimes returns the execution time of a call of the given kind, 0 if nothing is known of it, and the mean over all calls, for the
// load report. Without learning they are the averages that the queue uses itself.
func (q *PriorityQueue) ReportedTimes(kind string) (execution, mean time.Duration) {
	if q.isUnknown(kind) {
		return 0, q.MeanExecutionTime()
	}
	if !q.concurrency.enabled || q.reported.mean == 0 {
		return q.ExpectedExecutionTime(kind), q.MeanExecutionTime()
	}
	if execution = q.reported.kinds[kind]; execution == 0 {
		execution = q.reported.mean
	}
	return execution, q.reported.mean
}
