// Package boottime reads a clock that keeps running while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, including suspensions. The monotonic clock of the Go runtime stops
// during a suspension, so it cannot measure how old a piece of information is.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the kernel has no boot time clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
