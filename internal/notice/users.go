package notice

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minRequestRate is the rate, in requests per second, at which an upstream is asked that
	// takes none, so that the end of its limit is noticed.
	minRequestRate = 0.1
	// minUsers is the number of hosts that share a limit, besides one for each request per
	// second. Each may have one request in reserve, so that their number bounds what may arrive
	// at once beyond the rate.
	minUsers = 3
	// minRotation is the minimum time without an answer from a limited upstream after which
	// other hosts share its limit.
	minRotation = 5 * time.Second
)

// EffectiveRate returns the rate at which hosts together send to the upstream.
func (r *Report) EffectiveRate() float64 { return max(r.RequestRate, minRequestRate) }

// Users returns the number of hosts that share the limit in a fleet of the given size.
func (r *Report) Users(hosts int) int {
	users := minUsers + int(math.Min(r.RequestRate, float64(hosts)))
	return max(min(users, hosts), 1)
}

// Share returns the part of the rate, in requests per second, that own may use of a fleet of
// hosts; 0 if other hosts share the limit. All hosts that know the same fleet agree on the users,
// which are those of highest rendezvous weight.
func (r *Report) Share(own string, hosts []string) float64 {
	users := r.Users(len(hosts))
	weight, before := r.weight(own), 0
	for _, h := range hosts {
		if h == own {
			continue
		}
		if other := r.weight(h); other > weight || other == weight && h < own {
			before++
		}
	}
	if before >= users {
		return 0
	}
	return r.EffectiveRate() / float64(users)
}

func (r *Report) weight(host string) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(r.Upstream)
	_, _ = h.Write([]byte{0, byte(r.Generation), byte(r.Generation >> 8), 0})
	_, _ = h.WriteString(host)
	return h.Sum64()
}

// rotation returns the time without an answer after which other hosts share the limit. It spans
// two requests of each user.
func (r *Report) rotation() time.Duration {
	interval := time.Duration(float64(r.Users(math.MaxInt32)) / r.EffectiveRate() * float64(time.Second))
	return max(minRotation, 2*interval)
}
