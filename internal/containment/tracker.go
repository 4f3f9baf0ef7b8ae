// Package containment bounds the upstreams that are lost to one request body.
// It tracks where each body is in flight and which upstreams were lost with it.
// A body that has never run to its end is exposed to at most MaxLost upstreams.
package containment

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxLost bounds the upstreams that may be lost to one body.
const MaxLost = 2

// Periods, in milliseconds of state time.
const (
	// QuarantineMS is the time for which a body is refused after its last attempt to run.
	QuarantineMS = int64(24 * time.Hour / time.Millisecond)
	// SuspectRetentionMS is the time for which the crashes of a body are remembered.
	SuspectRetentionMS = QuarantineMS
	// LingerMS is the time for which a run without a known end still counts as exposure.
	LingerMS = int64(10 * time.Minute / time.Millisecond)
	// ProvenRetentionMS is the time for which a body is known as harmless after a run to its end.
	ProvenRetentionMS = int64(10 * time.Minute / time.Millisecond)
	// sweepIntervalMS is the time between two searches for bodies to forget.
	sweepIntervalMS = int64(10 * time.Second / time.Millisecond)
	// SuspectRetryAfter is the time after which a refused copy of a body is worth another try.
	SuspectRetryAfter = 100 * time.Millisecond
)

// Bounds on the bodies that are remembered while they are not in flight.
const (
	maxProven   = 4096
	maxSuspects = 16384
)

// Ending tells how a dispatch ended.
type Ending int

// The endings of a dispatch.
const (
	// Completed: the request ran to its end, which proves its body harmless.
	Completed Ending = iota
	// NotRun: the upstream provably did not run it.
	NotRun
	// NoEnd: it may have run, and its end was not seen.
	NoEnd
)

// State is the content of a tracker without the open dispatches, for a snapshot.
type State struct {
	Bodies      []Body `cbor:"1,keyasint,omitempty"`
	LastSweepMS int64  `cbor:"2,keyasint,omitempty"`
}

// Tracker tracks the bodies. It does nothing by itself: times are passed in.
type Tracker struct {
	bodies map[string]*tracked
	// inFlight holds the bodies with an open dispatch on each instance.
	inFlight    map[controlapi.Instance]map[string]*tracked
	lastSweepMS int64
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		bodies:   make(map[string]*tracked),
		inFlight: make(map[controlapi.Instance]map[string]*tracked),
	}
}

// FromState returns a tracker with the content s. The open dispatches are
// added afterwards by Restore.
func FromState(s State) *Tracker {
	t := New()
	t.lastSweepMS = s.LastSweepMS
	for _, b := range s.Bodies {
		t.body(b.Hash).Body = b
	}
	return t
}

// State returns the content of the tracker, in a fixed order.
func (t *Tracker) State() State {
	s := State{LastSweepMS: t.lastSweepMS}
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		if b := t.bodies[hash]; b.remembered() {
			s.Bodies = append(s.Bodies, b.Body)
		}
	}
	return s
}

func (t *Tracker) body(hash string) *tracked {
	b := t.bodies[hash]
	if b == nil {
		b = &tracked{Body: Body{Hash: hash}}
		t.bodies[hash] = b
	}
	return b
}

// Suspects returns the bodies that were in flight when an instance was lost,
// in the order of their hashes.
func (t *Tracker) Suspects() []controlapi.SuspectStatus {
	var list []controlapi.SuspectStatus
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		if b := t.bodies[hash]; b.Suspect {
			list = append(list, controlapi.SuspectStatus{BodyHash: hash, Lost: slices.Clone(b.Lost), QuarantinedUntilMS: b.QuarantinedUntilMS})
		}
	}
	return list
}

// Clear forgets the crashes of a body; its open dispatches still count.
func (t *Tracker) Clear(hash string) {
	b := t.bodies[hash]
	if b == nil {
		return
	}
	b.Body = Body{Hash: hash}
	t.forgetIfIdle(b)
}

// Suspect tells whether the body runs alone.
func (t *Tracker) Suspect(hash string) bool {
	b := t.bodies[hash]
	return b != nil && b.Suspect
}

