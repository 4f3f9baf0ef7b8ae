package containment

import (
	"cmp"
	"slices"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// Lingering is a run whose end was not seen.
type Lingering struct {
	Instance controlapi.Instance `cbor:"1,keyasint"`
	UntilMS  int64               `cbor:"2,keyasint"`
}

// Body is what is remembered of one body beside the dispatches that are open.
type Body struct {
	Hash string `cbor:"1,keyasint"`
	// Lost are the instances that crashed with the body in flight since it last ran to its end.
	Lost []controlapi.Instance `cbor:"2,keyasint,omitempty"`
	// Suspect bodies run one at a time, and never two of them on one upstream.
	Suspect bool `cbor:"3,keyasint,omitempty"`
	// Alone is the instance to which the body was sent last as a suspect.
	Alone *controlapi.Instance `cbor:"4,keyasint,omitempty"`
	// Proven tells that the body has run to its end.
	Proven bool `cbor:"5,keyasint,omitempty"`
	// QuarantinedUntilMS ends the quarantine; 0 if there is none.
	QuarantinedUntilMS int64       `cbor:"6,keyasint,omitempty"`
	Lingering          []Lingering `cbor:"7,keyasint,omitempty"`
	// SeenMS is the state time of the last event that changed what is remembered.
	SeenMS int64 `cbor:"8,keyasint,omitempty"`
}

// opened counts the open dispatches of a body on one instance.
type opened struct {
	instance controlapi.Instance
	count    int
}

// tracked is a body with its open dispatches.
type tracked struct {
	Body
	open []opened
}

// remembered tells whether there is something to remember while nothing is open.
func (b *tracked) remembered() bool {
	return b.Suspect || b.Proven || b.QuarantinedUntilMS != 0 || len(b.Lingering) > 0
}

func (b *tracked) quarantine(nowMS int64) {
	b.SeenMS = nowMS
	b.QuarantinedUntilMS = nowMS + QuarantineMS
}

// hasLiveOpen tells whether the body has an open dispatch, beside own, on an
// instance that is not lost.
func (b *tracked) hasLiveOpen(own []controlapi.Instance) bool {
	return slices.ContainsFunc(b.open, func(o opened) bool {
		mine := 0
		if slices.Contains(own, o.instance) {
			mine = 1
		}
		return o.count > mine && !slices.Contains(b.Lost, o.instance)
	})
}

// openOn returns the index of the instance among the open ones, or -1.
func (b *tracked) openOn(instance controlapi.Instance) int {
	return slices.IndexFunc(b.open, func(o opened) bool { return o.instance == instance })
}

// exposed returns the instances that may be lost to the body, in a fixed order.
func (b *tracked) exposed(nowMS int64) []controlapi.Instance {
	instances := slices.Clone(b.Lost)
	for _, o := range b.open {
		instances = append(instances, o.instance)
	}
	for _, l := range b.Lingering {
		if l.UntilMS > nowMS {
			instances = append(instances, l.Instance)
		}
	}
	slices.SortFunc(instances, compareInstances)
	return slices.Compact(instances)
}

func (b *tracked) notLost(instances []controlapi.Instance) []controlapi.Instance {
	return slices.DeleteFunc(slices.Clone(instances), func(i controlapi.Instance) bool {
		return slices.Contains(b.Lost, i)
	})
}

func (b *tracked) linger(instance controlapi.Instance, nowMS int64) {
	if b.Proven {
		return
	}
	b.SeenMS = nowMS
	for i := range b.Lingering {
		if b.Lingering[i].Instance == instance {
			b.Lingering[i].UntilMS = nowMS + LingerMS
			return
		}
	}
	b.Lingering = append(b.Lingering, Lingering{instance, nowMS + LingerMS})
}

// prove clears the body: it does not crash each upstream that runs it.
func (b *tracked) prove(nowMS int64) {
	b.Body = Body{Hash: b.Hash, Proven: true, SeenMS: nowMS}
}

func (b *tracked) lingersOn(instance controlapi.Instance) bool {
	return slices.ContainsFunc(b.Lingering, func(l Lingering) bool { return l.Instance == instance })
}

func (b *tracked) crash(instance controlapi.Instance, nowMS int64) {
	if slices.Contains(b.Lost, instance) {
		return
	}
	b.Lost = append(b.Lost, instance)
	b.Lingering = slices.DeleteFunc(b.Lingering, func(l Lingering) bool { return l.Instance == instance })
	b.Suspect = true
	b.SeenMS = nowMS
	alone := b.Alone != nil && *b.Alone == instance
	if alone || (len(b.Lost) >= MaxLost && !b.Proven) {
		b.quarantine(nowMS)
	}
}

func compareInstances(a, b controlapi.Instance) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}
