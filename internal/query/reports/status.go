package reports

import (
	"cmp"
	"slices"
	"time"

	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
)

// Daemon is one daemon of the mesh.
type Daemon struct {
	Daemon     model.DaemonID    `json:"daemon"`
	DataCentre model.DataCentre  `json:"dataCentre"`
	Region     model.Region      `json:"region,omitempty"`
	Peer       string            `json:"peer,omitempty"`
	State      model.TargetState `json:"state"`
	// Since is when the daemon entered State or fell silent.
	Since   time.Time `json:"since"`
	Started time.Time `json:"started"`
	// Refused is the latest configuration that the daemon refused, 0 for none, and Reason says why.
	Refused model.Number `json:"refused,omitempty"`
	Reason  string       `json:"reason,omitempty"`
}

// Daemons returns every known daemon, including silent ones, sorted by data centre and name.
func Daemons(s *message.StatusReply) []Daemon {
	rows := map[model.DaemonID]*Daemon{}
	for i := range s.Targets {
		t := &s.Targets[i]
		rows[t.Daemon] = &Daemon{Daemon: t.Daemon, DataCentre: t.DataCentre, Region: t.Region, Peer: t.PeerAddress,
			State: t.State, Since: t.Since, Started: time.Unix(0, int64(t.Incarnation)).UTC()}
	}
	for _, silent := range s.InForce.Silent {
		if rows[silent.Daemon] == nil {
			rows[silent.Daemon] = &Daemon{Daemon: silent.Daemon, DataCentre: silent.DataCentre}
		}
		rows[silent.Daemon].State, rows[silent.Daemon].Since = model.TargetSilent, silent.Since
	}
	for _, r := range s.InForce.Refusals {
		if row := rows[r.Daemon]; row != nil && r.Number >= row.Refused {
			row.Refused, row.Reason = r.Number, r.Reason
		}
	}
	sorted := make([]Daemon, 0, len(rows))
	for _, r := range rows {
		sorted = append(sorted, *r)
	}
	slices.SortFunc(sorted, func(a, b Daemon) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Daemon, b.Daemon))
	})
	return sorted
}

// Targets returns the announced targets, sorted by service, version and daemon.
func Targets(s *message.StatusReply) []model.Target {
	rows := slices.Clone(s.Targets)
	slices.SortFunc(rows, func(a, b model.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Daemon, b.Daemon))
	})
	return rows
}

// Status is the state of the whole mesh as one daemon knows it.
type Status struct {
	// Number is the configuration number of the answering daemon; InForce says whether every live daemon has it.
	Number  model.Number `json:"number"`
	InForce Answer       `json:"inForce"`
	// Lowest is the lowest configuration number that any live daemon has acknowledged.
	Lowest      model.Number         `json:"lowest"`
	Live        int                  `json:"live"`
	Silent      []model.SilentDaemon `json:"silent,omitempty"`
	Refusals    []model.Refusal      `json:"refusals,omitempty"`
	Blind       []model.DataCentre   `json:"blind,omitempty"`
	Marks       []model.Mark         `json:"marks,omitempty"`
	DataCentre  model.DataCentre     `json:"dataCentre,omitempty"`
	Leader      string               `json:"leader,omitempty"`
	Term        model.Term           `json:"term,omitempty"`
	ActiveMoves int                  `json:"activeMoves"`
	At          time.Time            `json:"at"`
}

// MeshStatus returns the state of the mesh from a configuration and a status, which may be nil.
func MeshStatus(c *model.Configuration, s *message.StatusReply) Status {
	status := Status{Number: c.Number, InForce: inForce(s, c.Number)}
	for i := range c.Moves {
		if c.Moves[i].Phase.Active() {
			status.ActiveMoves++
		}
	}
	if s != nil {
		status.Lowest, status.Live, status.Silent = s.InForce.Number, s.InForce.Live, s.InForce.Silent
		status.Refusals, status.Blind, status.Marks = s.InForce.Refusals, s.InForce.Blind, s.Marks
		status.DataCentre, status.Leader, status.Term, status.At = s.DataCentre, s.Leader, s.Term, s.At
	}
	return status
}

// Feed is a part of the event feed.
type Feed struct {
	Events []model.MoveEvent `json:"events"`
	// Next is the token after which the next request continues.
	Next uint64 `json:"next"`
	// Missed says that events after the requested token are missing here because they are no longer kept.
	Missed bool `json:"missed"`
}

// Events returns the kept events after a token. It returns false if the configuration is a copy without events. Such a copy
// is recognised because each write records an event, so a configuration with a number has at least one.
func Events(c *model.Configuration, after uint64) (Feed, bool) {
	if c.Number > 0 && c.LastEvent == 0 {
		return Feed{}, false
	}
	feed := Feed{Events: []model.MoveEvent{}, Next: max(after, c.LastEvent)}
	for _, e := range c.Events {
		if e.Token > after {
			feed.Events = append(feed.Events, e)
		}
	}
	switch {
	case len(feed.Events) > 0:
		feed.Missed = feed.Events[0].Token > after+1
	default:
		feed.Missed = c.LastEvent > after
	}
	return feed, true
}
