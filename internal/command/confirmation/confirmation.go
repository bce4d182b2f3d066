// Package confirmation decides how old the configuration of a daemon can be, and whether requests with API keys may be served
// with it. All times are durations on a clock that also counts the suspension of the machine; the caller reads it.
package confirmation

import (
	"math"
	"time"

	"sniperail.example/sniperail/internal/model"
)

const (
	// Never is the confirmed time of a configuration without a confirmation. A confirmed time may be negative: the clock starts
	// with the machine, and a peer's confirmation may be older than that.
	Never = time.Duration(math.MinInt64)
	// RestoreDoubt is how long reads wait for a peer's word after the store has come back from an older copy, which may lack the
	// newest configuration. The operator writes again what was lost, and lost orders are kept for the same time.
	RestoreDoubt = 10 * time.Second
	// startDoubt is how long the reads of a new process wait for a peer's word. A process must serve three seconds after its start.
	startDoubt = 1500 * time.Millisecond
	// maxReadBackoff limits the doubling of the wait after reads that confirm nothing, for example of an unreadable
	// configuration. All daemons are unconfirmed then, and learn of a readable one from each other.
	maxReadBackoff = 4
)

// renewAge is the age from which an announced check leads to a query.
func (s *State) renewAge() time.Duration { return s.within / 4 }

// askAge is the age from which a peer is asked without an announcement. Confirmations of all daemons stem from the same checks,
// so that before the next announcement most peers have no later one: at three eighths, queries to random peers kept the replies
// to announced checks away, and 300 daemons read the store a third more often.
func (s *State) askAge() time.Duration { return s.within * 7 / 16 }

// readAge is the age from which the store is read. It differs between daemons by up to a quarter of the allowed age: the first
// one to read announces that, and the others ask it.
func (s *State) readAge() time.Duration { return s.within/2 + s.spread(s.within/4) }

// awaitTime is how long a reply is awaited before another peer is asked.
func (s *State) awaitTime() time.Duration { return s.within / 10 }

// Serves reports whether requests that need an API key are served with a configuration that was confirmed at a time. They are
// refused from a tenth before the allowed age on, since clocks differ and a request takes some time to be matched.
func Serves(confirmed, now, within time.Duration) bool {
	return confirmed != Never && now-confirmed < within-within/10
}

// State is the confirmation of a daemon and its efforts to renew it. New returns one.
type State struct {
	within    time.Duration
	confirmed time.Duration
	// random is a number from 0 to 1 that differs between daemons.
	random float64
	// doubtSince and doubtUntil bound the time in which reads of the store count only with a peer's word that followed. held is
	// the time of the latest read that waits for that. Until suspectUntil, a higher number at a peer ends the confirmation. starting
	// says that the doubt is that of a new process.
	doubtSince, doubtUntil time.Duration
	suspectUntil           time.Duration
	starting               bool
	held                   time.Duration
	// query is the number of the latest query to a peer and awaitedUntil when it is no longer awaited; Never if it has ended.
	query        uint64
	awaitedUntil time.Duration
	askAt        time.Duration
	readAt       time.Duration
	readBackoff  int
}

// New returns the state of a process that starts now and may serve with a configuration up to the given age. random is a random
// number from 0 to 1.
func New(now, within time.Duration, random float64) State {
	s := State{within: within, confirmed: Never, random: random, awaitedUntil: Never}
	s.Doubt(now)
	s.doubtUntil, s.readAt, s.starting = now+startDoubt, now+within/2, true
	return s
}

// spread returns a part of d that differs between daemons.
func (s *State) spread(d time.Duration) time.Duration { return time.Duration(s.random * float64(d)) }

// Confirmed returns the latest time at which the configuration was confirmed, or Never.
func (s *State) Confirmed() time.Duration { return s.confirmed }

// Age returns the age of the confirmation. It reports false if there is none.
func (s *State) Age(now time.Duration) (time.Duration, bool) {
	if s.confirmed == Never {
		return 0, false
	}
	return now - s.confirmed, true
}

// Serves reports whether requests that need an API key are served now.
func (s *State) Serves(now time.Duration) bool { return Serves(s.confirmed, now, s.within) }

// RecordRead records a read of the store that was sent at a time and showed nothing newer than the configuration in force.
func (s *State) RecordRead(sent, now time.Duration) {
	s.held = max(s.held, sent)
	s.ReleaseHeld(now)
}

// Reply is what a peer has said of its configuration.
type Reply struct {
	Number    model.Number
	Confirmed bool
	Age       time.Duration
}

