// Package placement chooses the upstream for each request of a gateway. Requests that
// share a prompt prefix go to the same few engines on all hosts; other requests go to
// the least loaded upstream.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/presence"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an upstream
	// is ejected.
	ejectAfterFailures = 2
	// minEjection and maxEjection bound the duration of an ejection, which doubles with
	// each further ejection.
	minEjection = 1500 * time.Millisecond
	maxEjection = 8 * time.Second
	// unreachableEjection is how long an upstream is ejected that accepted no connection.
	unreachableEjection = time.Second
)

// Upstream is an upstream process as the control group described it to this host. It never changes, so that requests read it
// without the pool's mutex: a new description makes a new Upstream with the same processState.
type Upstream struct {
	presence.Upstream
	*processState
}

// processState is this host's view of one upstream process. It is guarded by the pool's mutex.
type processState struct {
	// heartbeatOverdue is true if the control group's latest report from the upstream is
	// too old.
	heartbeatOverdue bool
	// answeredAt is the time of the latest answer to this host, or of its beginning.
	answeredAt time.Time
	// own is the load caused by this host. controlReported and peerReported are the load
	// caused by all other hosts, as reported by the control group and by the hosts
	// themselves.
	own, controlReported, peerReported Load
	// controlGrowth is by how much controlReported has grown with the latest report.
	controlGrowth Load
	// occupied is the KV cache that the requests of this host use.
	occupied occupancy
	// prefixes holds the prompt prefixes that this host knows to be cached or in prefill
	// at the upstream.
	prefixes map[uint64]prefixState
	// ejections counts the ejections since the last success.
	consecutiveFailures, ejections int
	// ejectedUntil is the end of the ejection; zero if the upstream is not ejected and
	// needs no probe.
	ejectedUntil time.Time
	// evidence is what this host knows of the coldness of the process. warmUp is nil unless the
	// process counts as cold or did lately.
	evidence coldEvidence
	warmUp   *warmUp
	// saidState is nothingSaid until the upstream says something; see setSaid.
	*saidState
	// lastChoice is the value of Pool.choices when this upstream was last chosen.
	lastChoice uint64
	// probing is true while a request probes the upstream after its ejection.
	probing bool
	// doubt is nil while the process is known to run Version.
	doubt *versionDoubt
}

// prefixState is the state of a prompt prefix at an upstream.
type prefixState struct {
	// updatedAt is when the state was last recorded; cached is false while the prefix is
	// still in prefill.
	updatedAt time.Time
	cached    bool
}

// Load is the work assigned to an upstream.
type Load struct {
	// InFlight is the number of in-flight requests, and Backlog the number of their
	// prompt tokens still to be prefilled.
	InFlight int   `cbor:"1,keyasint,omitempty"`
	Backlog  int64 `cbor:"2,keyasint,omitempty"`
	// KVTokens is the number of KV-cache tokens that the requests hold.
	KVTokens int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of l and other.
func (l Load) Plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, Backlog: l.Backlog + other.Backlog, KVTokens: l.KVTokens + other.KVTokens}
}

// Minus returns the difference of l and other.
func (l Load) Minus(other Load) Load {
	return Load{InFlight: l.InFlight - other.InFlight, Backlog: l.Backlog - other.Backlog, KVTokens: l.KVTokens - other.KVTokens}
}

// inFlight, backlog and kvTokens return the load of this host plus the reported load
// of the others.
func (u *Upstream) inFlight() int {
	return u.own.InFlight + max(u.controlReported.InFlight, u.peerReported.InFlight)
}
func (u *Upstream) backlog() int64 { return u.own.Backlog + u.peerReported.Backlog }
func (u *Upstream) kvTokens() int64 {
	return u.own.KVTokens + max(u.controlReported.KVTokens, u.peerReported.KVTokens)
}

