package distribution

import (
	"fmt"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// historyLength is the number of earlier configurations that a replica keeps as bases of deltas. A daemon that missed a burst
// of 20 changes can then still be sent one delta.
const historyLength = 24

// Result is the result of applying a configuration to a replica.
type Result int

// Results of applying a configuration.
const (
	// Applied: the configuration replaced a lower one.
	Applied Result = iota
	// NotNewer: the number is not above that of the current configuration.
	NotNewer
	// Gap: the delta has another base than the current configuration, or the checksum of the result is wrong.
	Gap
	// Refused: the configuration is invalid; the current one stays.
	Refused
)

// Replica is the configuration that a daemon holds. Its number never decreases.
type Replica struct {
	current *model.Configuration
	history []*model.Configuration
	deltas  map[model.Number]*message.Delta
}

// Current returns the current configuration, or nil if there is none yet.
func (r *Replica) Current() *model.Configuration { return r.current }

// Number returns the number of the current configuration, or 0.
func (r *Replica) Number() model.Number {
	if r.current == nil {
		return 0
	}
	return r.current.Number
}

// Apply applies a whole configuration. The returned string is the reason for Refused.
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

// ApplyDelta applies a delta to the current configuration.
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

// Since returns the update for a daemon that holds the given number: a delta if the replica still has that configuration,
// the current configuration otherwise, or neither if the daemon is not behind.
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
