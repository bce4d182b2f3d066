package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine started, including the time for which it was suspended (CLOCK_BOOTTIME). The monotonic
// clock of the runtime stands still meanwhile.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
