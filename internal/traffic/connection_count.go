package traffic

import "sync/atomic"

// connectionCount is a connectionLimit that only counts.
type connectionCount struct {
	open atomic.Int64
	most int64
}

// newConnectionCount returns a limit, or nil if most is 0.
func newConnectionCount(most int) connectionLimit {
	if most <= 0 {
		return nil
	}
	return &connectionCount{most: int64(most)}
}

func (c *connectionCount) openConnection() bool {
	if c.open.Add(1) <= c.most {
		return true
	}
	c.open.Add(-1)
	return false
}

func (c *connectionCount) closeConnection() { c.open.Add(-1) }
