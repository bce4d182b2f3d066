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
}

// configurationNumber returns the number of the configuration in force, 0 if there is none.
func (c *Core) configurationNumber() model.Number {
	if c.configuration == nil {
		return 0
	}
	return c.configuration.Number
}

// recordAnnouncedNumber records the configuration number that a peer announced, and logs the start of a lag.
func (c *Core) recordAnnouncedNumber(now time.Time, number model.Number, from string) {
	if number <= c.configurationNumber() {
		return
	}
	if c.lag.since.IsZero() {
		c.lag.since = now
		c.log("configuration-behind", "number", formatNumber(number), "own", formatNumber(c.configurationNumber()), "from", from)
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
