package process

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine was started, including the time for which it was suspended. The monotonic clock of
// package time stops meanwhile, and the time of day may jump.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // all supported kernels have this clock
	}
	return time.Duration(t.Nano())
}
