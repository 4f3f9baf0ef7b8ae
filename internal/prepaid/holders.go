package prepaid

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// holdersPerOrganisation is the number of hosts that hold an organisation's tokens in a
	// large fleet. With three, one may be down and another unreachable.
	holdersPerOrganisation = 3
	// MaxDirectPeers is the number of other hosts up to which each host holds tokens of its
	// own: a host that lacks tokens can then ask all the others. In larger fleets equal
	// shares would be smaller than single requests.
	MaxDirectPeers = 8
)

// role is the part of a host in holding an organisation's tokens.
type role uint8

const (
	// roleIndependent hosts hold tokens for their own requests.
	roleIndependent role = iota
	// roleHolder hosts hold tokens for the requests of all hosts.
	roleHolder
	// roleBorrower hosts get the tokens for each request from the holders.
	roleBorrower
)

// Fleet is the set of gateway hosts among which the holders of each organisation's tokens
// are chosen. All hosts that know the same addresses choose the same holders.
type Fleet struct {
	own       string
	addresses []string
}

// NewFleet returns the fleet of the hosts at addresses, which must include own.
func NewFleet(own string, addresses []string) *Fleet {
	sorted := slices.Clone(addresses)
	slices.Sort(sorted)
	return &Fleet{own: own, addresses: slices.Compact(sorted)}
}

// concentrated reports whether the fleet is so large that few hosts hold the tokens.
func (f *Fleet) concentrated() bool { return f != nil && len(f.addresses) > MaxDirectPeers+1 }

// holders returns the addresses of the holders of an organisation's tokens, by descending
// rendezvous weight, or nil if each host holds its own.
func (f *Fleet) holders(organisation string) []string {
	if !f.concentrated() {
		return nil
	}
	type candidate struct {
		address string
		weight  uint64
	}
	compare := func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.address, b.address))
	}
	top := make([]candidate, 0, holdersPerOrganisation+1)
	for _, address := range f.addresses {
		c := candidate{address, holderWeight(organisation, address)}
		at, _ := slices.BinarySearchFunc(top, c, compare)
		if at < holdersPerOrganisation {
			top = slices.Insert(top, at, c)
			top = top[:min(len(top), holdersPerOrganisation)]
		}
	}
	list := make([]string, 0, len(top))
	for _, c := range top {
		list = append(list, c.address)
	}
	return list
}

// holderWeight is the rendezvous weight of a host for an organisation.
func holderWeight(organisation, address string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(organisation)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(address)
	return h.Sum64()
}

// preferred rotates holders by the host's own address, so that the hosts of a fleet spread
// their requests over them.
func (f *Fleet) preferred(holders []string) []string {
	first := int(xxhash.Sum64String(f.own) % uint64(len(holders)))
	return append(slices.Clone(holders[first:]), holders[:first]...)
}

// SetFleet sets the hosts of the fleet, and with them this host's part for each
// organisation.
func (a *Allowance) SetFleet(f *Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fleet != nil && a.fleet.own == f.own && slices.Equal(a.fleet.addresses, f.addresses) {
		return
	}
	a.fleet = f
	for name, t := range a.allotments {
		a.assignRole(name, t)
	}
}

// assignRole derives the allotment's role from the fleet. A new role is reported, as the
// host then wants more or fewer tokens.
func (a *Allowance) assignRole(organisation string, t *allotment) {
	next, lenders := roleIndependent, []string(nil)
	if holders := a.fleet.holders(organisation); len(holders) > 0 {
		next = roleBorrower
		lenders = a.fleet.preferred(holders)
		if own := slices.Index(lenders, a.fleet.own); own >= 0 {
			next = roleHolder
			lenders = slices.Delete(lenders, own, own+1)
		}
	}
	t.changed = t.changed || next != t.role
	t.role, t.lenders = next, lenders
}

// Concentrated reports whether few hosts of the fleet hold each organisation's tokens.
func (a *Allowance) Concentrated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleet.concentrated()
}

// Lenders returns the addresses of the hosts to ask for an organisation's tokens, in order
// of preference, and whether they should be asked before the control group. The list is
// empty if each host holds its own tokens.
func (a *Allowance) Lenders(organisation string) (addresses []string, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	return t.lenders, t.role == roleBorrower
}
