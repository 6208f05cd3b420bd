// Package bootclock reads a clock that keeps running while the VM is suspended. Code
// that checks leases must use it: the monotonic clock of time.Now stops during a
// suspension, so an expired lease could still look valid.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the VM booted, including suspensions.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("bootclock: read CLOCK_BOOTTIME: " + err.Error()) // fails only for an invalid clock ID
	}
	return time.Duration(ts.Nano())
}
