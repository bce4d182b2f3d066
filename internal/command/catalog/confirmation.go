package catalog

import (
	"slices"
	"time"

	"sniperail.example/sniperail/internal/command/confirmation"
	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/model"
	"sniperail.example/sniperail/internal/store"
)

// confirmer proves how old the configuration in force can be.
type confirmer struct {
	state confirmation.State
	// document is the latest document of the configuration in the present era of the store that is known to be valid; its revision is
	// 0 if none is. The revision of an entry alone does not show that: entries whose documents were refused are remembered too.
	document message.Document
	// announced says that the latest query went to a peer that had announced a check. waiting holds the queries of peers that are
	// answered once it has ended.
	announced bool
	waiting   []effect.Token
	// published is the confirmed time that traffic reads, and serves whether it allowed requests with API keys at the last look.
	published time.Duration
	serves    bool
	// wakeAt is when renewConfirmation must run next; zero means never.
	wakeAt time.Time
}

// confirms reports whether configurations are confirmed.
func (c *Core) confirms() bool { return c.cfg.Uptime != nil && c.cfg.RevokeWithin > 0 }

func (c *Core) startConfirming() {
	if c.confirms() {
		c.confirmer.published = confirmation.Never
		c.confirmer.state = confirmation.New(c.cfg.Uptime(), c.cfg.RevokeWithin, c.cfg.Rand.Float64())
	}
}

// recordDocument records that an entry of the store holds a valid configuration.
func (c *Core) recordDocument(revision int64, number model.Number) {
	if revision > c.confirmer.document.Revision {
		c.confirmer.document = message.Document{Revision: revision, Number: number}
	}
}

// documentMessage returns the document for a gossip message, or nil.
func (c *Core) documentMessage() *message.Document {
	if !c.confirms() || !c.allCurrent() || c.confirmer.document.Revision == 0 {
		return nil
	}
	d := c.confirmer.document
	return &d
}

// learnDocument records the document that a peer knows. Unlike the sender's confirmation, it cannot be out of date: an entry keeps
// its content within an era.
func (c *Core) learnDocument(era store.Era, d *message.Document) {
	if c.confirms() && era == c.era && d != nil {
		c.recordDocument(d.Revision, d.Number)
	}
}

// isCovered reports whether the configuration in force is at least that of an entry of the store. Revision 0 stands for no entry.
func (c *Core) isCovered(revision int64) bool {
	d := c.confirmer.document
	return c.configuration != nil && (revision == 0 || revision == d.Revision && d.Number <= c.configuration.Number)
}

// confirmComparison returns a function that takes the result of a comparison that is sent now, after the result was merged. The
// first comparison must be that of the configuration.
func (c *Core) confirmComparison(compares []store.Compare) func(store.Result) {
	if !c.confirms() {
		return func(store.Result) {}
	}
	sent, expected := c.cfg.Uptime(), compares[0].ModRevision
	// The configuration may be replaced before the result arrives. That it covered the entry stays true.
	covered := c.isCovered(expected)
	return func(r store.Result) {
		if r.Outcome == store.Applied && (covered || c.isCovered(expected)) {
			c.recordRead(sent)
		}
		if r.Outcome != store.Conflict {
			return
		}
		for i := range r.Entries {
			if r.Entries[i].Key == c.cfg.Operator.KeyConfiguration() && c.isCovered(r.Entries[i].ModRevision) {
				c.recordRead(sent)
			}
		}
	}
}

// confirmList returns a function that takes the result of a list that is sent now, after the result was merged.
func (c *Core) confirmList(k *keyReplica) func(store.Result) {
	if !c.confirms() || k != &c.operatorKeys {
		return func(store.Result) {}
	}
	sent := c.cfg.Uptime()
	return func(r store.Result) {
		if r.Outcome != store.Applied || r.Truncated {
			return
		}
		key := c.cfg.Operator.KeyConfiguration()
		i := slices.IndexFunc(r.Entries, func(e store.Entry) bool { return e.Key == key })
		switch {
		case i >= 0 && c.isCovered(r.Entries[i].ModRevision), i < 0 && len(r.Skipped) == 0 && c.isCovered(0):
			c.recordRead(sent)
		}
	}
}

// recordRead records a read that showed nothing newer than the configuration in force.
func (c *Core) recordRead(sent time.Duration) {
	if c.lag.since.IsZero() {
		c.confirmer.state.RecordRead(sent, c.cfg.Uptime())
	}
}

// doubtStore is called when the store has entered the present era. If it has come back from an older copy, that may lack the
// newest configuration.
func (c *Core) doubtStore(previous store.Era) {
	c.confirmer.document = message.Document{}
	if c.confirms() && previous != (store.Era{}) {
		c.confirmer.state.Doubt(c.cfg.Uptime())
	}
}

// recordBehind is called when this daemon learns that a peer has a newer configuration.
func (c *Core) recordBehind() {
	if c.confirms() {
		c.confirmer.state.RecordHigherNumber(c.cfg.Uptime())
	}
}

