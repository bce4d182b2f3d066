package catalog

import (
	"time"

	"sniperail.example/sniperail/internal/model"
)

// lag says how far this daemon's configuration is behind that of other daemons.
type lag struct {
	// number is the highest configuration number that a peer has announced, and from the peer address of the daemon that
	// announced it.
	number model.Number
	from   string
	// since is when this daemon learned that it is behind; zero while it is not.
	since time.Time
	// askAt is when a peer is asked for the configuration next, and asks counts the peers asked so far.
	askAt time.Time
	asks  int
}

const (
	// firstAskDelay is the longest delay before a daemon that is behind asks a peer. A missing delta often arrives by another
	// way meanwhile.
	firstAskDelay = 100 * time.Millisecond
	// askInterval is the longest time between two such queries. It is shorter than the timeout of a query, since the peer may
	// be gone and the configuration must be in force within two seconds.
	askInterval = 400 * time.Millisecond
	// asksForDeltas is the number of queries for deltas only. With the last of them the daemon also lists the platform's keys,
	// and later ones ask for the whole configuration, which may have hundreds of kilobytes.
	asksForDeltas = 2
)

// configurationNumber returns the number of the configuration in force, 0 if there is none.
func (c *Core) configurationNumber() model.Number {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Number
}

// recordAnnouncedNumber records the configuration number that a peer announced. A daemon without a configuration is already
// getting it from the platform or by anti-entropy; all daemons that restart together would else send it to each other.
func (c *Core) recordAnnouncedNumber(now time.Time, number model.Number, from string) {
	if c.configuration == nil || number <= c.configuration.Number {
		return
	}
	if c.lag.since.IsZero() {
		c.recordBehind()
		c.lag.since, c.lag.askAt = now, now.Add(c.jitter(firstAskDelay))
	}
	if number >= c.lag.number {
		c.lag.number, c.lag.from = number, from
	}
}

// endLag ends the lag if the configuration in force has caught up, and returns how long the lag has lasted until now.
func (c *Core) endLag(now time.Time) time.Duration {
	if c.lag.since.IsZero() {
		return 0
	}
	lasted := now.Sub(c.lag.since)
	if c.configurationNumber() >= c.lag.number {
		c.lag = lag{}
	}
	return lasted
}

// askWhileBehind asks a peer for the configuration while this daemon is behind: first the one that announced it, then random
// ones.
func (c *Core) askWhileBehind(now time.Time) {
	l := &c.lag
	if l.since.IsZero() || now.Before(l.askAt) {
		return
	}
	if l.asks == 0 {
		c.log("configuration-behind", "number", formatNumber(l.number), "own", formatNumber(c.configurationNumber()), "from", l.from)
	}
	l.asks++
	l.askAt = now.Add(c.jitter(askInterval))
	address, number := l.from, c.configurationNumber()
	if l.asks > 1 {
		address = c.randomPeerAddress()
	}
	if l.asks == asksForDeltas && c.operatorKeys.listed {
		c.operatorKeys.scheduleList(now)
	}
	if l.asks > asksForDeltas {
		number = 0
	}
	if address != "" {
		c.queryCatalog(address, number, func() {})
	}
}
