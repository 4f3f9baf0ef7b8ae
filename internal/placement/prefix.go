package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// markCached records that the upstream has prefilled a prefix.
func (u *Upstream) markCached(prefix uint64, now time.Time) {
	u.setPrefixState(prefix, prefixState{updatedAt: now, cached: true})
}

// markPrefilling records that the upstream is about to prefill a prefix.
func (u *Upstream) markPrefilling(prefix uint64, now time.Time) {
	u.setPrefixState(prefix, prefixState{updatedAt: now})
}

func (u *Upstream) setPrefixState(prefix uint64, state prefixState) {
	if u.prefixes == nil || len(u.prefixes) >= maxPrefixes {
		u.prefixes = map[uint64]prefixState{}
	}
	u.prefixes[prefix] = state
}

// likelyCached reports whether the upstream probably has a prefix in its KV cache.
func (u *Upstream) likelyCached(prefix uint64, now time.Time) bool {
	s := u.prefixes[prefix]
	return s.cached && now.Sub(s.updatedAt) < prefixRetention
}

// likelyPrefilling reports whether the upstream is probably prefilling a prefix.
func (u *Upstream) likelyPrefilling(prefix uint64, now time.Time) bool {
	s, known := u.prefixes[prefix]
	return known && !s.cached && now.Sub(s.updatedAt) < maxPrefillTime
}

// prefixHolders holds, for each software version, the upstream that most likely has a prefix cached.
// An upstream can't use the KV cache of another version.
type prefixHolders []*Upstream

func likelyHolders(prefix uint64, home *Upstream, candidates []*Upstream, now time.Time) prefixHolders {
	holders := prefixHolders{home}
	for _, u := range candidates {
		if !u.likelyCached(prefix, now) {
			continue
		}
		i := slices.IndexFunc(holders, func(h *Upstream) bool { return h.Version == u.Version })
		switch {
		case i < 0:
			holders = append(holders, u)
		case !holders[i].likelyCached(prefix, now):
			holders[i] = u
		}
	}
	return holders
}

// of returns the holder of a software version, or nil if there is none.
func (h prefixHolders) of(version string) *Upstream {
	for _, u := range h {
		if u.Version == version {
			return u
		}
	}
	return nil
}

// prefillCost returns the prompt tokens that u would have to prefill, and the penalty
// in tokens for a prefix transfer or a non-home copy. holder is the upstream of the same version that
// most likely has the prefix cached, or nil.
func (req *Request) prefillCost(u *Upstream, home bool, holder *Upstream, now time.Time) (unprefilled, penalty int64) {
	uncached := max(req.PromptTokens-req.PrefixTokens, 0)
	switch {
	case u.likelyCached(req.Prefix, now), u.likelyPrefilling(req.Prefix, now):
		return uncached, 0
	case home:
		return req.PromptTokens, 0
	case req.PrefixTransfer && holder != nil && holder.likelyCached(req.Prefix, now):
		return uncached, prefixTransferCost + nonHomeCost
	default:
		return req.PromptTokens, nonHomeCost
	}
}

// addedTokens returns the prompt tokens that the request adds to the KV cache of u. A prefix that u fetches takes as much of it
// as one that it prefills.
func (req *Request) addedTokens(u *Upstream, now time.Time) int64 {
	if req.HasPrefix && !req.MovesRun && (u.likelyCached(req.Prefix, now) || u.likelyPrefilling(req.Prefix, now)) {
		return max(req.PromptTokens-req.PrefixTokens, 0)
	}
	return req.PromptTokens
}

func rendezvousWeight(id string, prefix uint64) uint64 {
	var h xxhash.Digest
	h.Reset()
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(id)
	return h.Sum64()
}
