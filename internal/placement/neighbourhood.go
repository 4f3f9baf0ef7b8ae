package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// In large fleets each host tells only the hosts of its neighbourhood its load. Of each neighbourhood, every host
// outside gets the sums from one member, so that the number of messages grows with the square root of the fleet.

const (
	// MaxSingleNeighbourhood is the number of hosts up to which all are in one neighbourhood.
	MaxSingleNeighbourhood = 25
	// MaxGossipHosts is the number of hosts up to which they tell each other loads, as each message takes processor time of its
	// receiver. In larger fleets only the control group tells loads.
	MaxGossipHosts = 128
	// minNeighbourhoods is the number of neighbourhoods of the smallest fleet that has several.
	minNeighbourhoods = 4
	// newsTime is the time for which a change of a cached prefix is part of the sums. These may be lost.
	newsTime = 120 * time.Millisecond
	// maxNews bounds the changes of cached prefixes in the sums.
	maxNews = 48
)

// Neighbourhoods returns the number of neighbourhoods of a fleet. It is a power of two, so that it changes rarely, and
// a host sends about as many messages to its neighbours as to other hosts.
func Neighbourhoods(hosts int) int {
	if hosts <= MaxSingleNeighbourhood {
		return 1
	}
	n := minNeighbourhoods
	for 2*n*n < hosts {
		n *= 2
	}
	return n
}

// NeighbourhoodOf returns the neighbourhood of a host, of count.
func NeighbourhoodOf(address string, count int) int {
	return int(xxhash.Sum64String(address) % uint64(count))
}

// SumsReporter returns the one of members that tells a host outside the sums of their neighbourhood.
func SumsReporter(members []string, host string) string {
	return slices.MaxFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a+" "+host), xxhash.Sum64String(b+" "+host)), cmp.Compare(a, b))
	})
}

// NeighbourhoodSums is the load that the hosts of a neighbourhood cause, as one of them knows it.
type NeighbourhoodSums struct {
	// Neighbourhood is the index, of Count.
	Neighbourhood int `cbor:"1,keyasint"`
	Count         int `cbor:"2,keyasint"`
	// Session is that of the sender, and Seq orders its sums.
	Session uint64 `cbor:"3,keyasint"`
	Seq     uint64 `cbor:"4,keyasint"`
	// PackedLoads are by short upstream id; see PackSums.
	PackedLoads []byte `cbor:"5,keyasint,omitempty"`
	// News are the latest changes of cached prefixes.
	News []CachedPrefix `cbor:"6,keyasint,omitempty"`
}

// prefixNews is a change of a cached prefix that this host learned of.
type prefixNews struct {
	CachedPrefix
	at time.Time
}

func (p *Pool) addNews(prefix CachedPrefix, now time.Time) {
	p.news = append(p.news, prefixNews{prefix, now})
	if len(p.news) > maxNews {
		p.news = slices.Delete(p.news, 0, len(p.news)-maxNews)
	}
}

// NeighbourhoodSums returns the load that this host and those of its neighbourhood cause, and the latest changes of
// cached prefixes.
func (p *Pool) NeighbourhoodSums(now time.Time) (loads map[uint32]Load, news []CachedPrefix) {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads = map[uint32]Load{}
	for id, u := range p.upstreams {
		if u.own != (Load{}) {
			loads[ShortID(id)] = u.own
		}
	}
	for _, peer := range p.peers {
		if now.Sub(peer.receivedAt) <= peerLoadRetention {
			AddLoads(loads, peer.loads)
		}
	}
	for _, n := range p.news {
		if now.Sub(n.at) < newsTime {
			news = append(news, n.CachedPrefix)
		}
	}
	return loads, news
}

// ApplyNeighbourhoodSums applies the load and the news of another neighbourhood. The sums that came last count, whichever
// member sent them, but not those that another message of the same member has overtaken.
func (p *Pool) ApplyNeighbourhoodSums(s *NeighbourhoodSums, now time.Time) error {
	loads, err := UnpackSums(s.PackedLoads)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.neighbourhoods[s.Neighbourhood]
	if old != nil && old.session == s.Session && s.Seq <= old.seq {
		return nil
	}
	byShortID := p.upstreamsByShortID()
	for _, prefix := range s.News {
		byShortID[prefix.Upstream].learnPrefix(prefix, now)
	}
	next := &peerLoad{session: s.Session, seq: s.Seq, receivedAt: now, loads: loads}
	p.neighbourhoods[s.Neighbourhood] = next
	p.replaceReport(old, next, now)
	return nil
}

// ForgetPeerLoads forgets the loads that other hosts reported, as these are divided into other neighbourhoods now.
func (p *Pool) ForgetPeerLoads() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.peers)
	clear(p.neighbourhoods)
	p.sumPeerLoads()
}

func (p *Pool) upstreamsByShortID() map[uint32]*Upstream {
	if p.byShortID == nil {
		p.byShortID = make(map[uint32]*Upstream, len(p.upstreams))
		for id, u := range p.upstreams {
			p.byShortID[ShortID(id)] = u
		}
	}
	return p.byShortID
}

// replaceReport counts next in place of old, which may be nil, in what other hosts reported.
func (p *Pool) replaceReport(old, next *peerLoad, now time.Time) {
	expired := removeExpired(p.peers, now)
	expired = removeExpired(p.neighbourhoods, now) || expired
	if expired || p.peerSumsOutdated {
		p.sumPeerLoads()
	} else {
		if old != nil {
			p.addReport(old, Load.Minus)
		}
		p.addReport(next, Load.Plus)
	}
	p.notifyLoadsReported()
}

// sumPeerLoads renews the load of each upstream that other hosts reported.
func (p *Pool) sumPeerLoads() {
	for _, u := range p.upstreams {
		u.peerReported = Load{}
	}
	for _, report := range p.peers {
		p.addReport(report, Load.Plus)
	}
	for _, report := range p.neighbourhoods {
		p.addReport(report, Load.Plus)
	}
	p.peerSumsOutdated = false
}

func (p *Pool) addReport(report *peerLoad, add func(Load, Load) Load) {
	byShortID := p.upstreamsByShortID()
	for id, load := range report.loads {
		if u := byShortID[id]; u != nil {
			u.peerReported = add(u.peerReported, load)
		}
	}
}

// removeExpired removes reports that no longer count, and reports whether there were any.
func removeExpired[K comparable](reports map[K]*peerLoad, now time.Time) (removed bool) {
	for key, report := range reports {
		if now.Sub(report.receivedAt) > peerLoadRetention {
			delete(reports, key)
			removed = true
		}
	}
	return removed
}

// learnPrefix records the state of a prefix that another host reported, and reports whether it is new.
func (u *Upstream) learnPrefix(prefix CachedPrefix, now time.Time) bool {
	switch {
	case u == nil:
		return false
	case !prefix.Prefilling:
		isNew := !u.likelyCached(prefix.Prefix, now)
		u.markCached(prefix.Prefix, now)
		return isNew
	case !u.likelyCached(prefix.Prefix, now) && !u.likelyPrefilling(prefix.Prefix, now):
		u.markPrefilling(prefix.Prefix, now)
		return true
	}
	return false
}
