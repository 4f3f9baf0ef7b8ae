package prepaid

import "time"

const (
	// clockTolerance is the difference between the advance of a host's boot-time clock and
	// that of its wall clock up to which the two count as consistent.
	clockTolerance = 500 * time.Millisecond
	// maxClockStep is the largest step back of a wall clock that hides no reboot.
	maxClockStep = 5 * time.Second
)

// maxGap returns the longest time that can have passed between the session's last report
// and the end of its process, and whether it is known.
func (b *Book) maxGap(s *Session, o SessionOpening) (time.Duration, bool) {
	if gap, same := s.gapWithinBoot(o); same {
		return gap, true
	}
	return b.between(s.Made, o.start())
}

// gapWithinBoot returns the gap by the host's boot-time clock, which is exact, and whether
// the machine was certainly not rebooted. After a reboot the gap would be longer than the
// time since boot, and the wall clock would show that unless it was stepped back by more.
func (s *Session) gapWithinBoot(o SessionOpening) (time.Duration, bool) {
	boot, wall := time.Duration(o.BootTime-s.BootTime), time.Duration(o.WallTime-s.WallTime)
	return boot, boot >= 0 && (boot-wall).Abs() <= clockTolerance && wall+maxClockStep < time.Duration(o.BootTime)
}

// start returns a reading of the leader's clock that is not before the start of the process.
func (o *SessionOpening) start() ClockReading {
	return ClockReading{Clock: o.Arrival.Clock, Time: o.Arrival.Time - o.Age}
}