// RecordReply records a peer's reply to a query that was sent at a time. own is the number of the configuration in force. A
// peer with a higher number confirms nothing.
func (s *State) RecordReply(sent, now time.Duration, own model.Number, r Reply) {
	if r.Number > own {
		return
	}
	if sent >= s.doubtSince && r.Number > 0 {
		s.EndDoubt(now)
	}
	if r.Confirmed {
		s.confirm(sent - max(r.Age, 0))
	}
}

// EndDoubt ends the doubt about reads of the store: a peer has no higher number, or there is no peer. In a new process a higher
// number is a new configuration from then on; ending the confirmation for it would refuse requests at each change that gossip missed.
func (s *State) EndDoubt(now time.Duration) {
	s.doubtUntil = min(s.doubtUntil, now)
	if s.starting {
		s.suspectUntil = now
	}
	s.ReleaseHeld(now)
}

// ReleaseHeld counts the read that was held back if the doubt is over.
func (s *State) ReleaseHeld(now time.Duration) {
	if now >= s.doubtUntil && s.held != Never {
		s.confirm(s.held)
		s.held = Never
	}
}

// Doubt makes later reads of the store wait for a peer's word, since the store has come back from an older copy, and drops the
// read that waits. The confirmation stays: it is older than the return of the store.
func (s *State) Doubt(now time.Duration) {
	s.doubtSince, s.doubtUntil, s.suspectUntil = now, now+RestoreDoubt, now+RestoreDoubt
	s.held, s.askAt, s.starting = Never, now, false
}

// RecordHigherNumber records that a peer has a higher number than the configuration in force. Shortly after a return of the store,
// or a start without a peer's word, the confirmation may rest on a copy of the store that lacked this number, and ends.
func (s *State) RecordHigherNumber(now time.Duration) {
	s.held = Never
	if now < s.suspectUntil {
		s.confirmed = Never
	}
}

func (s *State) confirm(at time.Duration) {
	if at > s.confirmed {
		s.confirmed, s.readAt, s.readBackoff = at, Never, 0
	}
}

// WantsRenewal reports whether the peer that has announced a check must be asked.
func (s *State) WantsRenewal(now time.Duration) bool {
	return !s.IsAwaiting(now) && (now < s.doubtUntil || now >= s.reaches(s.renewAge()))
}

// PeerDue reports whether some peer must be asked now.
func (s *State) PeerDue(now time.Duration) bool { return now >= s.nextQuery(now) }

// nextQuery returns when some peer must be asked.
func (s *State) nextQuery(now time.Duration) time.Duration {
	at := max(s.askAt, s.awaitedUntil)
	if now < s.doubtUntil {
		return at
	}
	return max(at, s.reaches(s.askAge()))
}

// ReadDue reports whether the store must be read now.
func (s *State) ReadDue(now time.Duration) bool { return now >= s.nextRead() }

func (s *State) nextRead() time.Duration { return max(s.readAt, s.reaches(s.readAge())) }

// reaches returns when the confirmation reaches an age.
func (s *State) reaches(age time.Duration) time.Duration {
	if s.confirmed == Never {
		return Never
	}
	return s.confirmed + age
}

// BeginQuery records that a peer is asked, or that there is none to ask, and returns the number of the query.
func (s *State) BeginQuery(now time.Duration) uint64 {
	s.query++
	s.awaitedUntil = now + s.awaitTime()
	s.askAt = s.awaitedUntil + s.spread(s.awaitTime()/2)
	return s.query
}

// EndQuery records that a query has ended.
func (s *State) EndQuery(query uint64) {
	if query == s.query {
		s.awaitedUntil = Never
	}
}

// IsAwaiting reports whether a peer's reply is awaited.
func (s *State) IsAwaiting(now time.Duration) bool { return now < s.awaitedUntil }

// DeferRead records that the store is read, or cannot be read now.
func (s *State) DeferRead(now time.Duration) {
	interval := s.within / 2 << s.readBackoff
	s.readAt = now + interval + s.spread(interval)
	s.readBackoff = min(s.readBackoff+1, maxReadBackoff)
}

// Next returns when the state must be looked at next. It is later than now, so that a wake for it never repeats at once.
func (s *State) Next(now time.Duration) time.Duration {
	next := min(s.nextQuery(now), s.nextRead())
	if s.IsAwaiting(now) {
		next = min(next, s.awaitedUntil)
	}
	if s.Serves(now) {
		next = min(next, s.reaches(s.within-s.within/10))
	}
	if now < s.doubtUntil {
		next = min(next, s.doubtUntil)
	}
	return max(next, now+time.Millisecond)
}
