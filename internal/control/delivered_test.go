package control_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

func (f *fixture) settleDelivered(key string, attempt uint32, tokens int64) *controlapi.Result {
	return f.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: controlapi.RequestIDFor("crier", key), Attempt: attempt, Tokens: tokens, Session: hostA, Delivered: true,
	}})
}

// beginTakenOver begins a request on host A and lets host B take it over.
func (f *fixture) beginTakenOver(key string, repeatable bool) {
	b := f.beginRequest(key, hostA, 100)
	b.Repeatable = repeatable
	b.Upstream, b.UpstreamIncarnation = "u-1", 1
	f.must(f.begin(b))
	again := *b
	again.Session, again.Takeover, again.Supersedes = hostB, true, 1
	f.Expect(f.must(f.begin(&again)).Begin.Status).To(Equal(controlapi.BeginTakenOver))
}

// While the control group was unreachable, the owner delivered the complete answer and
// journaled its settlement; another host took the request over meanwhile.
func TestDeliveredSettlementOfSupersededAttemptChargedOnce(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		f := newFixture(t, 1000)
		f.beginTakenOver("r", repeatable)
		f.Expect(f.must(f.settleDelivered("r", 1, 30)).Settled).To(Equal(int64(30)))
		f.Expect(f.must(f.settleDelivered("r", 1, 30)).Settled).To(Equal(int64(30)))
		f.Expect(f.must(f.settle("r", 2, 50)).Settled).To(Equal(int64(30)))
		f.Expect(f.budget().Charged).To(Equal(int64(30)))
		f.Expect(f.budget().Reserved).To(BeZero())
	}
}

func TestDeliveredSettlementAfterReleaseCharged(t *testing.T) {
	f := newFixture(t, 120)
	f.beginTakenOver("r", true)
	f.must(f.release("r", 2))
	f.must(f.begin(f.beginRequest("other", hostB, 100)))
	result := f.must(f.settleDelivered("r", 1, 30))
	f.Expect(result.Settled).To(Equal(int64(20)), "at most what the budget has available")
	f.Expect(result.Overrun).To(Equal(int64(10)))
	f.Expect(f.budget().Charged).To(Equal(int64(20)))
}

func TestSupersededSettlementStaleUnlessDelivered(t *testing.T) {
	f := newFixture(t, 1000)
	f.beginTakenOver("r", true)
	f.expectRefused(f.settle("r", 1, 30), errkind.StaleAttempt)
	f.expectRefused(f.settleDelivered("r", 3, 30), errkind.StaleAttempt)
}

// The owner abandons a non-repeatable request without having learned its outcome; the
// next retry takes the record over.
func TestAbandonedRecordTakenOver(t *testing.T) {
	f := newFixture(t, 1000)
	b := f.beginRequest("r", hostA, 100)
	b.Repeatable = false
	b.Upstream, b.UpstreamIncarnation = "u-1", 1
	f.must(f.begin(b))
	again := *b
	again.Session, again.BeginSequence = hostB, 7
	f.Expect(f.must(f.begin(&again)).Begin.Status).To(Equal(controlapi.BeginInProgress))
	f.must(f.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: b.RequestID, Attempt: 1, Session: hostA, Abandoned: true,
	}}))
	reply := f.must(f.begin(&again)).Begin
	f.Expect(reply.Status).To(Equal(controlapi.BeginTakenOver))
	f.Expect(reply.MayHaveRun).To(BeTrue())
	f.Expect(f.budget().Reserved).To(Equal(int64(100)))
}

// An abandoned record that is not taken over is closed after the orphan timeout.
func TestAbandonedRecordBecomesUnknown(t *testing.T) {
	f := newFixture(t, 1000)
	f.beginDispatched("r", false)
	f.must(f.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{
		RequestID: controlapi.RequestIDFor("crier", "r"), Attempt: 1, Abandoned: true,
	}}))
	f.now += 10 * 60 * 1000
	f.must(f.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: "none"}}))
	f.Expect(f.requestState("r")).To(Equal("unknown"))
	f.Expect(f.budget().Reserved).To(BeZero())
}

func (f *fixture) settlePartial(key string, attempt uint32, tokens int64) {
	f.must(f.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{
		RequestID: controlapi.RequestIDFor("crier", key), Attempt: attempt, Tokens: tokens, Partial: true,
	}}))
}

// A partially served and charged request is then served completely by a host whose
// control group is unreachable.
func TestMergedRunChargesRemainderOfPartialRun(t *testing.T) {
	f := newFixture(t, 1000)
	f.must(f.grant(hostA, 100))
	f.must(f.begin(f.beginRequest("r", hostB, 50)))
	f.settlePartial("r", 1, 10)
	f.must(f.merge(hostA, journalEntry(1, "r", 27)))
	f.must(f.merge(hostA, journalEntry(1, "r", 27)))
	f.Expect(f.budget().Charged).To(Equal(int64(27)))
	f.Expect(f.must(f.begin(f.beginRequest("r", hostB, 50))).Begin.Partial).To(BeFalse())
}

// Two runs complete the same request, one on each side of a partition: the remainder
// is charged once, whichever run is recorded first.
func TestRemainderOfPartialRunChargedOnce(t *testing.T) {
	for _, mergedFirst := range []bool{true, false} {
		f := newFixture(t, 1000)
		f.must(f.grant(hostA, 100))
		f.must(f.begin(f.beginRequest("r", hostB, 50)))
		f.settlePartial("r", 1, 10)
		completion := f.beginRequest("r-completed", hostB, 40)
		completion.Completes = controlapi.RequestIDFor("crier", "r")
		f.must(f.begin(completion))
		if mergedFirst {
			f.must(f.merge(hostA, journalEntry(1, "r", 27)))
			f.must(f.settle("r-completed", 1, 17))
		} else {
			f.must(f.settle("r-completed", 1, 17))
			f.must(f.merge(hostA, journalEntry(1, "r", 27)))
		}
		f.Expect(f.budget().Charged).To(Equal(int64(27)))
		f.Expect(f.budget().Reserved).To(BeZero())
	}
}

// A run that was charged to a grant and aborted is reported as partial to the next
// retry, which may complete it.
func TestMergedPartialRunReportedAsPartial(t *testing.T) {
	f := newFixture(t, 1000)
	f.must(f.grant(hostA, 100))
	aborted := journalEntry(1, "r", 10)
	aborted.Partial = true
	f.must(f.merge(hostA, aborted))
	reply := f.must(f.begin(f.beginRequest("r", hostB, 50))).Begin
	f.Expect(reply.Status).To(Equal(controlapi.BeginSettled))
	f.Expect(reply.Partial).To(BeTrue())
	f.Expect(reply.Charged).To(Equal(int64(10)))
}
