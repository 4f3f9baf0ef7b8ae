package prepaid

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func fleetAddresses(n int) []string {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	return addresses
}

// borrowerOf returns the allowance of a host that does not hold the organisation's tokens,
// with an acknowledged report.
func borrowerOf(g *WithT, organisation string) *Allowance {
	addresses := fleetAddresses(MaxDirectPeers + 2)
	holders := NewFleet(addresses[0], addresses).holders(organisation)
	own := addresses[slices.IndexFunc(addresses, func(a string) bool { return !slices.Contains(holders, a) })]
	a := NewAllowance(1)
	a.SetFleet(NewFleet(own, addresses))
	report := a.Report(Instant{BootTime: 1}, nil, false)
	a.Acknowledge(&Reply{Seq: report.Seq}, 1)
	lenders, first := a.Lenders(organisation)
	g.Expect(lenders).To(ConsistOf(holders))
	g.Expect(first).To(BeTrue())
	return a
}

func TestHoldersAreTheSameOnAllHosts(t *testing.T) {
	g := NewWithT(t)
	addresses := fleetAddresses(40)
	load := map[string]int{}
	for i := range 200 {
		organisation := fmt.Sprintf("o%d", i)
		holders := NewFleet(addresses[0], addresses).holders(organisation)
		g.Expect(holders).To(HaveLen(holdersPerOrganisation))
		g.Expect(NewFleet(addresses[7], slices.Insert(slices.Clone(addresses[1:]), 3, addresses[0])).holders(organisation)).To(Equal(holders))
		for _, h := range holders {
			load[h]++
		}
		// A host that goes changes the holders only if it is one of them.
		gone := addresses[i%len(addresses)]
		fewer := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == gone })
		rest := slices.DeleteFunc(slices.Clone(holders), func(a string) bool { return a == gone })
		g.Expect(NewFleet(fewer[0], fewer).holders(organisation)[:len(rest)]).To(Equal(rest))
	}
	for _, address := range addresses {
		g.Expect(load[address]).To(BeNumerically("<", 3*200*holdersPerOrganisation/len(addresses)), "the organisations are spread")
	}
	g.Expect(NewFleet("a", fleetAddresses(MaxDirectPeers+1)).holders("o")).To(BeEmpty(), "each host of a small fleet holds its own")
}

// Tokens that a borrower keeps are of no use to others until its next report, which a cut
// delays for seconds.
func TestBorrowerKeepsNothingBeyondARequest(t *testing.T) {
	g := NewWithT(t)
	const organisation, need = "north", 17_000
	a := borrowerOf(g, organisation)
	now := int64(time.Millisecond)
	for range 5 {
		g.Expect(a.Reserve(organisation, need, now).Verdict).To(Equal(Insufficient))
		g.Expect(a.TokensAhead(organisation, now)).To(BeZero(), "repeated attempts of a request are no demand")
	}
	a.Receive(organisation, need)
	g.Expect(a.Reserve(organisation, need, now).Verdict).To(Equal(Granted))
	g.Expect(a.TokensAhead(organisation, now)).To(BeZero())
	a.Settle(organisation, need, need/2)
	report := a.Report(Instant{BootTime: now}, nil, false)
	g.Expect(report.Uses).To(HaveLen(1))
	g.Expect(report.Uses[0].Returned).To(Equal(int64(need / 2)))
	for range 20 {
		a.Receive(organisation, need)
		g.Expect(a.Reserve(organisation, need, now).Verdict).To(Equal(Granted))
	}
	g.Expect(a.TokensAhead(organisation, now)).To(BeNumerically(">", need), "a busy host keeps tokens for a second")
}

// A borrower refuses as exhausted what the balance that a holder knows does not cover.
func TestBorrowerLearnsTheBalanceFromHolders(t *testing.T) {
	g := NewWithT(t)
	_, h := openHostWithBudget(g)
	h.sync()
	now := h.now + int64(2*maxBalanceAge)
	g.Expect(h.allowance.Reserve("north", 2_000_000, now).Verdict).To(Equal(Insufficient), "the balance is too old")
	h.allowance.NoteBalance("north", 5000, now)
	h.allowance.NoteBalance("north", 900_000, now-1)
	d := h.allowance.Reserve("north", 2_000_000, now)
	g.Expect(d.Verdict).To(Equal(Exhausted))
	g.Expect(d.Balance).To(Equal(int64(5000)))
	tokens, age, known := h.allowance.Balance("north", now+int64(time.Second))
	g.Expect([]any{tokens, age, known}).To(Equal([]any{int64(5000), time.Second, true}))
}

// What a borrower does not need goes back to a holder: after its request, and at once if that is
// refused.
func TestBorrowerReturnsWhatItDoesNotNeed(t *testing.T) {
	g := NewWithT(t)
	b, h := openHostWithBudget(g)
	addresses := []string{"h"}
	for i := range 12 {
		addresses = append(addresses, fmt.Sprint("other-", i))
	}
	h.allowance.SetFleet(NewFleet("h", addresses))
	_, borrows := h.allowance.Lenders("north")
	g.Expect(borrows).To(BeTrue())
	h.sync()
	h.sync()
	h.sync()
	g.Expect(b.total("north").held).To(BeZero(), "a borrower keeps no part of the surplus")
	g.Expect(h.allowance.Idle(h.now)).To(BeTrue())
	g.Expect(h.allowance.Idle(h.now+int64(maxReportGap)+1)).To(BeFalse(), "sessions are renewed")
	const holder = 7
	b.OpenSession(SessionOpening{Host: "other-0", Session: holder})
	h.allowance.Receive("north", 1000)
	g.Expect(h.allowance.Idle(h.now)).To(BeFalse(), "it holds tokens")
	g.Expect(h.allowance.Reserve("north", 900, h.now).Verdict).To(Equal(Granted))
	h.allowance.Settle("north", 900, 600)
	g.Expect(h.allowance.ReturnExcess("north", holder, h.now)).To(Equal(int64(400)))
	g.Expect(h.allowance.ReturnExcess("north", holder, h.now)).To(BeZero())
	h.allowance.Receive("north", 500)
	g.Expect(h.allowance.Reserve("north", 900, h.now).Verdict).NotTo(Equal(Granted))
	h.allowance.Abandon("north")
	g.Expect(h.allowance.ReturnExcess("north", holder, h.now)).To(Equal(int64(500)))
}
