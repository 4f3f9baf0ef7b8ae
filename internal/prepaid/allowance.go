package prepaid

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of the demand.
	demandTimeConstant = 4 * time.Second
	// shareChangeThreshold is the relative change of the host's even share of the balance
	// from which an organisation without requests is reported again.
	shareChangeThreshold = 0.25
	// ceilingRecordLatency is the usual time until the witnesses have recorded a higher ceiling.
	ceilingRecordLatency = 40 * time.Millisecond
	// maxBalanceAge is the age of a balance up to which a request may be refused as Exhausted.
	maxBalanceAge = time.Second
	// shortfallDecay is the factor applied to an unmet shortfall at each report.
	shortfallDecay = 0.5
)

// Verdict is the result of a reservation attempt.
type Verdict uint8

// The verdicts of Allowance.Reserve.
const (
	// Granted means that the tokens are reserved.
	Granted Verdict = iota
	// Insufficient means that the host cannot spend enough tokens yet but may get more.
	Insufficient
	// Exhausted means that the organisation's whole balance does not cover the request.
	Exhausted
)

// Decision is the result of a reservation attempt and the figures it was based on.
type Decision struct {
	Verdict Verdict
	// Free is the number of tokens that the host held uncommitted, and Allowed the part of
	// it that its envelope allowed, when the request arrived.
	Free, Allowed int64
	// Balance is the number of tokens neither used nor reserved on any host, as of
	// BalanceAge ago.
	Balance    int64
	BalanceAge time.Duration
	// ReserveOpen reports whether the reserve is open. ReserveOpensIn is the time until it
	// may be opened if the control group remains unreachable.
	ReserveOpen    bool
	ReserveOpensIn time.Duration
	// AllowedIn is the time until the envelope allows the request if the control group
	// remains unreachable; 0 if that is unknown or the host holds too few tokens.
	AllowedIn time.Duration
}

// Allowance holds the tokens that one host may spend. It is safe for concurrent use.
// Times are passed in as readings of the boot-time clock, in ns.
type Allowance struct {
	mu      sync.Mutex
	session uint64
	seq     uint64
	// unacked is the report that awaits its acknowledgement, or nil.
	unacked *Report
	// acked is the last acknowledged report, or nil.
	acked *Report
	// ackedAt is the time of its acknowledgement on the host's boot-time clock, in ns.
	ackedAt int64
	// reserveOpen reports whether the witnesses have recorded the opening of the reserve
	// since the last report.
	reserveOpen bool
	// sealed forbids all further spending, and firstSealed is the number of the first report after that.
	sealed      bool
	firstSealed uint64
	allotments  map[string]*allotment
	// fleet determines the holders of each organisation's tokens; nil until it is known.
	fleet *Fleet
}

// allotment holds the tokens of one organisation in an Allowance.
type allotment struct {
	role role
	// lenders lists the other holders of the organisation's tokens, the preferred one first.
	lenders                           []string
	granted, returned, used, reserved int64
	// credited is the part of granted that the control group knows to come from other
	// hosts. received is the sum of the tokens that arrived from other hosts. transfers
	// lists the transfers to other hosts, and sentTotal is their sum.
	credited, received int64
	transfers          []Transfer
	sentTotal          int64
	holders            []Holder
	// acked and pending are the envelopes of the last acknowledged and of the unacknowledged
	// report. Both apply, since the control group may know either one as the latest.
	acked, pending *envelope
	target         int64
	balance        int64
	hosts          int
	balanceAt      int64
	balanceKnown   bool
	// demand is the exponentially decayed sum of requested tokens, and largest the decayed
	// maximum, both as of demandAt.
	demand, largest float64
	demandAt        int64
	// ceilingRecorded reports whether the witnesses have recorded ceiling since the last
	// report; raiseCeiling requests a higher one.
	ceilingRecorded, raiseCeiling bool
	ceiling                       int64
	// shortfall is the largest number of tokens that a request lacked since the last report,
	// less what was reserved since.
	shortfall int64
	changed   bool
	// reportedShare is the host's even share of the balance at the last report that named
	// the organisation.
	reportedShare float64
}

// NewAllowance returns an empty allowance for a session.
func NewAllowance(session uint64) *Allowance {
	return &Allowance{session: session, allotments: map[string]*allotment{}}
}

// allotment returns the allotment of an organisation, and creates it if needed. Until a
// report names the organisation, its envelope allows no burst.
func (a *Allowance) allotment(organisation string) *allotment {
	t := a.allotments[organisation]
	if t == nil {
		t = &allotment{}
		if a.acked != nil {
			t.acked = &envelope{reportTime: a.acked.BootTime}
		}
		if a.unacked != nil {
			t.pending = &envelope{reportTime: a.unacked.BootTime}
		}
		a.allotments[organisation] = t
		a.assignRole(organisation, t)
	}
	return t
}

