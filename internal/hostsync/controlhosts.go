package hostsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
)

// controlHostAvoidance is the time after a failed call for which other control hosts are preferred.
const controlHostAvoidance = 5 * time.Second

// controlHosts are the control hosts that a gateway host may call.
type controlHosts struct {
	list   []controlnode.ControlHost
	digest uint64
	// failedAt holds the times of the latest failed calls, by address.
	failedAt map[string]time.Time
}

// apply replaces the list if the reply contains one.
func (h *controlHosts) apply(reply *controlnode.SyncReply, now time.Time) {
	h.digest = reply.ControlHostsDigest
	if len(reply.ControlHosts) > 0 {
		h.list = reply.ControlHosts
	}
	for address, at := range h.failedAt {
		if now.Sub(at) > controlHostAvoidance {
			delete(h.failedAt, address)
		}
	}
}

// recordFailure records that a control host did not serve a call.
func (h *controlHosts) recordFailure(address string, now time.Time) {
	if h.failedAt == nil {
		h.failedAt = map[string]time.Time{}
	}
	h.failedAt[address] = now
}

// byPreference returns the addresses of the control hosts: first those without a recent failure,
// and among these first the ones in zone, then those in other zones, then others, whose order
// stays. The hosts of a zone spread over its control hosts by the weight of their own address.
func (h *controlHosts) byPreference(others []string, zone, own string, now time.Time) []string {
	candidates := make([]candidate, 0, len(h.list)+len(others))
	for _, host := range h.list {
		c := candidate{address: host.Address, rank: rankOtherZone, weight: xxhash.Sum64String(host.Address + "\x00" + own)}
		if host.Zone == zone {
			c.rank = rankSameZone
		}
		candidates = append(candidates, c)
	}
	for _, address := range others {
		if !slices.ContainsFunc(candidates, func(c candidate) bool { return c.address == address }) {
			candidates = append(candidates, candidate{address: address, rank: rankUnknown})
		}
	}
	for i := range candidates {
		at, failed := h.failedAt[candidates[i].address]
		candidates[i].failed = failed && now.Sub(at) <= controlHostAvoidance
	}
	slices.SortStableFunc(candidates, candidate.compare)
	addresses := make([]string, len(candidates))
	for i, c := range candidates {
		addresses[i] = c.address
	}
	return addresses
}

// rank orders control hosts by what is known of them.
type rank uint8

const (
	rankSameZone rank = iota
	rankOtherZone
	// rankUnknown hosts are not known to be up.
	rankUnknown
)

// candidate is a control host that may be called.
type candidate struct {
	address string
	failed  bool
	rank    rank
	weight  uint64
}

// compare orders candidates by preference.
func (c candidate) compare(other candidate) int {
	if c.failed != other.failed {
		if c.failed {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.rank, other.rank), cmp.Compare(c.weight, other.weight))
}
