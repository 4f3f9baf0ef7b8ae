// Package containment bounds the number of upstreams that one request body can
// crash. It tracks the instances on which each body is in flight and those that
// crashed while running it. A body that has never completed is dispatched to at
// most MaxLostUpstreams upstreams.
package containment

import (
	"maps"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxLostUpstreams is the number of upstreams that one body may crash.
const MaxLostUpstreams = 2

// Retention periods and intervals. Those in milliseconds refer to state time, which
// is the time of the latest command that the control group has applied.
const (
	// QuarantineMS is the time for which a body is refused after the last attempt to run it.
	QuarantineMS = int64(24 * time.Hour / time.Millisecond)
	// SuspectRetentionMS is the time for which the crashes of a body are retained.
	SuspectRetentionMS = QuarantineMS
	// UnconfirmedRunMS is the time for which a run without an observed end counts as exposure.
	UnconfirmedRunMS = int64(10 * time.Minute / time.Millisecond)
	// KnownSafeRetentionMS is the time for which a body is known as safe after it completed.
	KnownSafeRetentionMS = int64(10 * time.Minute / time.Millisecond)
	// sweepIntervalMS is the minimum time between two sweeps for expired bodies.
	sweepIntervalMS = int64(10 * time.Second / time.Millisecond)
	// SuspectRetryAfter is the delay after which a body refused as SuspectBusy may be retried.
	SuspectRetryAfter = 100 * time.Millisecond
)

// Bounds on the bodies that are retained while they are not in flight.
const (
	maxKnownSafe = 4096
	maxSuspects  = 16384
)

// Ending is the way in which a dispatch ended.
type Ending int

// The endings of a dispatch.
const (
	// Completed: the request ran to completion, which shows that its body is safe.
	Completed Ending = iota
	// NotRun: the upstream is known not to have run it.
	NotRun
	// EndUnknown: the upstream may have run it, and no end was observed.
	EndUnknown
)

// State is the snapshot of a Tracker, without its in-flight dispatches.
type State struct {
	Bodies      []Body `cbor:"1,keyasint,omitempty"`
	LastSweepMS int64  `cbor:"2,keyasint,omitempty"`
}

// Tracker tracks request bodies. It is deterministic: it has no clock, and times
// are passed in.
type Tracker struct {
	bodies map[string]*trackedBody
	// inFlight holds, per instance, the bodies with an in-flight dispatch by hash.
	inFlight    map[controlapi.Instance]map[string]*trackedBody
	lastSweepMS int64
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		bodies:   make(map[string]*trackedBody),
		inFlight: make(map[controlapi.Instance]map[string]*trackedBody),
	}
}

// FromState returns a Tracker restored from s. In-flight dispatches are added
// afterwards by RestoreDispatch.
func FromState(s State) *Tracker {
	t := New()
	t.lastSweepMS = s.LastSweepMS
	for _, b := range s.Bodies {
		t.getOrCreate(b.Hash).Body = b
	}
	return t
}

// State returns the snapshot of the tracker, in a fixed order.
func (t *Tracker) State() State {
	s := State{LastSweepMS: t.lastSweepMS}
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		if b := t.bodies[hash]; b.retained() {
			s.Bodies = append(s.Bodies, b.Body)
		}
	}
	return s
}

func (t *Tracker) getOrCreate(hash string) *trackedBody {
	b := t.bodies[hash]
	if b == nil {
		b = &trackedBody{Body: Body{Hash: hash}}
		t.bodies[hash] = b
	}
	return b
}

// Suspects returns the suspect bodies, which were in flight when an instance
// crashed, in the order of their hashes.
func (t *Tracker) Suspects() []controlapi.SuspectStatus {
	var list []controlapi.SuspectStatus
	for _, hash := range slices.Sorted(maps.Keys(t.bodies)) {
		if b := t.bodies[hash]; b.Suspect {
			list = append(list, controlapi.SuspectStatus{BodyHash: hash, Lost: slices.Clone(b.Lost), QuarantinedUntilMS: b.QuarantinedUntilMS})
		}
	}
	return list
}

// Clear removes the retained state of a body; its in-flight dispatches still count.
func (t *Tracker) Clear(hash string) {
	b := t.bodies[hash]
	if b == nil {
		return
	}
	b.Body = Body{Hash: hash}
	t.removeIfUnused(b)
}

// IsSuspect reports whether the body is a suspect, which has to run in isolation.
func (t *Tracker) IsSuspect(hash string) bool {
	b := t.bodies[hash]
	return b != nil && b.Suspect
}

// CheckQuarantine refuses a quarantined body and extends its quarantine, so that
// a body that is sent repeatedly stays quarantined.
func (t *Tracker) CheckQuarantine(hash string, nowMS int64) *errkind.Error {
	b := t.bodies[hash]
	if b == nil || b.QuarantinedUntilMS <= nowMS {
		return nil
	}
	b.quarantine(nowMS)
	return errkind.New(errkind.Quarantined, "upstreams crashed while they ran this request")
}

