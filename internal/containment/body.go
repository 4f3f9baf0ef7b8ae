package containment

import (
	"cmp"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// UnconfirmedRun is a run on an instance whose end was not observed.
type UnconfirmedRun struct {
	Instance controlapi.Instance `cbor:"1,keyasint"`
	// ExpiresMS is the state time until which the run counts as exposure.
	ExpiresMS int64 `cbor:"2,keyasint"`
}

// Body is the retained state of one request body, without its in-flight dispatches.
type Body struct {
	Hash string `cbor:"1,keyasint"`
	// Lost lists the instances that crashed with the body in flight since it last
	// completed.
	Lost []controlapi.Instance `cbor:"2,keyasint,omitempty"`
	// Suspect reports whether the body was in flight at a crash. A suspect body runs
	// one copy at a time, and an upstream runs one suspect body at a time.
	Suspect bool `cbor:"3,keyasint,omitempty"`
	// LastSuspectInstance is the instance to which the body was last sent as a suspect.
	LastSuspectInstance *controlapi.Instance `cbor:"4,keyasint,omitempty"`
	// KnownSafe reports whether the body has completed on an instance.
	KnownSafe bool `cbor:"5,keyasint,omitempty"`
	// QuarantinedUntilMS is the end of the quarantine in state time, or 0.
	QuarantinedUntilMS int64            `cbor:"6,keyasint,omitempty"`
	UnconfirmedRuns    []UnconfirmedRun `cbor:"7,keyasint,omitempty"`
	// UpdatedMS is the state time of the last change of the retained state.
	UpdatedMS int64 `cbor:"8,keyasint,omitempty"`
}

// instanceDispatches counts the in-flight dispatches of a body on one instance.
type instanceDispatches struct {
	instance controlapi.Instance
	count    int
}

// trackedBody is a body with its in-flight dispatches.
type trackedBody struct {
	Body
	dispatches []instanceDispatches
}

// retained reports whether the body must be kept while nothing is in flight.
func (b *trackedBody) retained() bool {
	return b.Suspect || b.KnownSafe || b.QuarantinedUntilMS != 0 || len(b.UnconfirmedRuns) > 0
}

func (b *trackedBody) quarantine(nowMS int64) {
	b.UpdatedMS = nowMS
	b.QuarantinedUntilMS = nowMS + QuarantineMS
}

// inFlightElsewhere reports whether the body has an in-flight dispatch, other than
// the abandoned ones of the same request, on an instance that is not lost.
func (b *trackedBody) inFlightElsewhere(abandoned []controlapi.Instance) bool {
	return slices.ContainsFunc(b.dispatches, func(d instanceDispatches) bool {
		excluded := 0
		if slices.Contains(abandoned, d.instance) {
			excluded = 1
		}
		return d.count > excluded && !slices.Contains(b.Lost, d.instance)
	})
}

// dispatchIndex returns the index of the instance in b.dispatches, or -1.
func (b *trackedBody) dispatchIndex(instance controlapi.Instance) int {
	return slices.IndexFunc(b.dispatches, func(d instanceDispatches) bool { return d.instance == instance })
}

// exposedInstances returns the instances that the body has crashed or may still
// crash, in a fixed order.
func (b *trackedBody) exposedInstances(nowMS int64) []controlapi.Instance {
	instances := slices.Clone(b.Lost)
	for _, d := range b.dispatches {
		instances = append(instances, d.instance)
	}
	for _, run := range b.UnconfirmedRuns {
		if run.ExpiresMS > nowMS {
			instances = append(instances, run.Instance)
		}
	}
	slices.SortFunc(instances, compareInstances)
	return slices.Compact(instances)
}

func (b *trackedBody) withoutLost(instances []controlapi.Instance) []controlapi.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i controlapi.Instance) bool {
		return slices.Contains(b.Lost, i)
	})
}

func (b *trackedBody) recordUnconfirmed(instance controlapi.Instance, nowMS int64) {
	if b.KnownSafe {
		return
	}
	b.UpdatedMS = nowMS
	for i := range b.UnconfirmedRuns {
		if b.UnconfirmedRuns[i].Instance == instance {
			b.UnconfirmedRuns[i].ExpiresMS = nowMS + UnconfirmedRunMS
			return
		}
	}
	b.UnconfirmedRuns = append(b.UnconfirmedRuns, UnconfirmedRun{instance, nowMS + UnconfirmedRunMS})
}

// markKnownSafe resets the body: its completion shows that it does not crash every
// upstream that runs it.
func (b *trackedBody) markKnownSafe(nowMS int64) {
	b.Body = Body{Hash: b.Hash, KnownSafe: true, UpdatedMS: nowMS}
}

func (b *trackedBody) hasUnconfirmedRun(instance controlapi.Instance) bool {
	return slices.ContainsFunc(b.UnconfirmedRuns, func(run UnconfirmedRun) bool { return run.Instance == instance })
}

func (b *trackedBody) recordCrash(instance controlapi.Instance, nowMS int64) {
	if slices.Contains(b.Lost, instance) {
		return
	}
	b.Lost = append(b.Lost, instance)
	b.UnconfirmedRuns = slices.DeleteFunc(b.UnconfirmedRuns, func(run UnconfirmedRun) bool { return run.Instance == instance })
	b.Suspect = true
	b.UpdatedMS = nowMS
	isolated := b.LastSuspectInstance != nil && *b.LastSuspectInstance == instance
	if isolated || (len(b.Lost) >= MaxLostUpstreams && !b.KnownSafe) {
		b.quarantine(nowMS)
	}
}

func compareInstances(a, b controlapi.Instance) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}
