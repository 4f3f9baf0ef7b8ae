package control_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

func (f *fixture) grant(session string, total int64) *controlapi.Result {
	return f.execute(&controlapi.Command{Grant: &controlapi.GrantRequest{Session: session, Budget: "main", Total: total}})
}

func (f *fixture) returnGrant(session string, total int64) *controlapi.Result {
	return f.execute(&controlapi.Command{ReturnGrant: &controlapi.ReturnGrantRequest{Session: session, Budget: "main", Total: total}})
}

func (f *fixture) merge(session string, entries ...controlapi.JournalEntry) *controlapi.Result {
	return f.execute(&controlapi.Command{MergeJournal: &controlapi.MergeJournalRequest{Session: session, Entries: entries}})
}

func journalEntry(sequence uint64, key string, tokens int64) controlapi.JournalEntry {
	return controlapi.JournalEntry{
		Sequence: sequence, RequestID: controlapi.RequestIDFor("crier", key), Organisation: "heraut", Caller: "crier",
		Budget: "main", Service: "proclaim", BodyHash: "body-" + key, Tokens: tokens,
	}
}

// balances returns the tokens paid in, charged, reserved and granted.
func (f *fixture) balances() [4]int64 {
	b := f.budget()
	return [4]int64{b.PaidIn, b.Charged, b.Reserved, b.Granted}
}

func TestGrantReducesAvailableBudget(t *testing.T) {
	f := newFixture(t, 100)
	first := f.must(f.grant(hostA, 60))
	f.Expect(f.grant(hostA, 60)).To(Equal(first))
	f.Expect(f.balances()).To(Equal([4]int64{100, 0, 0, 60}))
	f.expectRefused(f.grant(hostB, 50), errkind.BudgetReserved)
	f.expectRefused(f.grant(hostB, 101), errkind.BudgetExhausted)
	f.expectRefused(f.begin(f.beginRequest("k", hostB, 50)), errkind.BudgetReserved)

	f.must(f.returnGrant(hostA, 20))
	f.must(f.returnGrant(hostA, 20))
	f.Expect(f.balances()).To(Equal([4]int64{100, 0, 0, 40}))
	f.expectRefused(f.returnGrant(hostA, 61), errkind.InvalidRequest)
	f.must(f.grant(hostA, 70))
	f.Expect(f.balances()).To(Equal([4]int64{100, 0, 0, 50}))
}

func TestPartitionedRequestChargedOnce(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 60))
	f.endSession(hostA)
	f.must(f.begin(f.beginRequest("both", hostB, 10)))
	f.must(f.settle("both", 1, 10))
	f.must(f.begin(f.beginRequest("open", hostB, 10)))
	f.must(f.begin(f.beginRequest("released", hostB, 10)))
	f.must(f.release("released", 1))

	entries := []controlapi.JournalEntry{
		journalEntry(1, "both", 11), journalEntry(2, "open", 7), journalEntry(3, "released", 5), journalEntry(4, "alone", 3),
	}
	reply := f.must(f.merge(hostA, entries...)).Merge
	f.Expect(reply).To(Equal(&controlapi.MergeReply{Merged: 4, Charged: 15, AlreadyCharged: 1}))
	f.Expect(f.balances()).To(Equal([4]int64{100, 25, 0, 45}))
	again := f.must(f.merge(hostA, entries...)).Merge
	f.Expect(again).To(Equal(&controlapi.MergeReply{Merged: 4}))

	f.Expect(f.must(f.settle("open", 1, 9)).Settled).To(Equal(int64(7)))
	for _, key := range []string{"both", "open", "released", "alone"} {
		f.Expect(f.must(f.begin(f.beginRequest(key, hostB, 10))).Begin.Status).To(Equal(controlapi.BeginSettled), key)
	}
	f.must(f.returnGrant(hostA, 45))
	f.Expect(f.balances()).To(Equal([4]int64{100, 25, 0, 0}))
	f.expectRefused(f.merge(hostA, entries...), errkind.NotFound)
}

func TestJournalGapRefused(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 60))
	f.expectRefused(f.merge(hostA, journalEntry(2, "k", 1)), errkind.Conflict)
	f.Expect(f.balances()).To(Equal([4]int64{100, 0, 0, 60}))
}

func TestMergeChargesAtMostGrant(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 10))
	reply := f.must(f.merge(hostA, journalEntry(1, "k", 25))).Merge
	f.Expect(reply.Charged).To(Equal(int64(10)))
	f.Expect(reply.Overrun).To(Equal(int64(15)))
	f.Expect(f.balances()).To(Equal([4]int64{100, 10, 0, 0}))
}

func TestSameKeyWithTwoBodiesChargedSeparately(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 50))
	f.must(f.begin(f.beginRequest("k", hostB, 10)))
	f.must(f.settle("k", 1, 10))
	other := journalEntry(1, "k", 5)
	other.BodyHash = "another"
	f.must(f.merge(hostA, other))
	f.Expect(f.balances()).To(Equal([4]int64{100, 15, 0, 45}))
}

func TestEndedSessionGrantCountedUntilWrittenOff(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 60))
	writeOff := &controlapi.Command{WriteOffGrant: &controlapi.WriteOffGrantRequest{OperationID: "lost", Session: hostA}}
	f.expectRefused(f.execute(writeOff), errkind.Conflict)
	f.endSession(hostA)
	f.now += 1000 * request.NonRepeatableRetentionMS
	f.expectRefused(f.begin(f.beginRequest("k", hostB, 50)), errkind.BudgetReserved)

	writeOff.WriteOffGrant.OperationID = "lost for good"
	first := f.must(f.execute(writeOff))
	f.Expect(first.WrittenOff).To(Equal(int64(60)))
	f.Expect(f.execute(writeOff)).To(Equal(first))
	f.Expect(f.balances()).To(Equal([4]int64{100, 60, 0, 0}))
	f.Expect(f.machine.Query(&controlapi.QueryRequest{Grants: true}).Grants).To(BeEmpty())
}

// A request that was settled before a long partition is served again on the other
// side. Its record must be kept beyond its retention, or the merge would charge the
// request twice.
func TestRecordKeptUntilJournalMerged(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.grant(hostA, 50))
	f.must(f.begin(f.beginRequest("k", hostB, 10)))
	f.must(f.settle("k", 1, 10))
	f.endSession(hostA)
	for range 10 {
		f.now += request.RepeatableRetentionMS
		f.must(f.openSession(hostB, 2))
	}
	f.Expect(f.must(f.merge(hostA, journalEntry(1, "k", 9))).Merge.AlreadyCharged).To(Equal(1))
	f.Expect(f.balances()).To(Equal([4]int64{100, 10, 0, 50}))

	f.must(f.returnGrant(hostA, 50))
	f.now += request.RepeatableRetentionMS
	f.must(f.openSession(hostB, 2))
	f.Expect(f.machine.Query(&controlapi.QueryRequest{Requests: true}).Requests).To(BeEmpty())
}
