package prepaid

import "time"

const (
	// clockTolerance is the difference between the advance of a host's boot-time clock and
	// that of its wall clock up to which the two count as consistent.
	clockTolerance = 500 * time.Millisecond
	// clockUncertainty is added to a duration measured by the wall clocks of two control
	// hosts. Within a region these clocks agree within 100 ms.
	clockUncertainty = 150 * time.Millisecond
)

// UseBootClocks makes the book measure gaps by boot-time clocks only. All replicas must begin this
// with the same entry of the log, as builds that do not know it go on with wall clocks.
func (b *Book) UseBootClocks() {
	b.BootClocks = true
	for _, s := range b.Sessions {
		s.WallTime, s.ArrivalTime, s.MadeTime = 0, 0, 0
	}
}

// newSession returns the session of a host's new process.
func (b *Book) newSession(o SessionOpening) *Session {
	s := &Session{ID: o.Session, BootTime: o.BootTime, Holdings: map[string]*Holding{}}
	if b.BootClocks || b.ClockAgreement {
		s.Boot = o.Boot
	}
	if !b.BootClocks {
		s.WallTime, s.ArrivalTime = o.WallTime, o.ArrivalTime
	}
	return s
}

// recordTimes records the times of a new report. arrival is the wall clock of the control host when
// it arrived, in Unix ns.
func (b *Book) recordTimes(s *Session, r *Report, arrival int64) {
	s.BootTime = r.BootTime
	if b.BootClocks || b.ClockAgreement {
		// A host makes a report only after the one before it was acknowledged, and thus after that arrived.
		s.Boot, s.Made, s.Arrived = r.Boot, s.Arrived, r.Arrival
		if s.Made.Process != 0 {
			s.Made.Time += max(r.AckAge, 0)
		}
	}
	if !b.BootClocks {
		if s.Made.Process != 0 {
			s.MadeTime = s.ArrivalTime + max(r.AckAge, 0)
		}
		s.WallTime, s.ArrivalTime = r.WallTime, arrival
	}
}

// maxGap returns the longest time that can have passed between the making of the session's last
// report and the end of its process, and whether it is known. The clock of a leader that led all the
// time bounds it. The host's own clock is exact unless the machine was rebooted: that shows in the
// boot that it states or, if an environment gives all boots the same one, in a clock that went back or
// further than the leader's. With ClockAgreement, wall clocks that agree come before the host's own if no leader led all the time.
func (b *Book) maxGap(s *Session, o SessionOpening) (gap time.Duration, known bool) {
	if !b.BootClocks && !b.ClockAgreement {
		return s.maxGapByWallClocks(o)
	}
	most, bounded := s.gapOfLeader(o)
	if !bounded && !b.BootClocks {
		if gap, agree := s.gapOfAgreeingClocks(o); agree {
			return gap, true
		}
	}
	if own := time.Duration(o.BootTime - s.BootTime); o.Boot != 0 && o.Boot == s.Boot && own >= 0 && (!bounded || own <= most) {
		return own, true
	}
	return most, bounded
}

// gapOfAgreeingClocks returns the gap by the wall clocks of the host and of the control hosts, and whether both measure the
// same. The control hosts' clock measures it from the arrival of the last report at least, and from that of the report
// before it at most. Clocks that were stepped by the same time go unnoticed.
func (s *Session) gapOfAgreeingClocks(o SessionOpening) (time.Duration, bool) {
	host := time.Duration(o.WallTime - s.WallTime)
	least, most := time.Duration(o.ArrivalTime-s.ArrivalTime-o.Age), time.Duration(o.ArrivalTime-s.MadeTime-o.Age)
	if s.MadeTime == 0 || host < 0 || host < least-clockTolerance || host > most+clockTolerance {
		return 0, false
	}
	return max(host, most) + clockUncertainty, true
}

// gapOfLeader returns the gap by the clock of the leader, and whether the same one read it at both ends.
func (s *Session) gapOfLeader(o SessionOpening) (time.Duration, bool) {
	if o.Arrival.Process == 0 || o.Arrival.Process != s.Made.Process {
		return 0, false
	}
	gap := time.Duration(o.Arrival.Time - s.Made.Time - o.Age)
	return max(gap, 0), gap >= 0
}

// maxGapByWallClocks is maxGap without BootClocks. The host's boot-time clock measures the gap exactly
// unless the machine was rebooted, which shows as a different advance of its wall clock. After a
// reboot the gap is the larger of two wall-clock measurements, by the host and by the control group,
// plus clockUncertainty: a single clock that was stepped back would yield a gap that is too short.
func (s *Session) maxGapByWallClocks(o SessionOpening) (time.Duration, bool) {
	boot, wall := time.Duration(o.BootTime-s.BootTime), time.Duration(o.WallTime-s.WallTime)
	if boot >= 0 && (boot-wall).Abs() <= clockTolerance {
		return boot, true
	}
	if wall < 0 {
		return wall, false
	}
	control := time.Duration(o.ArrivalTime - s.ArrivalTime - o.Age)
	return max(wall, control) + clockUncertainty, true
}
