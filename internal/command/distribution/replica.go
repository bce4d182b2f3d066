package distribution

import (
	"fmt"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// historyLength is how many earlier configurations a replica keeps to make deltas from. A burst of 20 changes then still
// reaches a daemon that missed all of them as one delta.
const historyLength = 24

// Result says what a replica did with a configuration.
type Result int

// Results of an application.
const (
	// Applied: the configuration replaced a lower one.
	Applied Result = iota
	// NotNewer: the configuration is not above the present one.
	NotNewer
	// Gap: the delta has another base or its result has a wrong checksum.
	Gap
	// Refused: the configuration is invalid; the present one stays.
	Refused
)

// Replica is the configuration that a daemon holds. Its number never falls.
type Replica struct {
	current *model.Configuration
	history []*model.Configuration
	deltas  map[model.Number]*message.Delta
}

// Current returns the configuration, or nil before the first.
func (r *Replica) Current() *model.Configuration { return r.current }

// Number returns the number of the current configuration, or 0.
func (r *Replica) Number() model.Number {
	if r.current == nil {
		return 0
	}
	return r.current.Number
}

// Apply takes a whole configuration. The reason explains Refused.
func (r *Replica) Apply(c *model.Configuration) (Result, string) {
	if c.Number <= r.Number() {
		return NotNewer, ""
	}
	if problems := c.Validate(); len(problems) > 0 {
		return Refused, fmt.Sprintf("%s: %s", problems[0].Field, problems[0].Reason)
	}
	if r.current != nil {
		r.history = append(r.history, r.current)
	}
	if len(r.history) > historyLength {
		r.history = r.history[1:]
	}
	r.current = Strip(c)
	r.deltas = map[model.Number]*message.Delta{}
	return Applied, ""
}

// ApplyDelta takes a delta to the current configuration.
func (r *Replica) ApplyDelta(d *message.Delta) (Result, string) {
	if d.Number <= r.Number() {
		return NotNewer, ""
	}
	next, ok := Patch(r.current, d)
	if !ok {
		return Gap, ""
	}
	return r.Apply(next)
}

// Since returns what a daemon at the given number needs: a delta if its configuration is still known, a snapshot
// otherwise, neither if it is not behind.
func (r *Replica) Since(number model.Number) (*model.Configuration, *message.Delta) {
	if r.current == nil || number >= r.current.Number {
		return nil, nil
	}
	if d, ok := r.deltas[number]; ok {
		return nil, d
	}
	for _, base := range r.history {
		if base.Number == number {
			d := Diff(base, r.current)
			r.deltas[number] = d
			return nil, d
		}
	}
	return r.current, nil
}
