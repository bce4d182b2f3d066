// Package agent composes the state machines of one daemon into its control core. The core is single-threaded and does no
// I/O: it maps events to effects.
package agent

import (
	"math/rand/v2"
	"time"

	"sniperail.example/sniperail/internal/command/membership"
	"sniperail.example/sniperail/internal/model"
)

const (
	// LeaseTTL bounds how long a data centre has no leader after its leader died. Shorter leases expire while the process of
	// a leader waits for a busy processor.
	LeaseTTL = 5 * time.Second
	// KeepAliveInterval allows two more attempts before a lease of LeaseTTL expires.
	KeepAliveInterval = 1500 * time.Millisecond
	// IsolatedAfter is the time without a confirmed connection to the source of configuration after which a daemon counts as
	// isolated. It exceeds the time to replace a dead leader (LeaseTTL and about a second for the election), so that a
	// change of leaders does not set the share of a version under move to zero and back.
	IsolatedAfter = 8 * time.Second
	// startJitter spreads the first reads of daemons that start at the same time.
	startJitter = time.Second
	// electionJitter spreads the campaigns of daemons that found no leader, so that one of them creates the leader key
	// before most others have requested a lease.
	electionJitter = 2 * time.Second
	// parentBackoffBase and parentBackoffMax bound the backoff of a daemon that looks for a parent.
	parentBackoffBase = 500 * time.Millisecond
	parentBackoffMax  = 4 * time.Second
	// reannounceJitter spreads the announcements of members whose relay was lost.
	reannounceJitter = 500 * time.Millisecond
	// sweepInterval is how often a leader or relay checks for silent members.
	sweepInterval = 500 * time.Millisecond
	// maxEventGap is the longest time between two events of a leader or relay that runs normally, since it wakes each
	// sweepInterval. After a longer gap, during which the process was suspended, the deadlines of its members are extended.
	// Otherwise a resumed daemon would declare all daemons below it silent.
	maxEventGap = 2 * sweepInterval
	// rosterDelay batches roster changes before they are sent down the tree, since each costs one message per daemon.
	rosterDelay = 200 * time.Millisecond
	// reportDelay batches changes before an early heartbeat.
	reportDelay = 100 * time.Millisecond
	// exchangeInterval is the time between exchanges if nothing changes; changes are batched for exchangeDelay and then sent.
	// A leader has seven peers, so that exchanges each second would cost as much as all its heartbeats.
	exchangeInterval = 2 * time.Second
	exchangeDelay    = 100 * time.Millisecond
	// BlindAfter is the time without an exchange from a data centre after which it counts as blind: three intervals.
	BlindAfter = 3*exchangeInterval + 500*time.Millisecond
	// reachableWithin is the maximum age of another leader's last reply for it to count as reachable in an outage.
	reachableWithin = 2*exchangeInterval + 500*time.Millisecond
	// listInterval is how often a leader lists the other leaders.
	listInterval = 10 * time.Second
	// maxMissedLists is the number of consecutive lists without a leader of a data centre after which its targets count as
	// silent. Its daemons elect another leader within LeaseTTL and a few seconds, unless all are dead or cut off.
	maxMissedLists = 2
	// configurationReadInterval is how often a leader reads the configuration even if its watch reports no change.
	configurationReadInterval = 15 * time.Second
	// maxMissedHeartbeats is the number of consecutive failed heartbeats after which a daemon looks for another parent.
	maxMissedHeartbeats = 2
	// heartbeatRetryDelay is the delay of the next heartbeat after a failed one. A whole interval would add a second to the
	// convergence of every daemon below a relay that dies during a change.
	heartbeatRetryDelay = 150 * time.Millisecond
	// markRetention is how long marks of a finished move are kept.
	markRetention = time.Hour
	// dataCentreRetention is how long the targets of a data centre that sends no exchange stay listed.
	dataCentreRetention = 24 * time.Hour
)

// LeaderRecord is the value of a leader key.
type LeaderRecord struct {
	Daemon      model.DaemonID `json:"daemon"`
	PeerAddress string         `json:"peerAddress"`
}

// Codec encodes and decodes the values in the store.
type Codec interface {
	DecodeConfiguration(data []byte) (*model.Configuration, error)
	EncodeConfiguration(c *model.Configuration) ([]byte, error)
	DecodeLeader(data []byte) (LeaderRecord, error)
	EncodeLeader(r LeaderRecord) ([]byte, error)
}

// Config is what an agent needs to start.
type Config struct {
	// Target is the daemon's local target, with the daemon's ID, incarnation, data centre, region and addresses.
	Target model.Target
	// Seeds are peer addresses of other daemons, used if the platform does not answer.
	Seeds []string
	Rand  *rand.Rand
	Codec Codec
}

func (c *Config) leaseKey() string { return leaderKey(c.Target.DataCentre) }

func newMembers(c *Config) *membership.Members { return membership.NewMembers(c.Target) }
