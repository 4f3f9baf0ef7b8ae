package ingress

import (
	"sync"
	"time"
)

// phase is what a client does.
type phase uint8

const (
	// phaseNew: connected, and has sent nothing.
	phaseNew phase = iota
	// phaseHead: sends the head of a request, or a message.
	phaseHead
	// phaseBody: sends the body of a request.
	phaseBody
	// phaseBusy: its request is being served.
	phaseBusy
	// phaseDraining: was answered before it had sent the whole body.
	phaseDraining
	// phaseIdle: was answered and may send another request.
	phaseIdle
)

// String returns the phase as used in metrics and logs.
func (p phase) String() string {
	return [...]string{"new", "head", "body", "busy", "draining", "idle"}[p]
}

// yields reports whether a client in this phase may have to give way to others. Requests that are being served don't, as they
// may have run.
func (p phase) yields() bool { return p != phaseBusy }

// Budget is what clients hold together. It is safe for concurrent use, and has no clock: times are passed in.
type Budget struct {
	options Options
	report  *report

	mu sync.Mutex
	// others return what is held for what clients don't send, such as answers, in bytes.
	others   []func() int64
	accounts map[*account]struct{}
	// present holds the classes that the process serves.
	present     [classes]bool
	used, count [classes]int64
	groups      map[string]*group
	// holdTime is the moving average of the time for which large requests hold their memory.
	holdTime time.Duration
}

// group is an organisation, or an address whose organisation is not known.
type group struct {
	used     int64
	accounts int
	// refusedAt is when one of its clients was last refused memory.
	refusedAt time.Time
}

// account is what one client holds. Its fields are guarded by Budget.mu.
type account struct {
	budget *Budget
	class  Class
	group  string
	bytes  int64
	phase  phase
	// proven reports that the client has sent a whole request before.
	proven bool
	// progressAt is when the client had last sent progressBytes, or began with what it does, and sent what it sent since.
	progressAt time.Time
	sent       int64
	// largeSince is when it began to hold more than smallBytes; zero if it does not.
	largeSince time.Time
	// evict ends the client; it must not wait.
	evict  func()
	closed bool
	// evictedIn is what it did when it was evicted; it doesn't change after that.
	evictedIn phase
}

// NewBudget returns a budget without clients.
func NewBudget(o Options) *Budget {
	o.setDefaults()
	return &Budget{options: o, report: newReport(o.Scope), accounts: map[*account]struct{}{}, groups: map[string]*group{}, holdTime: o.StallTime}
}

// CountAsUsed makes clients hold less while others hold memory, in bytes: but for the guaranteed parts, it is the same memory.
func (b *Budget) CountAsUsed(inUse func() int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = append(b.others, inUse)
}

// serves adds a class that the process serves.
func (b *Budget) serves(c Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.present[c] = true
}

// limit returns the most that a class may use of a resource, given what the others use.
func (b *Budget) limit(c Class, capacity int64, used *[classes]int64) int64 {
	left := capacity
	for other := range classes {
		if other != c && b.present[other] {
			left -= max(used[other], guaranteed[other].of(capacity))
		}
	}
	return min(left, maximum[c].of(capacity))
}

// memoryLimit returns the most that a class may hold, in bytes. What others of the process hold counts, but for the guaranteed parts.
func (b *Budget) memoryLimit(c Class) int64 {
	capacity := b.options.Memory
	left := b.limit(c, capacity, &b.used)
	for _, inUse := range b.others {
		left -= inUse()
	}
	return max(left, guaranteed[c].of(capacity))
}

// open returns an account for a client that has connected, or nil if there is no room for it.
func (b *Budget) open(c Class, address string, bytes int64, evict func(), now time.Time) *account {
	a := &account{budget: b, class: c, group: address, progressAt: now, evict: evict}
	b.mu.Lock()
	b.forgetGroups(now)
	descriptors := b.options.Descriptors / descriptorShare
	ok, victims := b.makeRoom(a, bytes, now)
	for ok && b.count[c]+1 > b.limit(c, descriptors, &b.count) {
		v := b.stalled(a, now, byAge)
		if v == nil {
			ok = false
			break
		}
		victims = append(victims, v)
		v.evictedIn = v.phase
		b.remove(v)
	}
	if ok {
		b.accounts[a] = struct{}{}
		b.count[c]++
		b.groupOf(a.group).accounts++
		b.setBytes(a, bytes, now)
	}
	b.mu.Unlock()
	b.evictAll(victims)
	if !ok {
		b.report.refused(c, reasonConnections)
		return nil
	}
	return a
}

