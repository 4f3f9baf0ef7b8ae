// Package placement chooses the upstream for a request of a gateway: requests
// that share a part of their prompt go to the same few upstreams on all hosts,
// and others to the one with the least load.
package placement

import (
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
)

const (
	// ejectAfter is the number of failures in a row after which an upstream is ejected.
	ejectAfter = 2
	// ejectFirst and ejectMax bound the time of an ejection, which doubles each time.
	ejectFirst = 1500 * time.Millisecond
	ejectMax   = 8 * time.Second
	// unreachableFor is the time for which an upstream that took no connection is passed over.
	unreachableFor = time.Second
)

// Upstream is one process of an upstream as this host sees it. Its fields are
// guarded by the pool.
type Upstream struct {
	presence.Upstream
	// silent tells that the control group has not heard of it lately.
	silent bool
	// own is the load by this host. others is that by all other hosts: as the
	// control group told it, and as they told it themselves.
	own, others, heard Load
	// parts holds the shared parts that were read here, as far as this host knows.
	parts map[uint64]partState
	// failures are those in a row; ejections those since the last success.
	failures, ejections int
	// avoidUntil ends an ejection.
	avoidUntil time.Time
	// chosen is the number of the latest choice of this upstream.
	chosen uint64
	// probing tells that a request tests an upstream whose ejection has ended.
	probing bool
}

// partState is what is known of a shared part at an upstream.
type partState struct {
	// at is the time of the latest news, and read whether it was read by then.
	at   time.Time
	read bool
}

// Load is the work at an upstream.
type Load struct {
	// Open is the number of requests, and Unread that of prompt tokens which are
	// still to be read.
	Open   int   `cbor:"1,keyasint,omitempty"`
	Unread int64 `cbor:"2,keyasint,omitempty"`
	// Resident is the number of tokens that the requests keep in an engine's memory.
	Resident int64 `cbor:"3,keyasint,omitempty"`
}

// open and unread are the load that the host knows of.
func (u *Upstream) open() int     { return u.own.Open + max(u.others.Open, u.heard.Open) }
func (u *Upstream) unread() int64 { return u.own.Unread + u.heard.Unread }
func (u *Upstream) resident() int64 {
	return u.own.Resident + max(u.others.Resident, u.heard.Resident)
}

// Pool holds the upstreams. It is safe for concurrent use.
type Pool struct {
	zone string

	mu        sync.Mutex
	table     *presence.Table
	upstreams map[string]*Upstream
	services  map[string][]*Upstream
	// peers holds what other hosts said of their load, by session.
	peers map[uint64]*peerLoad
	// recent holds the parts whose reading this host has seen lately.
	recent []Kept
	// choices counts the choices, so that equals take turns.
	choices uint64
	// changed holds a token when the own load has changed.
	changed chan struct{}
	// pace holds how fast the engines of a service read, by service.
	pace map[string]*pace
}

// NewPool returns an empty pool of a host in zone.
func NewPool(zone string) *Pool {
	return &Pool{
		zone: zone, table: presence.NewTable(),
		upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{},
		peers: map[uint64]*peerLoad{}, pace: map[string]*pace{}, changed: make(chan struct{}, 1),
	}
}

// Update takes in what the control group knows of upstreams: those that changed, or all.
func (p *Pool) Update(records []presence.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		old := p.table.Record(r.ID)
		if old != nil && old.StartedMS > r.StartedMS {
			continue // a table that is behind
		}
		if old != nil && old.StartedMS == r.StartedMS {
			r.State = max(r.State, old.State) // draining and leaving are final
		}
		p.table.Set(r)
	}
	p.rebuild()
}

// rebuild brings the upstreams in line with the table. A new process under an
// old id starts without a history.
func (p *Pool) rebuild() {
	upstreams := map[string]*Upstream{}
	p.services = map[string][]*Upstream{}
	for _, r := range p.table.All() {
		u := p.upstreams[r.ID]
		if u == nil || u.StartedMS != r.StartedMS {
			u = &Upstream{}
		}
		u.Upstream, u.silent = r.Upstream, r.Unresponsive
		upstreams[r.ID] = u
		if r.State == presence.Ready {
			p.services[r.Service] = append(p.services[r.Service], u)
		}
	}
	p.upstreams = upstreams
}

// Synced takes in the load of the other hosts as the control group knows it.
func (p *Pool) Synced(others map[string]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, u := range p.upstreams {
		u.others = others[id]
	}
}

// Loads returns the load by this host, by upstream.
func (p *Pool) Loads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := map[string]Load{}
	for id, u := range p.upstreams {
		if u.own != (Load{}) {
			loads[id] = u.own
		}
	}
	return loads
}

// Outcome is how a request fared at an upstream.
type Outcome uint8

// The outcomes of a request.
const (
	// Served: the upstream answered, whatever the answer.
	Served Outcome = iota
	// Refused: the upstream was full. This says nothing of its health.
	Refused
	// Unreachable: the upstream took no connection.
	Unreachable
	// Failed: the upstream broke off, fell silent or sent what is no answer.
	Failed
	// Misdirected: another process has the address.
	Misdirected
	// Abandoned: the caller left before anything was known.
	Abandoned
)

// Observe takes in how a request fared.
func (p *Pool) Observe(l *Place, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := l.Upstream
	u.probing = false
	switch o {
	case Served:
		u.failures, u.ejections, u.avoidUntil = 0, 0, time.Time{}
	case Unreachable:
		u.avoidUntil = now.Add(unreachableFor)
	case Misdirected:
		u.avoidUntil = now.Add(ejectMax)
	case Failed:
		u.failures++
		if u.failures >= ejectAfter {
			u.avoidUntil = now.Add(min(ejectFirst<<min(u.ejections, 4), ejectMax))
			u.ejections++
		}
	case Refused, Abandoned:
	}
}
