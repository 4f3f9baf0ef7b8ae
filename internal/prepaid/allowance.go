package prepaid

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = 4 * time.Second
	// horizon is how long a host should be able to serve without the control
	// group. The users' deployments lose it for 9 s at a time.
	horizon = 10 * time.Second
	// surge is the factor over the recent demand that a host prepares for: the
	// users' busiest organisations send two to three times their usual.
	surge = 2.5
	// touchWindow is the demand that a host prepares for between two reports.
	touchWindow = time.Second
	// floorDivisor sets the least rate of an envelope: the balance in N seconds
	// over all hosts, for organisations that the host has not seen yet.
	floorDivisor = 60
	// burstDivisor bounds a burst by the host's part of the balance: 1 in N of it.
	burstDivisor = 4
	// balanceFreshness is the age up to which a balance is good for a final refusal.
	balanceFreshness = time.Second
	// wantDecay is the factor per report by which an unmet need is forgotten.
	wantDecay = 0.5
)

// Verdict is the answer to a reservation.
type Verdict uint8

// The verdicts on a reservation.
const (
	// Granted: the tokens are reserved.
	Granted Verdict = iota
	// Short: the host does not hold enough now, but may get more.
	Short
	// Exhausted: the organisation's whole balance does not cover the request.
	Exhausted
)

// Allowance is what one host may spend. It is safe for concurrent use; the
// boot-time clock is passed in, in ns.
type Allowance struct {
	mu      sync.Mutex
	session uint64
	seq     uint64
	// sent is the report that waits for its acknowledgement, or nil.
	sent *Report
	// sentNeeds tells whether a need was noted after sent was made.
	accounts map[string]*allotment
}

// allotment is one organisation's part of an Allowance.
type allotment struct {
	granted, returned, used, reserved int64
	// acked and pending are the envelopes of the acknowledged report and of the
	// one on its way; both bind, since either may be the latest that the group knows.
	acked, pending *envelope
	target         int64
	balance        int64
	hosts          int
	balanceAt      int64
	balanceKnown   bool
	// demand is the decayed sum of tokens asked for; demandAt its time.
	demand   float64
	demandAt int64
	// largest is the decayed size of the largest request.
	largest float64
	// need is what requests lacked since the last report.
	need    int64
	changed bool
}

// envelope limits used+reserved to base + rate*(now-clock).
type envelope struct {
	base, rate, clock int64
}

func (e *envelope) limit(now int64) int64 {
	if e == nil {
		return math.MaxInt64
	}
	return e.base + int64(float64(e.rate)*time.Duration(now-e.clock).Seconds())
}

// NewAllowance returns the empty allowance of a session.
func NewAllowance(session uint64) *Allowance {
	return &Allowance{session: session, accounts: map[string]*allotment{}}
}

func (a *Allowance) allotment(organisation string) *allotment {
	t := a.accounts[organisation]
	if t == nil {
		t = &allotment{acked: &envelope{}}
		a.accounts[organisation] = t
	}
	return t
}

// Watch makes the host ask for a share for each organisation before it has seen
// a request of it.
func (a *Allowance) Watch(organisations []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range organisations {
		if a.accounts[name] == nil {
			a.allotment(name).changed = true
		}
	}
}

// Reserve sets need tokens aside for a request of organisation.
func (a *Allowance) Reserve(organisation string, need, now int64) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.ask(need, now)
	if t.used+t.reserved+need <= t.limit(now) {
		t.reserved += need
		t.changed = true
		return Granted
	}
	t.need += need
	t.changed = true
	if t.balanceKnown && need > t.balance && time.Duration(now-t.balanceAt) < balanceFreshness {
		return Exhausted
	}
	return Short
}

// Settle ends a reservation and charges what was used of it.
func (a *Allowance) Settle(organisation string, reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.reserved -= reserved
	t.used += min(used, reserved)
	t.changed = true
}

// limit is the most that used+reserved may reach now.
func (t *allotment) limit(now int64) int64 {
	return min(t.granted-t.returned, t.acked.limit(now), t.pending.limit(now))
}

func (t *allotment) ask(tokens, now int64) {
	t.decay(now)
	t.demand += float64(tokens)
	t.largest = max(t.largest, float64(tokens))
}

func (t *allotment) decay(now int64) {
	if d := time.Duration(now - t.demandAt); t.demandAt != 0 && d > 0 {
		factor := math.Exp(-d.Seconds() / demandWindow.Seconds())
		t.demand *= factor
		t.largest *= math.Sqrt(factor)
	}
	t.demandAt = now
}

// Report returns the report to send. One that was not acknowledged is returned
// again as it was: the group may have it.
func (a *Allowance) Report(now int64) *Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent != nil {
		return a.sent
	}
	a.seq++
	r := &Report{Session: a.session, Seq: a.seq, Clock: now}
	for name, t := range a.accounts {
		if !t.changed && t.demand < 1 {
			continue
		}
		r.Uses = append(r.Uses, t.report(name, now))
	}
	a.sent = r
	return r
}

// report states the allotment and enters the envelope that follows from it.
func (t *allotment) report(name string, now int64) Use {
	t.decay(now)
	rate := t.demand / demandWindow.Seconds() * surge
	share := float64(max(t.balance, 0)) / float64(max(t.hosts, 1))
	rate = max(rate, share/floorDivisor)
	burst := max(rate*touchWindow.Seconds(), min(t.largest*surge, share/burstDivisor))
	u := Use{
		Organisation: name, Used: t.used, Reserved: t.reserved,
		Want: int64(rate*horizon.Seconds()+burst) + t.need,
		Rate: int64(rate), Burst: int64(burst) + t.need,
	}
	if excess := t.granted - t.returned - t.used - t.reserved - max(t.target, 0); t.balanceKnown && excess > 0 {
		t.returned += excess
	}
	u.Returned = t.returned
	t.pending = &envelope{base: u.Used + u.Reserved + u.Burst, rate: u.Rate, clock: now}
	t.need = int64(float64(t.need) * wantDecay)
	t.changed = false
	return u
}

// Acknowledge takes in the reply to the report that was sent last.
func (a *Allowance) Acknowledge(reply *Reply, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent == nil || reply.Seq != a.sent.Seq {
		return
	}
	for _, u := range a.sent.Uses {
		t := a.allotment(u.Organisation)
		t.acked, t.pending = t.pending, nil
	}
	at := a.sent.Clock
	a.sent = nil
	for _, g := range reply.Grants {
		t := a.allotment(g.Organisation)
		t.granted, t.target = max(t.granted, g.Granted), g.Target
		t.balance, t.hosts, t.balanceAt, t.balanceKnown = g.Balance, g.Hosts, at, true
	}
}

// Pending tells whether a request lacked tokens since the last report.
func (a *Allowance) Pending() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.accounts {
		if t.need > 0 {
			return true
		}
	}
	return false
}

// Idle tells whether no request holds a reservation.
func (a *Allowance) Idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.accounts {
		if t.reserved > 0 {
			return false
		}
	}
	return true
}
