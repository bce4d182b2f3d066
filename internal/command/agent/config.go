// Package agent composes the state machines of one daemon into its control core: a pure, single-threaded function from
// events to effects.
package agent

import (
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/model"
)

const (
	// LeaseTTL bounds how long a data centre is without a leader after its death. Shorter leases expire while a busy
	// leader waits for the processor.
	LeaseTTL = 5 * time.Second
	// KeepAliveInterval leaves two more attempts before a lease of LeaseTTL expires.
	KeepAliveInterval = 1500 * time.Millisecond
	// IsolatedAfter is how long a daemon goes without news from a connected leader before it is isolated. It exceeds
	// the time in which a dead leader is replaced (LeaseTTL and about a second for the election), so that a change of
	// leaders does not take the share of versions under move to zero and back.
	IsolatedAfter = 8 * time.Second
	// startJitter spreads the first reads of daemons that start together.
	startJitter = time.Second
	// electionJitter spreads the daemons that found no leader, so that one of them creates the key before most others
	// have asked for a lease.
	electionJitter = 2 * time.Second
	// seekBase and seekLimit bound the backoff of a daemon without a parent.
	seekBase  = 500 * time.Millisecond
	seekLimit = 4 * time.Second
	// reannounceJitter spreads the members of a lost relay.
	reannounceJitter = 500 * time.Millisecond
	// sweepInterval is how often a leader or relay looks for silent members.
	sweepInterval = 500 * time.Millisecond
	// pauseLimit is the time between two events of a leader or relay, which wakes each sweepInterval, above which it did
	// not run in between. Without it a resumed daemon would declare all daemons below it silent.
	pauseLimit = 2 * sweepInterval
	// rosterDelay collects roster changes before they are sent down, since each costs one message per daemon.
	rosterDelay = 200 * time.Millisecond
	// reportDelay collects changes before an early heartbeat.
	reportDelay = 100 * time.Millisecond
	// exchangeInterval is the time between exchanges without news; with news, exchangeDelay collects them. A leader has
	// seven peers, so that exchanges each second would cost as much as all its heartbeats.
	exchangeInterval = 2 * time.Second
	exchangeDelay    = 100 * time.Millisecond
	// BlindAfter is how long a data centre goes without an exchange before it counts as blind: three intervals.
	BlindAfter = 3*exchangeInterval + 500*time.Millisecond
	// reachableWithin is how recent the answer of another leader must be to count it as reachable in an outage.
	reachableWithin = 2*exchangeInterval + 500*time.Millisecond
	// listInterval is how often a leader lists the other leaders.
	listInterval = 10 * time.Second
	// missingLists is how many lists in a row must show no leader of a data centre before its targets count as silent.
	// Its daemons elect another leader within LeaseTTL and a few seconds, unless all are dead or cut off.
	missingLists = 2
	// checkInterval is how often a leader reads the configuration although its watch shows nothing.
	checkInterval = 15 * time.Second
	// missedBeforeSeek is how many heartbeats in a row may fail before a daemon looks for another parent.
	missedBeforeSeek = 2
	// repeatDelay is the time to the next heartbeat after a missed one. Waiting a whole interval would add a second to the
	// convergence of every daemon below a relay that dies during a change.
	repeatDelay = 150 * time.Millisecond
	// markRetention is how long marks of a finished move are kept.
	markRetention = time.Hour
	// forgetDataCentre is how long a data centre that sends nothing stays listed.
	forgetDataCentre = 24 * time.Hour
)

// LeaderRecord is the value of a leader key.
type LeaderRecord struct {
	Daemon      model.DaemonID `json:"daemon"`
	PeerAddress string         `json:"peerAddress"`
}

// Codec decodes and encodes the values in the store.
type Codec interface {
	DecodeConfiguration(data []byte) (*model.Configuration, error)
	EncodeConfiguration(c *model.Configuration) ([]byte, error)
	DecodeLeader(data []byte) (LeaderRecord, error)
	EncodeLeader(r LeaderRecord) ([]byte, error)
}

// Config is what an agent needs to start.
type Config struct {
	// Target is the target beside the daemon, with the daemon's ID, incarnation, data centre, region and addresses.
	Target model.Target
	// Seeds are peer addresses of other daemons, used when the platform does not answer.
	Seeds []string
	Rand  *rand.Rand
	Codec Codec
}

func (c *Config) leaseKey() string { return leaderKey(c.Target.DataCentre) }

func newMembers(c *Config) *membership.Members { return membership.NewMembers(c.Target) }
