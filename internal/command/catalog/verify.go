package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sniperail.example/sniperail/internal/effect"
	"sniperail.example/sniperail/internal/message"
	"sniperail.example/sniperail/internal/store"
)

const (
	// verifyTurn is the time between two daemons' comparisons of the platform with what watches have shown. A watch can
	// stay silent although something changed, and a change must be in force two seconds later.
	verifyTurn = 700 * time.Millisecond
	// meshTurns is how many turns of a daemon pass between comparisons of what daemons share, which is less urgent.
	meshTurns = 4
	// watchPatience is how long the own watch may take to show what a peer has seen before the platform is read.
	watchPatience = 400 * time.Millisecond
	// noticeFanout is the number of peers that are told of changes; each of them tells as many.
	noticeFanout = 16
)

// verifySources reads the platform when it is this daemon's turn. Daemons take turns by the rank of their names and the
// time of day, so that the number of reads does not grow with the number of daemons.
func (c *Core) verifySources(now time.Time) {
	if !c.operator.watching || !c.mesh.watching {
		c.verifyAt = time.Time{}
		return
	}
	if c.verifyAt.IsZero() {
		c.verifyAt = c.nextTurn(now)
	}
	if now.Before(c.verifyAt) {
		return
	}
	c.verifyAt = c.nextTurn(now)
	c.verify(&c.operator)
	if c.verifyTurns++; c.verifyTurns%meshTurns == 0 {
		c.verify(&c.mesh)
	}
}

// nextTurn returns the next time after now at which it is this daemon's turn.
func (c *Core) nextTurn(now time.Time) time.Time {
	daemons := append(slices.Collect(maps.Keys(c.roster)), c.cfg.Target.Daemon)
	slices.Sort(daemons)
	rank := int64(slices.Index(daemons, c.cfg.Target.Daemon))
	turns := int64(len(daemons))
	turn := now.UnixNano() / int64(verifyTurn)
	ahead := (rank - turn%turns + turns) % turns
	if ahead == 0 {
		ahead = turns
	}
	return now.Add(time.Duration((turn+ahead)*int64(verifyTurn) - now.UnixNano()))
}

func (c *Core) verify(s *source) {
	c.call(store.Call{Kind: store.KindList, Priority: store.PriorityRead, Reason: "verify", Key: s.prefix},
		func(now time.Time, r store.Result) {
			// A list that runs meanwhile is as new as this one.
			if r.Outcome != store.Applied || !s.watching {
				return
			}
			if s.take(now, r) {
				c.log("watch-behind", "prefix", s.prefix, "revision", strconv.FormatInt(r.Revision, 10))
				c.emit(effect.Watch{Key: s.prefix, After: r.Revision})
				c.notify(message.Notice{Operator: c.operator.latest(), Mesh: c.mesh.latest()})
			}
		})
}

// notify tells some peers, at random, of changes.
func (c *Core) notify(notice message.Notice) {
	peers := slices.Sorted(maps.Keys(c.roster))
	c.cfg.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, daemon := range peers[:min(len(peers), noticeFanout)] {
		c.send(c.roster[daemon].target.PeerAddress, &notice, func(time.Time, message.Reply) {
			// A peer that does not answer reads the platform itself in its turn.
		})
	}
}

// noticed takes what a peer has seen, and passes it on if it is news.
func (c *Core) noticed(now time.Time, n *message.Notice) {
	operator := c.operator.expect(now, n.Operator)
	mesh := c.mesh.expect(now, n.Mesh)
	if operator || mesh {
		c.notify(*n)
	}
}

// expect notes that a revision exists. It reports whether that is news.
func (s *source) expect(now time.Time, revision int64) bool {
	if revision <= max(s.expected, s.latest()) {
		return false
	}
	s.expected, s.expectedBy = revision, now.Add(watchPatience)
	return true
}

// checkExpected reads the platform again if the watch has not shown what a peer has seen.
func (c *Core) checkExpected(now time.Time, s *source) {
	if s.expectedBy.IsZero() || now.Before(s.expectedBy) {
		return
	}
	s.expectedBy = time.Time{}
	if !s.watching || s.latest() >= s.expected {
		return
	}
	c.log("watch-behind", "prefix", s.prefix, "revision", strconv.FormatInt(s.latest(), 10), "expected", strconv.FormatInt(s.expected, 10))
	s.watching = false
	s.retryAt = now
	c.emit(effect.Unwatch{Key: s.prefix})
}
