package prepaid

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = 4 * time.Second
	// horizon is how long a host should be able to serve without the control
	// group. The users' deployments lose it for 9 s at a time.
	horizon = 10 * time.Second
	// surge is the factor over the recent demand that a host may spend at while its
	// reserve is open: the users' busiest organisations send two to three times their
	// usual, and a host that lacks tokens gets them from others.
	surge = 2
	// stock is the factor over the recent demand that a host holds for its horizon;
	// what it lacks in a surge it gets from other hosts.
	stock = 1.5
	// touchWindow is the demand that a host may spend between two reports without
	// asking; what it may spend is lost if it dies.
	touchWindow = 300 * time.Millisecond
	// floorDivisor sets the least rate of an envelope: the balance in N seconds
	// over all hosts, for organisations that the host has not seen yet.
	floorDivisor = 60
	// shareChange is the part by which the host's part of the balance must change for
	// an organisation without requests to be reported again.
	shareChange = 0.25
	// noteTime is the usual time until witnesses have noted a higher ceiling.
	noteTime = 40 * time.Millisecond
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

// Decision is the answer to a reservation with what decided it.
type Decision struct {
	Verdict Verdict
	// Held is what the host held unused, and Allowed the part of it that its
	// envelope allowed, when the request came.
	Held, Allowed int64
	// Balance is what was neither used nor reserved anywhere, as of BalanceAge ago.
	Balance    int64
	BalanceAge time.Duration
	// ReserveOpen tells that the reserve is open, and OpensIn after which time it may
	// be if the control group stays away.
	ReserveOpen bool
	OpensIn     time.Duration
	// CoveredIn is the time after which the envelope allows the request if the group
	// stays away; 0 if that is not known, or the host holds too little.
	CoveredIn time.Duration
}

// Allowance is what one host may spend. It is safe for concurrent use; the
// boot-time clock is passed in, in ns.
type Allowance struct {
	mu      sync.Mutex
	session uint64
	seq     uint64
	// sent is the report that waits for its acknowledgement, or nil.
	sent *Report
	// acked is the report that was acknowledged last, or nil.
	acked *Report
	// opened tells that the witnesses have noted the opening of the reserve since the
	// last report.
	opened bool
	// sealed tells that nothing more may be spent.
	sealed   bool
	accounts map[string]*allotment
}

// allotment is one organisation's part of an Allowance.
type allotment struct {
	granted, returned, used, reserved int64
	// credited is the part of granted that other hosts are known to have given;
	// received is what came from them, given what went to them.
	credited, received int64
	given              []Transfer
	givenTotal         int64
	holders            []Holder
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
	// noted tells that ceiling holds: the witnesses have noted it since the last report.
	// raise asks for a higher one.
	noted, raise bool
	ceiling      int64
	// need is the most that a request lacked since the last report, less what was
	// granted since.
	need    int64
	changed bool
	// reported is the host's part of the balance at the latest report that named it.
	reported float64
}

// NewAllowance returns the empty allowance of a session.
func NewAllowance(session uint64) *Allowance {
	return &Allowance{session: session, accounts: map[string]*allotment{}}
}

