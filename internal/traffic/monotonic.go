package traffic

import "time"

// clockStart is the origin of monotonic times, and clockOffset is added to them, so that they are positive for any time that is
// compared.
var clockStart = time.Now()

const clockOffset = 1 << 62

// monotonic returns a time as nanoseconds for an atomic variable. Nanoseconds of the time of day would make the states of peers last
// too long, or end, when the clock is set.
func monotonic(t time.Time) int64 { return int64(t.Sub(clockStart)) + clockOffset }

// fromMonotonic returns the time that monotonic has converted.
func fromMonotonic(nanos int64) time.Time { return clockStart.Add(time.Duration(nanos - clockOffset)) }
