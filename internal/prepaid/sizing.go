package prepaid

import "time"

const (
	// outageHorizon is the time for which a host should hold enough tokens to serve without
	// the control group.
	outageHorizon = 10 * time.Second
	// reserveRateFactor is the ratio of the spending rate of an open reserve to the recent
	// demand. Beyond it a host gets tokens from other hosts. After a loss of all power that
	// rate is charged for all the time until the next process starts.
	reserveRateFactor = 1.25
	// holdingFactor is the ratio of the tokens that a host asks for to its recent demand
	// over outageHorizon. During a peak it gets the remainder from other hosts.
	holdingFactor = 1.5
	// burstWindow is the time at the recent demand for which a host may spend between two
	// reports without asking. The whole burst is written off if the host crashes.
	burstWindow = 300 * time.Millisecond
	// minRateDivisor sets the minimum rate of an envelope: the balance divided by this
	// number of seconds and by the number of hosts. It serves organisations that the host
	// has had no requests of.
	minRateDivisor = 60
	// holderBurstWindow replaces burstWindow at a holder, unless the largest request needs
	// more. It covers the interval between two reports in a large fleet, as a holder that has
	// to report first delays many requests.
	holderBurstWindow = 800 * time.Millisecond
	// holderShareDivisor sets the part of the balance, 1 in N, that the holders together ask
	// for at least. The rest stays with the control group, in case a holder is lost.
	holderShareDivisor = 2
	// borrowingHorizon is the time at its own demand for which a borrower keeps tokens, if
	// that covers more than one request.
	borrowingHorizon = time.Second
)

// sizing is what a host asks for in a report, in tokens and tokens per second, before
// what single requests lack is added.
type sizing struct {
	want, rate, burst int64
}

// sizing returns what the host asks for, given its role and its recent demand. That of a
// holder includes what it sent to other hosts.
func (t *allotment) sizing() sizing {
	demandRate := t.demand / demandTimeConstant.Seconds()
	if t.role == roleBorrower {
		ahead := t.borrowedAhead()
		return sizing{want: ahead - t.surplusShare(), rate: int64(demandRate * reserveRateFactor), burst: ahead}
	}
	rate := max(demandRate*reserveRateFactor, t.evenShare()/minRateDivisor)
	usual := rate / reserveRateFactor
	if t.role == roleHolder {
		burst := max(usual*holderBurstWindow.Seconds(), usual*burstWindow.Seconds()+t.largest)
		want := max(usual*holdingFactor*outageHorizon.Seconds()+burst, t.evenShare()/holderShareDivisor)
		return sizing{want: int64(want), rate: int64(rate), burst: int64(burst)}
	}
	burst := usual * burstWindow.Seconds()
	return sizing{want: int64(usual*holdingFactor*outageHorizon.Seconds() + burst), rate: int64(rate), burst: int64(burst)}
}

// evenShare returns the balance divided by the number of hosts that hold tokens.
func (t *allotment) evenShare() float64 {
	hosts := max(t.hosts, 1)
	if t.role == roleHolder {
		hosts = min(hosts, holdersPerOrganisation)
	}
	return float64(max(t.balance, 0)) / float64(hosts)
}

// surplusShare returns more than the part of the surplus that the control group distributes to
// each host, which a borrower does not want: hundreds of such parts add up to a good part of the
// balance, and none of them serves a request.
func (t *allotment) surplusShare() int64 {
	return 2 * max(t.balance, 0) / surplusDivisor / int64(max(t.hosts, 1))
}

// borrowedAhead returns the tokens that a borrower keeps for requests to come.
func (t *allotment) borrowedAhead() int64 {
	ahead := t.demand / demandTimeConstant.Seconds() * borrowingHorizon.Seconds()
	if ahead <= t.largest {
		return 0
	}
	return int64(ahead)
}

// excess returns the free tokens that the host returns with its next report.
func (t *allotment) excess() int64 {
	free := t.held() - t.committed()
	switch {
	case t.role == roleBorrower:
		return free - t.borrowedAhead() - t.shortfall
	case !t.balanceKnown:
		return 0
	}
	return free - max(t.target, 0)
}
