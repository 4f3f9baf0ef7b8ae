package prepaid

import (
	"slices"
	"time"
)

const (
	// maxClockChanges is the number of changes of the leader that a book remembers.
	maxClockChanges = 8
	// minWallEstimates is the least number of hosts whose wall clocks relate the clocks of two
	// leaders. A majority of the hosts is needed too.
	minWallEstimates = 3
)

// ClockChange relates the clocks of two leaders.
type ClockChange struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	// Offset is at most To's reading less From's reading at one moment.
	Offset int64 `cbor:"3,keyasint"`
	// Continuous reports that the process of a host ran through the change. Otherwise Offset is
	// the least that the wall clocks of Estimates restarted hosts yield: one that was set back
	// yields too much.
	Continuous bool `cbor:"4,keyasint,omitempty"`
	Estimates  int  `cbor:"5,keyasint,omitempty"`
}

// ReportTimes are the times of a report.
type ReportTimes struct {
	Arrived  ClockReading `cbor:"1,keyasint"`
	BootTime int64        `cbor:"2,keyasint"`
	WallTime int64        `cbor:"3,keyasint"`
	// Restarted reports that the process which made the report has ended.
	Restarted bool `cbor:"4,keyasint,omitempty"`
}

// reportTimes returns the times of the session's last report, or nil if its arrival is unknown.
func (s *Session) reportTimes(restarted bool) *ReportTimes {
	if s.Arrived.Clock == 0 {
		return nil
	}
	return &ReportTimes{Arrived: s.Arrived, BootTime: s.BootTime, WallTime: s.WallTime, Restarted: restarted}
}

// recordReportTimes records the times of a new report. It was made after the previous one was
// acknowledged, and thus after that one arrived.
func (b *Book) recordReportTimes(s *Session, r *Report) {
	if s.Arrived.Clock != 0 && s.Arrived.Clock != r.Arrival.Clock {
		s.BeforeChange = s.reportTimes(false)
	}
	s.Made = s.Arrived
	s.Made.Time += r.AckAge
	s.Arrived, s.BootTime, s.WallTime = r.Arrival, r.BootTime, r.WallTime
	if before := s.BeforeChange; before != nil && s.Made.Clock != 0 && s.Made.Clock != before.Arrived.Clock {
		b.recordClockChange(before, s)
		s.BeforeChange = nil
	}
}

// recordClockChange relates the clocks of the leaders that received the report before and the
// session's last report.
func (b *Book) recordClockChange(before *ReportTimes, s *Session) {
	elapsed := s.BootTime - before.BootTime
	if before.Restarted {
		if before.WallTime == 0 || s.WallTime == 0 {
			return // a build that does not report it
		}
		elapsed = s.WallTime - before.WallTime
	}
	offset := s.Made.Time - elapsed - before.Arrived.Time
	c := b.clockChange(before.Arrived.Clock, s.Made.Clock)
	switch {
	case !before.Restarted && c.Continuous:
		c.Offset = max(c.Offset, offset)
	case !before.Restarted:
		c.Offset, c.Continuous = offset, true
	case !c.Continuous && c.Estimates > 0:
		c.Offset = min(c.Offset, offset)
		c.Estimates++
	case !c.Continuous:
		c.Offset, c.Estimates = offset, 1
	}
}

// clockChange returns the change between the clocks of two leaders, and creates it if needed.
func (b *Book) clockChange(from, to uint64) *ClockChange {
	i := slices.IndexFunc(b.ClockChanges, func(c ClockChange) bool { return c.From == from && c.To == to })
	if i < 0 {
		first := max(len(b.ClockChanges)-maxClockChanges+1, 0)
		b.ClockChanges = append(b.ClockChanges[first:], ClockChange{From: from, To: to})
		i = len(b.ClockChanges) - 1
	}
	return &b.ClockChanges[i]
}

// between returns a time not shorter than that from one reading to another, and whether it is
// known.
func (b *Book) between(from, to ClockReading) (time.Duration, bool) {
	if from.Clock == 0 || to.Clock == 0 {
		return 0, false
	}
	if from.Clock == to.Clock {
		return time.Duration(to.Time - from.Time), true
	}
	for _, c := range b.ClockChanges {
		if c.From == from.Clock && c.To == to.Clock && c.known(len(b.Sessions)) {
			return time.Duration(to.Time - from.Time - c.Offset), true
		}
	}
	return 0, false
}

// known reports whether the change is measured in a fleet of so many hosts.
func (c *ClockChange) known(hosts int) bool {
	return c.Continuous || c.Estimates >= max(minWallEstimates, majority(hosts))
}