// resize sets what a client holds, in bytes. It reports whether there is room; if there is none the account stays as it was.
func (a *account) resize(bytes int64, now time.Time) bool {
	b := a.budget
	b.mu.Lock()
	ok, victims := !a.closed, []*account(nil)
	if ok && bytes > a.bytes {
		ok, victims = b.makeRoom(a, bytes, now)
	}
	if ok {
		b.setBytes(a, bytes, now)
	} else if !a.closed {
		b.groupOf(a.group).refusedAt = now
	}
	b.mu.Unlock()
	b.evictAll(victims)
	return ok
}

// fits reports whether a client may hold an amount, for which others may have to yield.
func (a *account) fits(bytes int64, now time.Time) bool {
	before := a.held()
	if !a.resize(bytes, now) {
		return false
	}
	return a.resize(before, now)
}

func (a *account) held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.bytes
}

// enter records that the client begins with something else.
func (a *account) enter(p phase, now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.proven = a.proven || p == phaseIdle
	a.phase, a.progressAt, a.sent = p, now, 0
}

// received records that the client has sent n bytes.
func (a *account) received(n int, now time.Time) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.sent += int64(n); a.sent >= progressBytes {
		a.progressAt, a.sent = now, 0
	}
}

// identify makes the client one of an organisation.
func (a *account) identify(name string) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.group == name {
		return
	}
	b.leaveGroup(a)
	a.group = name
	g := b.groupOf(name)
	g.accounts++
	g.used += a.bytes
}

// close returns what the client holds. It may be called more than once.
func (a *account) close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.remove(a)
}

func (b *Budget) groupOf(name string) *group {
	g := b.groups[name]
	if g == nil {
		g = &group{}
		b.groups[name] = g
	}
	return g
}

func (b *Budget) leaveGroup(a *account) {
	g := b.groupOf(a.group)
	g.used -= a.bytes
	if g.accounts--; g.accounts <= 0 && g.refusedAt.IsZero() {
		delete(b.groups, a.group)
	}
}

// maxForgottenGroups is the number of groups without clients at which those that were not refused lately are forgotten.
const maxForgottenGroups = 1024

func (b *Budget) forgetGroups(now time.Time) {
	if len(b.groups) <= len(b.accounts)+maxForgottenGroups {
		return
	}
	for name, g := range b.groups {
		if g.accounts <= 0 && now.Sub(g.refusedAt) >= contentionTime {
			delete(b.groups, name)
		}
	}
}

func (b *Budget) setBytes(a *account, bytes int64, now time.Time) {
	grows := bytes - a.bytes
	a.bytes = bytes
	b.used[a.class] += grows
	b.groupOf(a.group).used += grows
	switch large := bytes > smallBytes; {
	case large && a.largeSince.IsZero():
		a.largeSince = now
	case !large && !a.largeSince.IsZero():
		const weight = 8
		b.holdTime += (now.Sub(a.largeSince) - b.holdTime) / weight
		a.largeSince = time.Time{}
	}
}

func (b *Budget) remove(a *account) {
	if a.closed {
		return
	}
	a.closed = true
	if _, open := b.accounts[a]; !open {
		return
	}
	delete(b.accounts, a)
	b.count[a.class]--
	b.used[a.class] -= a.bytes
	b.leaveGroup(a)
}

func (b *Budget) evictAll(victims []*account) {
	for _, v := range victims {
		b.report.evicted(v.class, v.evictedIn)
		v.evict()
	}
}

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// retryAfter returns when memory is likely to be free again.
func (b *Budget) retryAfter() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(max(b.holdTime, minRetryAfter), maxRetryAfter)
}

// UpdateGauges updates the gauges of what the clients of each class hold.
func (b *Budget) UpdateGauges() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range classes {
		if b.present[c] {
			scope := b.options.Scope.Tagged(map[string]string{"class": c.String()})
			scope.Gauge("clients_memory_bytes").Update(float64(b.used[c]))
			scope.Gauge("clients_connections").Update(float64(b.count[c]))
		}
	}
}
