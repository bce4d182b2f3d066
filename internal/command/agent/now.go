package agent

import "time"

// Now returns the time of the event that is being handled.
func (a *Agent) Now() time.Time { return a.now }