// RegisterOrganisations makes the next report ask for tokens for each organisation, so
// that the host holds some before the first request.
func (a *Allowance) RegisterOrganisations(organisations []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range organisations {
		if a.allotments[name] == nil {
			a.allotment(name).changed = true
		}
	}
}

// Reserve reserves need tokens for a request of organisation.
func (a *Allowance) Reserve(organisation string, need, now int64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	if t.role != roleBorrower {
		t.addDemand(need, now)
	}
	t.changed = true
	committed := t.committed()
	d := Decision{
		Free: t.held() - committed, Allowed: a.spendLimit(t, now) - committed,
		Balance: t.balance, BalanceAge: time.Duration(now - t.balanceAt), ReserveOpen: a.reserveOpen,
	}
	if need <= d.Allowed {
		if t.role == roleBorrower {
			t.addDemand(need, now) // only once, however often the request was tried
		}
		t.reserved += need
		t.shortfall = max(t.shortfall-need, 0)
		return d
	}
	if t.role != roleBorrower {
		t.recordShortfall(need, a.reserveOpen)
	}
	d.Verdict = Insufficient
	a.estimateWait(t, &d, need, now)
	if t.balanceKnown && need > t.balance && d.BalanceAge < maxBalanceAge {
		d.Verdict = Exhausted
	}
	return d
}

// Request makes the next report ask the control group for the tokens that a request of a borrower
// lacks. Borrowers do so only if they reach no holder: what the group grants to many hosts in
// small amounts serves no request.
func (a *Allowance) Request(organisation string, need int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allotment(organisation).recordShortfall(need, a.reserveOpen)
}

// Abandon ends the attempts to reserve tokens for a request that is refused. A borrower returns
// what it got for the request with its next report, so that the rest of a budget does not end as
// amounts on many hosts that are too small for any request.
func (a *Allowance) Abandon(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.allotment(organisation); t.role == roleBorrower {
		t.shortfall, t.changed = 0, true
	}
}

// Settle ends a reservation and charges the tokens that were used, at most those reserved.
func (a *Allowance) Settle(organisation string, reserved, used int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.reserved -= reserved
	t.used += min(used, reserved)
	t.changed = true
}

// held returns the tokens received from the control group and from other hosts, less
// those returned.
func (t *allotment) held() int64 {
	return t.granted - t.credited + t.receivedTotal() - t.returned
}

// receivedTotal returns the tokens transferred from other hosts. A transfer may become
// known to the control group before this host, or the other way round.
func (t *allotment) receivedTotal() int64 { return max(t.received, t.credited) }

// committed returns the tokens that are used, reserved or transferred to other hosts.
func (t *allotment) committed() int64 { return t.used + t.reserved + t.sentTotal }

// spendLimit returns the bound on committed tokens at time now. It is 0 until the first
// report is acknowledged.
func (a *Allowance) spendLimit(t *allotment, now int64) int64 {
	if a.acked == nil || a.sealed {
		return 0
	}
	received, opened := t.receivedTotal(), a.reserveOpen && t.ceilingRecorded
	limit := min(t.held(), t.acked.limit(now, received, opened), t.pending.limit(now, received, opened))
	if opened && time.Duration(now-a.latestReportTime()) <= UnwitnessedReserveDelay {
		limit = min(limit, t.ceiling+received)
	}
	return limit
}

// recordShortfall records that a request lacks tokens. A repeated attempt of the same
// request must not count twice, so the maximum is kept and not the sum.
func (t *allotment) recordShortfall(need int64, opened bool) {
	t.shortfall = max(t.shortfall, need)
	t.raiseCeiling = opened
	t.changed = true
}

// estimateWait sets the times at which a request with verdict Insufficient may succeed.
func (a *Allowance) estimateWait(t *allotment, d *Decision, need, now int64) {
	if a.acked == nil || a.sealed {
		return
	}
	d.ReserveOpensIn = max(ReserveOpenDelay-time.Duration(now-a.acked.BootTime), 0)
	if need <= d.Free {
		target, received := t.committed()+need, t.receivedTotal()
		d.AllowedIn = max(t.acked.timeToAllow(target, received), t.pending.timeToAllow(target, received)) - time.Duration(now-a.acked.BootTime)
		if a.reserveOpen {
			d.AllowedIn = max(d.AllowedIn, ceilingRecordLatency)
		}
	}
}

// latestReportTime returns the time of the latest report that the control group may know.
func (a *Allowance) latestReportTime() int64 {
	if a.unacked != nil {
		return a.unacked.BootTime
	}
	return a.acked.BootTime
}