// Pool holds the upstreams of a gateway and their load. It is safe for concurrent use.
type Pool struct {
	zone string

	mu        sync.Mutex
	table     *presence.Table
	currency  tableCurrency
	upstreams map[string]*Upstream
	services  map[string][]*Upstream
	// peers holds the loads reported by other hosts, by session.
	peers map[uint64]*peerLoad
	// neighbourhoods holds the loads of the other neighbourhoods, by their index; see NeighbourhoodSums.
	neighbourhoods map[int]*peerLoad
	// news holds the latest changes of cached prefixes, oldest first.
	news []prefixNews
	// peerSumsOutdated is true if the loads that other hosts reported must be summed anew, as upstreams have changed.
	peerSumsOutdated bool
	// byShortID holds the upstreams by short id; nil until it is needed.
	byShortID map[uint32]*Upstream
	// recentPrefixes holds the prefixes to report to other hosts, oldest first.
	recentPrefixes []CachedPrefix
	// choices counts the assignments, so that equally loaded upstreams take turns.
	choices uint64
	// loadChanged signals a substantial change of this host's load.
	loadChanged chan struct{}
	// loadsReported signals that what is known of the upstreams or of other hosts' loads has changed.
	loadsReported chan struct{}
	// controlLoads holds when the control group's latest loads came.
	controlLoads reportTimes
	// fleet holds the hosts that share the limits of upstreams, and noticeReports the notices
	// that the control group does not know yet, by upstream id.
	fleet         fleet
	noticeReports map[string]*observedNotice
	// brittle holds the services whose upstreams are brittle, and brittleShares what this host may
	// have in flight at each of these, by upstream id.
	brittle       map[string]*brittleness
	brittleShares map[string]int
	// stats holds the prefill statistics by service.
	stats map[string]*prefillStats
	// clock returns the time at which updates are received.
	clock func() time.Time
	// random returns a random number below n.
	random func(n int) int
	// warmUps holds the services whose upstreams warm up, and warmingUp is the number of upstreams
	// with a limit.
	warmUpOptions WarmUpOptions
	warmUps       map[string]catalog.WarmUp
	warmingUp     int
	// departed are the hosts that left the list lately, and listedSince is when this host first had a
	// list.
	departed    []departedHost
	listedSince time.Time
	// evacuation holds the evacuated zones. Their upstreams are not in services.
	evacuation evacuation
	// valued holds the admission by value, by service; nil if requests are admitted by rank.
	valued map[string]*valueAdmission
}

// NewPool returns an empty pool for a host in zone.
func NewPool(zone string) *Pool {
	return &Pool{
		zone: zone, table: presence.NewTable(),
		upstreams: map[string]*Upstream{}, services: map[string][]*Upstream{},
		peers: map[uint64]*peerLoad{}, neighbourhoods: map[int]*peerLoad{}, stats: map[string]*prefillStats{}, noticeReports: map[string]*observedNotice{}, loadChanged: make(chan struct{}, 1), loadsReported: make(chan struct{}, 1),
		brittle: map[string]*brittleness{}, brittleShares: map[string]int{}, currency: tableCurrency{suspended: timing.Suspended},
		clock: time.Now, random: rand.IntN, warmUpOptions: WarmUpOptions{Burst: DefaultWarmUpBurst},
	}
}

// Update applies records of the control group, either the changed ones or all.
func (p *Pool) Update(records []presence.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		old := p.table.Record(r.ID)
		if old != nil && old.StartedMS > r.StartedMS {
			continue // the sender's table is stale
		}
		if old != nil && old.StartedMS == r.StartedMS {
			r.State = max(r.State, old.State) // draining and leaving are final
			r.Version = cmp.Or(r.Version, old.Version)
			if r.Cold.Sequence <= old.Cold.Sequence {
				r.Cold = old.Cold
			}
		}
		p.table.Set(r)
	}
	p.rebuild()
	p.notifyLoadsReported()
}

// TableDigests returns the digests of the table of upstreams; nil if it is empty.
func (p *Pool) TableDigests() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.Len() == 0 {
		return nil
	}
	return p.table.Digests()
}

// rebuild derives the upstreams from the table. A new process under a known id starts
// without load, prefixes or ejections.
func (p *Pool) rebuild() {
	upstreams := map[string]*Upstream{}
	p.services = map[string][]*Upstream{}
	now := p.clock()
	p.evacuation.excluded = 0
	for _, r := range p.table.All() {
		u := p.upstreams[r.ID]
		if u == nil || u.StartedMS != r.StartedMS {
			if u != nil {
				p.abandonWarmUp(u, now)
			}
			u = &Upstream{r.Upstream, &processState{saidState: &nothingSaid, evidence: coldEvidence{learnedAt: now}}}
		}
		if u.Upstream != r.Upstream {
			u = &Upstream{r.Upstream, u.processState}
		}
		u.heartbeatOverdue = r.Unresponsive
		u.evidence.setReported(r.Cold, now)
		p.reviewWarmUp(u, now)
		upstreams[r.ID] = u
		if p.evacuation.usable(r) {
			p.services[r.Service] = append(p.services[r.Service], u)
		}
	}
	p.upstreams, p.byShortID, p.peerSumsOutdated = upstreams, nil, true
	clear(p.brittleShares)
}

