package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"
)

// pacer bounds the requests of one of the hosts that share the limit of a cold upstream, both by a rate
// and by their number in any warmUpWindow. A rate alone would let each host send a request more than
// its part at the worst time.
type pacer struct {
	// rate is the number of requests per second that users hosts share.
	rate  float64
	users int
	// most is the number of requests of this host in a window.
	most int
	// interval is the mean time between two requests, and due the time of the next one. A host whose
	// requests come late by less than interval makes up for it.
	interval time.Duration
	due      time.Time
	// sent holds the times of the latest requests, and pending is the number of those assigned but
	// not yet sent.
	sent    []time.Time
	pending int
}

// setShare derives the share of each host. The hosts of warmUpSets disjoint sets together stay within
// rate x warmUpTolerance + burst. More hosts share the rate if they can then still use it: a single
// one may have no callers.
func (p *pacer) setShare(rate, burst float64, hosts int) {
	p.rate = max(rate, minWarmUpRate)
	ofSet := (p.rate*warmUpTolerance + burst) / warmUpSets
	p.users, p.most = 1, max(int(ofSet), 1)
	for users := min(int(burst), hosts); users > 1; users-- {
		most := int(ofSet / float64(users))
		if float64(most*users) >= minWarmUpUse*p.rate*warmUpWindow.Seconds() {
			p.users, p.most = users, most
			break
		}
	}
	p.interval = time.Duration(float64(p.users) / p.rate * float64(time.Second))
}

// wait returns the time until another request may be assigned; 0 if it may now.
func (p *pacer) wait(now time.Time) time.Duration {
	for len(p.sent) > 0 && now.Sub(p.sent[0]) >= warmUpWindow {
		p.sent = slices.Delete(p.sent, 0, 1)
	}
	wait := max(p.due.Sub(now), 0)
	if len(p.sent)+p.pending < p.most {
		return wait
	}
	if len(p.sent) > 0 {
		return max(wait, warmUpWindow-now.Sub(p.sent[0]))
	}
	return max(wait, p.interval) // until a request is sent
}

// reserve assigns a request.
func (p *pacer) reserve(now time.Time) {
	p.due = p.due.Add(p.interval)
	if p.due.Before(now) {
		p.due = now
	}
	p.pending++
}

// departedHost is a host that the list of hosts has lost, and that may still use an earlier list.
type departedHost struct {
	address string
	at      time.Time
}

// recordHandover notes which hosts a new list of hosts lacks.
func (p *Pool) recordHandover(next fleet, now time.Time) {
	if len(p.fleet.hosts) == 0 {
		p.listedSince = now
	}
	p.departed = slices.DeleteFunc(p.departed, func(d departedHost) bool {
		_, returned := slices.BinarySearch(next.hosts, d.address)
		return returned || now.Sub(d.at) >= handoverTime
	})
	for _, h := range p.fleet.hosts {
		if _, found := slices.BinarySearch(next.hosts, h); !found {
			p.departed = append(p.departed, departedHost{h, now})
		}
	}
}

// handoverEnd returns the time from which this host may use its share of the limit of an upstream,
// for which rank hosts of the current list have a higher weight. Departed hosts, and those that do
// not know this host yet, may use theirs until then.
func (p *Pool) handoverEnd(upstream string, rank, users int) time.Time {
	if p.listedSince.IsZero() {
		return time.Time{}
	}
	end := p.listedSince.Add(handoverTime)
	own := rendezvousWeightOfHost(upstream, p.fleet.own)
	latest := time.Time{}
	for _, d := range p.departed {
		if rendezvousWeightOfHost(upstream, d.address) >= own {
			rank++
			if d.at.After(latest) {
				latest = d.at
			}
		}
	}
	if rank >= users && latest.Add(handoverTime).After(end) {
		end = latest.Add(handoverTime)
	}
	return end
}

// rendezvousWeightOfHost returns the weight by which hosts are ranked for an upstream.
func rendezvousWeightOfHost(upstream, host string) uint64 {
	return xxhash.Sum64String(upstream + "\x00" + host)
}

// shareWarmUps derives which limits of cold upstreams this host shares in a new list of hosts.
func (p *Pool) shareWarmUps() {
	for _, u := range p.upstreams {
		w := u.warmUp
		if w == nil {
			continue
		}
		w.setShare(w.rate, p.warmUpOptions.Burst, len(p.fleet.hosts))
		rank, shared := p.fleet.rankFor(u.ID), w.shares
		w.shares = rank < w.users
		if w.shares && !shared {
			w.sharesFrom = p.handoverEnd(u.ID, rank, w.users)
		}
		if w.shares != shared && !w.ended {
			klog.InfoS("hosts that share the limit of a cold upstream changed", "upstream", u.ID, "started_ms", u.StartedMS, "hosts", len(p.fleet.hosts),
				"sharing_hosts", w.users, "shares", w.shares, "shares_in_ms", max(w.sharesFrom.Sub(p.clock()), 0).Milliseconds())
		}
		w.rampFrom = rampFrom(rank, w.users, len(p.fleet.hosts))
	}
}