// unchanged reports whether there is nothing new to report.
func (t *allotment) unchanged() bool {
	if t.role == roleBorrower {
		return !t.changed
	}
	return !t.changed && t.demand < 1 && math.Abs(t.evenShare()-t.reportedShare) <= t.reportedShare*shareChangeThreshold
}

func (t *allotment) addDemand(tokens, now int64) {
	t.decayDemand(now)
	t.demand += float64(tokens)
	t.largest = max(t.largest, float64(tokens))
}

func (t *allotment) decayDemand(now int64) {
	if d := time.Duration(now - t.demandAt); t.demandAt != 0 && d > 0 {
		factor := math.Exp(-d.Seconds() / demandTimeConstant.Seconds())
		t.demand *= factor
		t.largest *= factor
	}
	t.demandAt = now
}

// Report returns the report to send, which names the witnesses. An unacknowledged report
// is returned again unchanged, as the control group may have it. Organisations that a
// report omits keep their envelopes, counted from the new report. A brief report omits all
// without a shortfall, unless the host may have spent beyond its bursts. A sealed host asks for nothing and returns
// all that is not reserved.
func (a *Allowance) Report(at Instant, witnesses []uint64, brief bool) *Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unacked != nil {
		return a.unacked
	}
	a.seq++
	now := at.BootTime
	r := &Report{Session: a.session, Seq: a.seq, Boot: at.Boot, BootTime: now, WallTime: at.WallTime, Witnesses: witnesses}
	if a.acked != nil {
		r.AckAge = now - a.ackedAt
	}
	brief = brief && a.acked != nil && time.Duration(now-a.acked.BootTime) <= ReserveOpenDelay
	for name, t := range a.allotments {
		switch {
		case a.sealed:
			r.Uses = append(r.Uses, t.reportLastUse(name, now))
		case t.unchanged() || brief && t.shortfall == 0:
			t.pending = t.acked.rebased(now)
		default:
			r.Uses = append(r.Uses, t.reportUse(name, now))
		}
	}
	// The witnesses of this report have not recorded an opening.
	a.unacked = r
	a.closeReserve()
	return r
}

// maxReportGap is the longest time between two reports of a host that has nothing to report.
const maxReportGap = 2 * time.Second

// Idle reports whether the host needs to send no report now: it holds no tokens, none of its
// requests is in flight, all that it used is reported, and its last report is recent.
func (a *Allowance) Idle(now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || a.unacked != nil || a.sealed || time.Duration(now-a.acked.BootTime) > maxReportGap {
		return false
	}
	for _, t := range a.allotments {
		if t.changed || t.role != roleBorrower || t.reserved != 0 || t.held() != t.committed() {
			return false
		}
	}
	return true
}

// reportUse returns the allotment's part of a report and sets the pending envelope that
// follows from it.
func (t *allotment) reportUse(name string, now int64) Use {
	t.decayDemand(now)
	t.reportedShare = t.evenShare()
	size := t.sizing()
	u := Use{
		Organisation: name, Used: t.used, Reserved: t.reserved, Want: size.want + t.shortfall,
		Rate: size.rate, Burst: size.burst + t.shortfall,
	}
	t.completeReport(&u, t.excess(), now)
	// A borrower whose request was meanwhile served otherwise returns what it was granted.
	t.changed = t.role == roleBorrower && t.shortfall > 0
	t.shortfall = int64(float64(t.shortfall) * shortfallDecay)
	return u
}

// completeReport adds the tokens that are returned and transferred, and sets the pending envelope.
func (t *allotment) completeReport(u *Use, excess, now int64) {
	t.returned += max(excess, 0)
	u.Returned, u.Transfers, u.Received = t.returned, slices.Clone(t.transfers), t.receivedTotal()
	t.pending = &envelope{base: t.committed() + u.Burst, rate: u.Rate, reportTime: now, received: u.Received}
}

// Acknowledge applies the reply to the last report that was sent.
func (a *Allowance) Acknowledge(reply *Reply, now int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unacked == nil || reply.Seq != a.unacked.Seq {
		return
	}
	for _, t := range a.allotments {
		if t.pending != nil {
			t.acked, t.pending = t.pending, nil
		}
	}
	at := a.unacked.BootTime
	a.ackedAt = now
	a.unacked, a.acked = nil, a.unacked
	a.closeReserve()
	for _, g := range reply.Grants {
		t := a.allotment(g.Organisation)
		t.granted, t.credited = max(t.granted, g.Granted), max(t.credited, g.Credited)
		t.target = g.Target
		if len(g.Holders) > 0 {
			t.holders = g.Holders
		}
		t.balance, t.hosts, t.balanceAt, t.balanceKnown = g.Balance, g.Hosts, at, true
		t.changed = t.changed || t.role == roleBorrower && t.excess() > 0
	}
}