// CheckQuarantine refuses a quarantined body and prolongs its quarantine, so
// that a body which is sent again and again stays out.
func (t *Tracker) CheckQuarantine(hash string, nowMS int64) *errkind.Error {
	b := t.bodies[hash]
	if b == nil || b.QuarantinedUntilMS <= nowMS {
		return nil
	}
	b.quarantine(nowMS)
	return errkind.New(errkind.Quarantined, "upstreams were lost while they ran this request")
}

// CheckOpen returns why the body may not be sent to the instance now, and
// where it may be sent instead. Own are the request's earlier dispatches, which
// it has given up. Nothing is changed.
func (t *Tracker) CheckOpen(hash string, to controlapi.Instance, nowMS int64, own ...controlapi.Instance) (*errkind.Error, []controlapi.Instance) {
	b := t.bodies[hash]
	if b == nil {
		return nil, nil
	}
	if slices.Contains(b.Lost, to) {
		return busy("upstream %s was lost with this request in flight", to.Upstream), nil
	}
	if b.Suspect {
		if b.hasLiveOpen(own) {
			return busy("another copy of a request that was in flight at a crash is running"), nil
		}
		if t.hasOtherSuspect(b, to) {
			return busy("upstream %s runs another request that was in flight at a crash", to.Upstream), nil
		}
	}
	if b.Proven {
		return nil, nil
	}
	exposed := b.exposed(nowMS)
	if slices.Contains(exposed, to) || len(exposed) < MaxLost {
		return nil, nil
	}
	return busy("the request has not run to its end yet and is confined to %d upstreams", MaxLost), b.notLost(exposed)
}

func busy(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.SuspectBusy, format, args...).WithRetryAfter(SuspectRetryAfter)
}

func (t *Tracker) hasOtherSuspect(b *tracked, on controlapi.Instance) bool {
	for _, other := range t.inFlight[on] {
		if other != b && other.Suspect {
			return true
		}
	}
	return false
}

// Open takes note that the body is sent to the instance.
func (t *Tracker) Open(hash string, to controlapi.Instance) {
	b := t.body(hash)
	if b.Suspect {
		b.Alone = &to
	}
	t.add(b, to)
}

// Restore takes in an open dispatch of a record from a snapshot.
func (t *Tracker) Restore(hash string, to controlapi.Instance) { t.add(t.body(hash), to) }

func (t *Tracker) add(b *tracked, to controlapi.Instance) {
	if i := b.openOn(to); i >= 0 {
		b.open[i].count++
	} else {
		b.open = append(b.open, opened{to, 1})
	}
	if t.inFlight[to] == nil {
		t.inFlight[to] = make(map[string]*tracked)
	}
	t.inFlight[to][b.Hash] = b
}

// Close takes note that dispatches of the body ended.
func (t *Tracker) Close(hash string, dispatches []controlapi.Instance, ending Ending, nowMS int64) {
	b := t.body(hash)
	for _, instance := range dispatches {
		t.remove(b, instance)
		if ending == NoEnd && !slices.Contains(b.Lost, instance) {
			b.linger(instance, nowMS)
		}
	}
	if ending == Completed && len(dispatches) > 0 {
		b.prove(nowMS)
	}
	t.forgetIfIdle(b)
}

func (t *Tracker) remove(b *tracked, instance controlapi.Instance) {
	i := b.openOn(instance)
	if b.open[i].count--; b.open[i].count > 0 {
		return
	}
	b.open = slices.Delete(b.open, i, i+1)
	if len(b.open) == 0 {
		b.open = nil
	}
	delete(t.inFlight[instance], b.Hash)
	if len(t.inFlight[instance]) == 0 {
		delete(t.inFlight, instance)
	}
}

func (t *Tracker) forgetIfIdle(b *tracked) {
	if len(b.open) == 0 && !b.remembered() {
		delete(t.bodies, b.Hash)
	}
}

// Crash takes note that the instance was lost. The bodies in flight there, and
// those that the reporting host had in flight, become suspects.
func (t *Tracker) Crash(instance controlapi.Instance, reported []string, nowMS int64) {
	hashes := slices.Concat(reported, slices.Collect(maps.Keys(t.inFlight[instance])))
	for hash, b := range t.bodies {
		if b.lingersOn(instance) {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	for _, hash := range slices.Compact(hashes) {
		t.body(hash).crash(instance, nowMS)
	}
}