// maxWaiting bounds the queries that wait. A daemon announces a check to three peers.
const maxWaiting = 16

// handleConfirmationQuery answers a peer. A daemon passes an announced check on before it has asked the daemon that it has it from,
// so that peers often ask while that reply is on its way; without a wait each of them would get an older confirmation than it
// needs. Only queries along announcements are waited for, since daemons that ask each other at random could wait for each other.
func (c *Core) handleConfirmationQuery(token effect.Token) {
	f := &c.confirmer
	if c.confirms() && f.announced && f.state.IsAwaiting(c.cfg.Uptime()) && len(f.waiting) < maxWaiting {
		f.waiting = append(f.waiting, token)
		return
	}
	c.emit(effect.Reply{Token: token, Body: c.buildConfirmationReply()})
}

// answerWaiting answers the queries that have waited.
func (c *Core) answerWaiting() {
	for _, token := range c.confirmer.waiting {
		c.emit(effect.Reply{Token: token, Body: c.buildConfirmationReply()})
	}
	c.confirmer.waiting = nil
}

// buildConfirmationReply returns what this daemon can vouch for.
func (c *Core) buildConfirmationReply() *message.ConfirmationReply {
	reply := &message.ConfirmationReply{Number: c.configurationNumber()}
	if c.confirms() {
		reply.Age, reply.Confirmed = c.confirmer.state.Age(c.cfg.Uptime())
	}
	return reply
}

// askAnnouncer asks the peer that has announced a check, if the own confirmation has reached some age. The announcement itself
// confirms nothing, since it may have been delayed.
func (c *Core) askAnnouncer(from string) {
	if !c.confirms() || c.configuration == nil {
		return
	}
	if clock := c.cfg.Uptime(); c.confirmer.state.WantsRenewal(clock) {
		c.askConfirmation(clock, from)
		c.confirmer.announced = true
	}
}

// askConfirmation asks a peer how old its configuration can be; address is "" if there is no peer.
func (c *Core) askConfirmation(sent time.Duration, address string) {
	s := &c.confirmer.state
	c.answerWaiting()
	c.confirmer.announced = false
	query := s.BeginQuery(sent)
	if address == "" {
		s.EndQuery(query)
		return
	}
	c.send(address, &message.ConfirmationQuery{}, func(now time.Time, r message.Reply) {
		s.EndQuery(query)
		reply, ok := r.(*message.ConfirmationReply)
		if !ok {
			return
		}
		c.recordAnnouncedNumber(now, reply.Number, address)
		if c.lag.since.IsZero() {
			s.RecordReply(sent, c.cfg.Uptime(), c.configurationNumber(),
				confirmation.Reply{Number: reply.Number, Confirmed: reply.Confirmed, Age: reply.Age})
		}
	})
}

// renewConfirmation asks a peer or the store if that is due, and passes the confirmed time on to traffic.
func (c *Core) renewConfirmation(now time.Time) {
	if !c.confirms() || c.configuration == nil {
		return
	}
	s, clock := &c.confirmer.state, c.cfg.Uptime()
	if c.meshKeys.loaded && c.isCurrent(&c.meshKeys) && len(c.members) == 0 && len(c.cfg.Seeds) == 0 {
		s.EndDoubt(clock)
	}
	s.ReleaseHeld(clock)
	if !s.IsAwaiting(clock) {
		c.answerWaiting()
	}
	if s.PeerDue(clock) {
		c.askConfirmation(clock, c.randomPeerAddress())
	}
	if s.ReadDue(clock) {
		s.DeferRead(clock)
		c.checkEarly(now)
	}
	c.publishConfirmation(clock)
	c.confirmer.wakeAt = now.Add(s.Next(clock) - clock)
}

// checkEarly makes a freshness check before its time. Failed checks are repeated at the pace of freshness instead.
func (c *Core) checkEarly(now time.Time) {
	f := &c.freshness
	if c.settled && c.isCurrent(&c.operatorKeys) && f.pendingUntil.IsZero() && f.failures == 0 {
		c.beginCheck(now)
	}
}

// publishConfirmation passes the confirmed time on to traffic, and logs whether requests that need an API key are served.
func (c *Core) publishConfirmation(clock time.Duration) {
	s := &c.confirmer.state
	if at := s.Confirmed(); at != c.confirmer.published {
		c.confirmer.published = at
		c.emit(effect.Confirm{At: at})
	}
	serves := s.Serves(clock)
	if serves == c.confirmer.serves {
		return
	}
	c.confirmer.serves = serves
	age, number := "-1", formatNumber(c.configurationNumber())
	if d, ok := s.Age(clock); ok {
		age = formatMillis(d)
	}
	if serves {
		c.log("configuration-confirmed", "number", number, "age_ms", age)
	} else {
		c.log("configuration-unconfirmed", "number", number, "age_ms", age)
	}
}
