// Package runmove decides when the run of a stream is moved from one upstream to another, and what follows from the answers of the
// upstream that is asked for it. A move takes two calls: one copies the memory of the run while that goes on, and one stops it and
// copies the rest.
package runmove

import (
	"cmp"
	"time"
)

const (
	// silentPauses is the number of pauses without an event, each as long as the longest with which an answer is on time, after which a
	// stream counts as silent.
	silentPauses = 2
	// minSilence bounds the time after which a stream counts as silent, also where no pause is stated.
	minSilence = 500 * time.Millisecond
	// maxExtraSilence is the longer time for which a stream is awaited that hardly outlasts the earliest kill, and so is less likely to be
	// cut. Many preemptions end meanwhile, and moves are limited.
	maxExtraSilence = 2 * time.Second
	// hurryTime is the time before its deadline from which on no stream is awaited longer than others.
	hurryTime = time.Second
	// catchUpTime is the time after a stall in which the process reads the events that came meanwhile.
	catchUpTime = 100 * time.Millisecond
	// minTimeLeft is the time that a stream must have left: a move takes two calls, and the run has to be read in again in part.
	minTimeLeft = 500 * time.Millisecond
	// lastMovesTime is the time before the earliest kill from which on a run is moved though few more moves are allowed.
	lastMovesTime = 2500 * time.Millisecond
)

// Stream is a stream whose beginning the caller has.
type Stream struct {
	// LastEvent is when the latest event arrived.
	LastEvent time.Time
	// Numbered reports that the latest event had an id, with which another upstream can go on.
	Numbered bool
	// LongestPause is the longest pause between events with which the answer is on time; 0 if none is stated.
	LongestPause time.Duration
	// Deadline is that of the caller.
	Deadline time.Time
}

// silence returns the time without an event from which on the stream counts as silent.
func (s *Stream) silence() time.Duration { return max(silentPauses*s.LongestPause, minSilence) }

// HasTime reports whether the run of s can be moved in the time that is left.
func (s *Stream) HasTime(now time.Time) bool { return s.Deadline.Sub(now) >= minTimeLeft }

// Host is the host that forwards streams, which is stopping.
type Host struct {
	// EarliestKill and LatestKill are the times between which the process is killed.
	EarliestKill, LatestKill time.Time
	// RanSince is when the process last began to run after a stall, in which it could not read events.
	RanSince time.Time
}

// Due reports whether the run of s is to be moved now: it is silent, and may outlast the host.
func (h *Host) Due(s *Stream, now time.Time) bool {
	if !s.Numbered || !s.Deadline.After(h.EarliestKill) || !s.HasTime(now) {
		return false
	}
	return now.Sub(s.LastEvent) >= s.silence()+h.extraSilence(s, now) && now.Sub(h.RanSince) >= catchUpTime
}

// MustLeave reports whether the run of s, of which h carries the connection for another host, is to be moved now though it goes on: h is
// killed soon, and s may outlast it.
func (h *Host) MustLeave(s *Stream, now time.Time) bool {
	return s.Numbered && s.Deadline.After(h.EarliestKill) && s.HasTime(now) && !h.CanWait(now)
}

// Compare orders streams by how urgent it is to move their runs: negative if a comes before b. The later the deadline, up to the latest
// kill, the more likely the kill comes before it, and the longer the silence, the less likely the run goes on by itself.
func (h *Host) Compare(a, b *Stream) int {
	return cmp.Or(h.end(b).Compare(h.end(a)), a.LastEvent.Compare(b.LastEvent))
}

// end returns the latest time at which s ends.
func (h *Host) end(s *Stream) time.Time {
	if s.Deadline.After(h.LatestKill) {
		return h.LatestKill
	}
	return s.Deadline
}

// CanWait reports whether a silent run may still go on by itself in time.
func (h *Host) CanWait(now time.Time) bool { return h.EarliestKill.Sub(now) > lastMovesTime }

// extraSilence returns for how much longer than others s is awaited.
func (h *Host) extraSilence(s *Stream, now time.Time) time.Duration {
	if !s.Deadline.Before(h.LatestKill) || s.Deadline.Sub(now) < hurryTime {
		return 0
	}
	share := float64(h.LatestKill.Sub(s.Deadline)) / float64(h.LatestKill.Sub(h.EarliestKill))
	return time.Duration(share * float64(maxExtraSilence))
}

// Status is what an upstream answers to a call that moves a run.
type Status uint8

// The values of Status.
const (
	// Unanswered: no answer came, or one that tells nothing. The upstream may have done what it was asked for.
	Unanswered Status = iota
	// Unsent: nothing was sent.
	Unsent
	// Copied: the target has a copy of the run's memory.
	Copied
	// NoRun: the upstream does not run the request.
	NoRun
	// InProgress: another call for the run is in progress.
	InProgress
	// NoRoom: the target has no room or can't be reached.
	NoRoom
	// Unsupported: the upstream does not know the call.
	Unsupported
)

// String returns the name of s in logs and metrics.
func (s Status) String() string {
	return [...]string{"unanswered", "unsent", "copied", "no_run", "in_progress", "no_room", "unsupported"}[s]
}

// Answer is the answer to a call that moves a run.
type Answer struct {
	Status Status
	// Handle names the copy; empty if there is none.
	Handle string
}

// Supported reports whether the upstream may be asked again soon. One that does not know a run whose stream is open does not support
// the calls.
func (a Answer) Supported() bool { return a.Status != Unsupported && a.Status != NoRun }

// CopyServes reports whether the run may be stopped after this answer to the call that copies it while it goes on.
func (a Answer) CopyServes() bool { return a.Status == Copied && a.Handle != "" }

// Place is where a run goes on after it was asked to stop.
type Place uint8

// The values of Place.
const (
	// NotStopped: the run goes on as before.
	NotStopped Place = iota
	// AtTarget: it has stopped, and goes on at the target.
	AtTarget
	// AtSource: it has stopped, and can go on only where it ran before.
	AtSource
	// Nowhere: it may have stopped, and must not go on elsewhere, as it may also run. If its stream ends, that is not the end of the
	// answer unless the framing says so.
	Nowhere
)

// String returns the name of p in logs and metrics.
func (p Place) String() string { return [...]string{"not_stopped", "target", "source", "nowhere"}[p] }

// Stopped reports whether the run has stopped and can go on.
func (p Place) Stopped() bool { return p == AtTarget || p == AtSource }

// AfterStop returns where the run goes on after this answer to the call that stops it.
func (a Answer) AfterStop() Place {
	switch a.Status {
	case Copied, NoRoom:
		if a.Handle == "" {
			return Nowhere
		}
		if a.Status == Copied {
			return AtTarget
		}
		return AtSource
	case Unsent, NoRun, InProgress, Unsupported:
		return NotStopped
	default:
		return Nowhere
	}
}