// CheckDispatch returns an error if the body must not be sent to the instance,
// and the instances that it is restricted to, if any. The dispatches of the same
// request that were abandoned are not counted as other copies. It changes nothing.
func (t *Tracker) CheckDispatch(hash string, to controlapi.Instance, nowMS int64, abandoned ...controlapi.Instance) (*errkind.Error, []controlapi.Instance) {
	b := t.bodies[hash]
	if b == nil {
		return nil, nil
	}
	if slices.Contains(b.Lost, to) {
		return suspectBusy("upstream %s crashed with this request in flight", to.Upstream), nil
	}
	if b.Suspect {
		if b.inFlightElsewhere(abandoned) {
			return suspectBusy("the request was in flight at a crash and another copy of it is running"), nil
		}
		if t.runsOtherSuspect(b, to) {
			return suspectBusy("upstream %s runs another request that was in flight at a crash", to.Upstream), nil
		}
	}
	if b.KnownSafe {
		return nil, nil
	}
	exposed := b.exposedInstances(nowMS)
	if slices.Contains(exposed, to) || len(exposed) < MaxLostUpstreams {
		return nil, nil
	}
	return suspectBusy("the request has not completed yet and is restricted to %d upstreams", MaxLostUpstreams), b.withoutLost(exposed)
}

func suspectBusy(format string, args ...any) *errkind.Error {
	return errkind.New(errkind.SuspectBusy, format, args...).WithRetryAfter(SuspectRetryAfter)
}

func (t *Tracker) runsOtherSuspect(b *trackedBody, on controlapi.Instance) bool {
	for _, other := range t.inFlight[on] {
		if other != b && other.Suspect {
			return true
		}
	}
	return false
}

// RecordDispatch records that the body is sent to the instance.
func (t *Tracker) RecordDispatch(hash string, to controlapi.Instance) {
	b := t.getOrCreate(hash)
	if b.Suspect {
		b.LastSuspectInstance = &to
	}
	t.addDispatch(b, to)
}

// RestoreDispatch adds the in-flight dispatch of a request record from a snapshot.
func (t *Tracker) RestoreDispatch(hash string, to controlapi.Instance) {
	t.addDispatch(t.getOrCreate(hash), to)
}

func (t *Tracker) addDispatch(b *trackedBody, to controlapi.Instance) {
	if i := b.dispatchIndex(to); i >= 0 {
		b.dispatches[i].count++
	} else {
		b.dispatches = append(b.dispatches, instanceDispatches{to, 1})
	}
	if t.inFlight[to] == nil {
		t.inFlight[to] = make(map[string]*trackedBody)
	}
	t.inFlight[to][b.Hash] = b
}

// EndDispatches records that dispatches of the body ended.
func (t *Tracker) EndDispatches(hash string, dispatches []controlapi.Instance, ending Ending, nowMS int64) {
	b := t.getOrCreate(hash)
	for _, instance := range dispatches {
		t.removeDispatch(b, instance)
		if ending == EndUnknown && !slices.Contains(b.Lost, instance) {
			b.recordUnconfirmed(instance, nowMS)
		}
	}
	if ending == Completed && len(dispatches) > 0 {
		b.markKnownSafe(nowMS)
	}
	t.removeIfUnused(b)
}

func (t *Tracker) removeDispatch(b *trackedBody, instance controlapi.Instance) {
	i := b.dispatchIndex(instance)
	if b.dispatches[i].count--; b.dispatches[i].count > 0 {
		return
	}
	b.dispatches = slices.Delete(b.dispatches, i, i+1)
	if len(b.dispatches) == 0 {
		b.dispatches = nil
	}
	delete(t.inFlight[instance], b.Hash)
	if len(t.inFlight[instance]) == 0 {
		delete(t.inFlight, instance)
	}
}

func (t *Tracker) removeIfUnused(b *trackedBody) {
	if len(b.dispatches) == 0 && !b.retained() {
		delete(t.bodies, b.Hash)
	}
}

// RecordCrash records that the instance crashed. The bodies in flight there, those
// with an unconfirmed run there, and those that the reporting host had in flight
// become suspects.
func (t *Tracker) RecordCrash(instance controlapi.Instance, reported []string, nowMS int64) {
	hashes := slices.Concat(reported, slices.Collect(maps.Keys(t.inFlight[instance])))
	for hash, b := range t.bodies {
		if b.hasUnconfirmedRun(instance) {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	for _, hash := range slices.Compact(hashes) {
		t.getOrCreate(hash).recordCrash(instance, nowMS)
	}
}
