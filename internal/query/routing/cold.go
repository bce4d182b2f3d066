package routing

// minColdShare is the lowest fraction of the calls for which a cold target is a candidate like any other. A target that joins must
// get calls within seconds, also where the others are busy.
const minColdShare = 0.05

// limitsCold reports whether a target is cold and tolerates a limited number of calls per second. Announcements name the time left
// when they were written, so that a daemon that reads one later takes a warm target for a cold one until a report shows otherwise.
func (v *Version) limitsCold(c *candidate) bool {
	return c.load.Cold && v.warmupPerSecond > 0 && !c.load.Unlimited
}

// passCold leaves out cold targets for a part of the calls, so that each gets about the calls per second that it tolerates: all
// daemons see it idle, and would refer their calls to it until its reports show its limit. By Little's law, the calls in progress at
// the limit are the calls per second times the execution time; the others of its data centre have the mean of their reports.
func (v *Version) passCold(candidates []candidate, random RandomSource) {
	if v.warmupPerSecond == 0 {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		if !v.limitsCold(c) {
			continue
		}
		busy := v.meanOutstanding(candidates, c)
		tolerated := v.warmupPerSecond * c.executionTime.Seconds()
		share := max(minColdShare, tolerated/max(busy, tolerated))
		c.passed = float64(random.Uint64()>>11)/(1<<53) >= share
	}
}

// meanOutstanding returns the mean number of calls in progress at the warm targets of a candidate's data centre that have reported
// lately; 0 if there are none.
func (v *Version) meanOutstanding(candidates []candidate, c *candidate) float64 {
	total, n := 0.0, 0
	for i := range candidates {
		if o := &candidates[i]; o.load.Fresh && !v.limitsCold(o) && o.target.DataCentre == c.target.DataCentre {
			total += o.load.Outstanding
			n++
		}
	}
	return total / float64(max(n, 1))
}
