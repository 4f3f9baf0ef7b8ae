// Package timing provides sleeps and periodic calls that end with a context, the boot-time clock of the machine and
// the time for which it was suspended.
package timing

import (
	"context"
	"hash/fnv"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	bootIDFile        = "/proc/sys/kernel/random/boot_id"
	timeNamespaceFile = "/proc/self/ns/time"
)

// BootTime returns the time since boot, suspended time included.
func BootTime() time.Duration { return clock(unix.CLOCK_BOOTTIME) }

// BootID returns a number other than 0 that identifies the boot of the machine and the time namespace of this process:
// values of BootTime are comparable if it is the same.
func BootID() (uint64, error) {
	id, err := os.ReadFile(bootIDFile)
	if err != nil {
		return 0, eris.Wrap(err, "read the boot id")
	}
	namespace, err := os.Readlink(timeNamespaceFile)
	if err != nil && !os.IsNotExist(err) { // kernels before 5.6 have none
		return 0, eris.Wrap(err, "read the time namespace")
	}
	return hashID(string(id), namespace), nil
}

// hashID returns a number other than 0 that identifies a list of texts.
func hashID(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// Suspended returns the time for which the machine has been suspended since its boot, which the
// differences between values of time.Now do not include.
func Suspended() time.Duration {
	return clock(unix.CLOCK_BOOTTIME) - clock(unix.CLOCK_MONOTONIC)
}

func clock(id int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(id, &ts); err != nil {
		panic(err) // both are available since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx is done and reports whether ctx is not done. It returns
// immediately if ctx is done or d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 || ctx.Err() != nil {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// EveryUntil calls fn once per interval until ctx is done or fn returns false. Calls do
// not overlap; one that takes longer than the interval delays the next.
func EveryUntil(ctx context.Context, interval time.Duration, fn func() bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !fn() {
				return
			}
		}
	}
}

// Every calls fn once per interval until ctx is done.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	EveryUntil(ctx, interval, func() bool {
		fn()
		return true
	})
}
