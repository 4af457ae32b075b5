// Package boottime reads a clock that keeps running while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. The runtime's monotonic clock stops in them, so
// it cannot tell how old a belief is.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the kernel has no boot time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