// ApplyControlLoads applies the load of all other hosts as reported by the control group, by
// short upstream id.
func (p *Pool) ApplyControlLoads(loads map[uint32]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	p.controlLoads.add(now)
	for id, u := range p.upstreams {
		u.setControlReported(loads[ShortID(id)])
		p.maintainWarmUp(u, now)
	}
	p.notifyLoadsReported()
}

// HasReady reports whether a service has a ready upstream.
func (p *Pool) HasReady(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.services[service], func(u *Upstream) bool { return !u.isLeaving(now) })
}

// Takes reports whether the assigned upstream still takes requests.
func (p *Pool) Takes(a *Assignment, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.latest(a)
	switch {
	case u == nil || u.Address != a.Address:
		return false // it has restarted, perhaps cold, or listens elsewhere
	case a.resumes && (u.Version != a.Version || p.isUnconfirmed(u, now)):
		return false // it has another software version, or may have restarted with one
	}
	return u.State == presence.Ready && !u.isLeaving(now) && !p.evacuation.excludes(u.Zone) && a.takesWhileCold(now)
}

// latest returns the latest description of the assigned process; nil if another process has become known under its id.
func (p *Pool) latest(a *Assignment) *Upstream {
	if u := p.upstreams[a.ID]; u != nil && u.processState == a.processState {
		return u
	}
	return nil
}

// observed returns the latest description of the assigned process, also after another one has replaced it.
func (p *Pool) observed(a *Assignment) *Upstream { return cmp.Or(p.latest(a), a.Upstream) }

// ServesAt reports whether an upstream that takes requests is known at an address.
func (p *Pool) ServesAt(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.Address == address && u.State != presence.Terminated {
			return true
		}
	}
	return false
}

// ForgiveFailures ends all ejections: the failures were those of this host's own links.
func (p *Pool) ForgiveFailures() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for _, u := range p.upstreams {
		u.consecutiveFailures, u.ejections, u.ejectedUntil, u.probing = 0, 0, time.Time{}, false
		u.evidence.lostAt, u.evidence.regainedAt = time.Time{}, time.Time{}
		p.reviewWarmUp(u, now)
	}
}

// Loads returns the load caused by this host, by upstream id.
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

// Outcome is the result of a request at an upstream as far as it concerns the
// upstream's health.
type Outcome uint8

// The values of Outcome.
const (
	// Served: the upstream answered, with whatever status.
	Served Outcome = iota
	// Refused: the upstream was full, which does not affect its health.
	Refused
	// Unreachable: the upstream accepted no connection.
	Unreachable
	// Failed: the upstream broke the connection, stopped sending or sent an invalid
	// answer.
	Failed
	// Misdirected: another process listens on the address.
	Misdirected
	// Abandoned: the caller disconnected before the result was known.
	Abandoned
	// LinkLost: this host's own link broke, which does not affect the upstream's health.
	LinkLost
)

// Observe updates the health of the assigned upstream with the outcome of a request.
func (p *Pool) Observe(a *Assignment, o Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.observed(a)
	u.probing = false
	switch o {
	case Served:
		u.answeredAt = now
		u.consecutiveFailures, u.ejections, u.ejectedUntil = 0, 0, time.Time{}
		p.observeConnection(u, false, now)
	case Unreachable:
		p.observeConnection(u, true, now)
		u.doubtVersion(now)
		u.doubt.down = true
		u.ejectedUntil = now.Add(unreachableEjection)
	case Misdirected:
		u.ejectedUntil = now.Add(maxEjection)
	case Failed:
		p.observeConnection(u, true, now)
		u.doubtVersion(now)
		u.consecutiveFailures++
		if u.consecutiveFailures >= ejectAfterFailures {
			u.ejectedUntil = now.Add(min(minEjection<<min(u.ejections, 4), maxEjection))
			u.ejections++
		}
	case Refused:
		if p.isBrittle(u.Service, now) {
			u.setSaid()
			u.extendWait(brittleWait, "", now)
		}
	case LinkLost:
		u.doubtVersion(now)
	case Abandoned:
	}
}