// allotment returns that of an organisation. One that no report has named yet has an
// envelope without any burst.
func (a *Allowance) allotment(organisation string) *allotment {
	t := a.accounts[organisation]
	if t == nil {
		t = &allotment{}
		if a.acked != nil {
			t.acked = &envelope{clock: a.acked.Clock}
		}
		if a.sent != nil {
			t.pending = &envelope{clock: a.sent.Clock}
		}
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
func (a *Allowance) Reserve(organisation string, need, now int64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.ask(need, now)
	t.changed = true
	spent := t.spent()
	d := Decision{
		Held: t.held() - spent, Allowed: a.limit(t, now) - spent,
		Balance: t.balance, BalanceAge: time.Duration(now - t.balanceAt), ReserveOpen: a.opened,
	}
	if need <= d.Allowed {
		t.reserved += need
		t.need = max(t.need-need, 0)
		return d
	}
	t.lack(need, a.opened)
	d.Verdict = Short
	a.foresee(t, &d, need, now)
	if t.balanceKnown && need > t.balance && d.BalanceAge < balanceFreshness {
		d.Verdict = Exhausted
	}
	return d
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

// held is what the host has got and not returned.
func (t *allotment) held() int64 {
	return t.granted - t.credited + t.transferred() - t.returned
}

// transferred is what other hosts have given. Tokens on their way may be known to
// the group first, or to this host.
func (t *allotment) transferred() int64 { return max(t.received, t.credited) }

// spent is what can't be spent again.
func (t *allotment) spent() int64 { return t.used + t.reserved + t.givenTotal }

// Seal ends all spending, for a host that closes its session.
func (a *Allowance) Seal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
}

// limit is the most that may be spent by now: nothing before the first report is
// acknowledged.
func (a *Allowance) limit(t *allotment, now int64) int64 {
	if a.acked == nil || a.sealed {
		return 0
	}
	received, opened := t.transferred(), a.opened && t.noted
	limit := min(t.held(), t.acked.limit(now, received, opened), t.pending.limit(now, received, opened))
	if opened && time.Duration(now-a.latestClock()) <= SoloDelay {
		limit = min(limit, t.ceiling+received)
	}
	return limit
}

// lack notes that a request is short of tokens. It may be one that tries again.
func (t *allotment) lack(need int64, opened bool) {
	t.need = max(t.need, need)
	t.raise = opened
	t.changed = true
}

// foresee states when a request that is short may be covered.
func (a *Allowance) foresee(t *allotment, d *Decision, need, now int64) {
	if a.acked == nil || a.sealed {
		return
	}
	d.OpensIn = max(OpenDelay-time.Duration(now-a.acked.Clock), 0)
	if need <= d.Held {
		target, received := t.spent()+need, t.transferred()
		d.CoveredIn = max(t.acked.covers(target, received), t.pending.covers(target, received)) - time.Duration(now-a.acked.Clock)
		if a.opened {
			d.CoveredIn = max(d.CoveredIn, noteTime)
		}
	}
}

// latestClock is the time of the latest report that the group may know.
func (a *Allowance) latestClock() int64 {
	if a.sent != nil {
		return a.sent.Clock
	}
	return a.acked.Clock
}

// share is the host's even part of the balance.
func (t *allotment) share() float64 {
	return float64(max(t.balance, 0)) / float64(max(t.hosts, 1))
}

// quiet tells whether there is nothing new to report.
func (t *allotment) quiet() bool {
	return !t.changed && t.demand < 1 && math.Abs(t.share()-t.reported) <= t.reported*shareChange
}

func (t *allotment) ask(tokens, now int64) {
	t.decay(now)
	t.demand += float64(tokens)
}

func (t *allotment) decay(now int64) {
	if d := time.Duration(now - t.demandAt); t.demandAt != 0 && d > 0 {
		factor := math.Exp(-d.Seconds() / demandWindow.Seconds())
		t.demand *= factor
	}
	t.demandAt = now
}

// Report returns the report to send, with the hosts that the host takes as its
// witnesses. One that was not acknowledged is returned again as it was: the group
// may have it. An organisation that a report does not name keeps its envelope, which
// counts from the new report on. A brief report names those that lack tokens only. It
// is made in full if the host may have spent beyond its bursts, or is about to end.
func (a *Allowance) Report(at Instant, witnesses []uint64, brief bool) *Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent != nil {
		return a.sent
	}
	a.seq++
	now := at.Boot
	r := &Report{Session: a.session, Seq: a.seq, Clock: now, Wall: at.Wall, Witnesses: witnesses}
	brief = brief && a.acked != nil && time.Duration(now-a.acked.Clock) <= OpenDelay && !a.sealed
	for name, t := range a.accounts {
		if t.quiet() || brief && t.need == 0 {
			t.pending = t.acked.at(now)
			continue
		}
		r.Uses = append(r.Uses, t.report(name, now))
	}
	// Its witnesses have not noted an opening yet.
	a.sent = r
	a.closeReserve()
	return r
}

// report states the allotment and enters the envelope that follows from it.
func (t *allotment) report(name string, now int64) Use {
	t.decay(now)
	rate := t.demand / demandWindow.Seconds() * surge
	t.reported = t.share()
	rate = max(rate, t.reported/floorDivisor)
	burst := rate / surge * touchWindow.Seconds()
	u := Use{
		Organisation: name, Used: t.used, Reserved: t.reserved,
		Want: int64(rate*stock/surge*horizon.Seconds()+burst) + t.need,
		Rate: int64(rate), Burst: int64(burst) + t.need,
	}
	if excess := t.held() - t.spent() - max(t.target, 0); t.balanceKnown && excess > 0 {
		t.returned += excess
	}
	u.Returned, u.Given, u.Received = t.returned, slices.Clone(t.given), t.transferred()
	t.pending = &envelope{base: t.spent() + u.Burst, rate: u.Rate, clock: now, received: u.Received}
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
	for _, t := range a.accounts {
		if t.pending != nil {
			t.acked, t.pending = t.pending, nil
		}
	}
	at := a.sent.Clock
	a.sent, a.acked = nil, a.sent
	a.closeReserve()
	for _, g := range reply.Grants {
		t := a.allotment(g.Organisation)
		t.granted, t.credited = max(t.granted, g.Granted), max(t.credited, g.Credited)
		t.target = g.Target
		if len(g.Holders) > 0 {
			t.holders = g.Holders
		}
		t.balance, t.hosts, t.balanceAt, t.balanceKnown = g.Balance, g.Hosts, at, true
	}
}
