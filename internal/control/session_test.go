package control_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

func (f *fixture) requestState(key string) string {
	requests := f.machine.Query(&controlapi.QueryRequest{Request: controlapi.RequestIDFor("crier", key)}).Requests
	if len(requests) == 0 {
		return "none"
	}
	return requests[0].State
}

func (f *fixture) beginDispatched(key string, repeatable bool) {
	b := f.beginRequest(key, hostA, 10)
	b.Repeatable = repeatable
	b.Upstream = "upstream-" + key
	f.must(f.begin(b))
}

func TestEndSessionReleasesUndispatchedRequests(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.begin(f.beginRequest("idle", hostA, 10)))
	f.beginDispatched("sent", true)
	f.endSession(hostA)
	f.Expect(f.requestState("idle")).To(Equal("released"))
	f.Expect(f.requestState("sent")).To(Equal("open"))
	f.Expect(f.machine.Sessions()).To(HaveLen(1))
}

func TestOrphanRecovered(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("draft", true)
	f.beginDispatched("booking", false)
	f.beginDispatched("settled-late", true)
	f.endSession(hostA)
	f.must(f.settle("settled-late", 1, 4))
	f.now += request.OrphanTimeoutMS
	f.must(f.openSession(hostB, 2))
	f.Expect(f.requestState("draft")).To(Equal("released"))
	f.Expect(f.requestState("booking")).To(Equal("unknown"))
	f.Expect(f.balances()).To(Equal([4]int64{100, 14, 0, 0}))
	booking := f.beginRequest("booking", hostB, 10)
	f.expectRefused(f.begin(booking), errkind.OutcomeUnknown)
}

func TestTakenOverRequestNotOrphaned(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("draft", true)
	f.endSession(hostA)
	f.must(f.begin(f.beginRequest("draft", hostB, 10)))
	f.now += 2 * request.OrphanTimeoutMS
	f.must(f.openSession(hostB, 2))
	f.Expect(f.requestState("draft")).To(Equal("open"))
}

// A host that takes over a non-repeatable request must learn from the upstream that it
// did not run before dispatching it again, even to the same upstream.
func TestTakenOverNonRepeatableNotRedispatched(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("booking", false)
	f.endSession(hostA)
	takeover := f.beginRequest("booking", hostB, 10)
	f.must(f.begin(takeover))
	f.expectRefused(f.dispatch("booking", 2, "upstream-booking"), errkind.OutcomeUnknown)
	dispatch := &controlapi.DispatchRequest{RequestID: takeover.RequestID, Attempt: 2, Upstream: "upstream-booking", EarlierNotRun: true}
	f.must(f.execute(&controlapi.Command{Dispatch: dispatch}))
	f.must(f.execute(&controlapi.Command{Dispatch: dispatch}))
	f.Expect(f.must(f.begin(takeover)).Begin.MayHaveRun).To(BeFalse())
}

func TestReleaseOfNonRepeatableRequiresNotRun(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("booking", false)
	id := controlapi.RequestIDFor("crier", "booking")
	f.expectRefused(f.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{RequestID: id, Attempt: 1, MayHaveRun: true}}), errkind.OutcomeUnknown)
	f.must(f.release("booking", 1))
}

// A command that was sent twice through different hosts may be delivered again after
// later commands of the same owner.
func TestDuplicateCommandsChangeNothing(t *testing.T) {
	f := newFixture(t, 100)
	b := f.beginRequest("booking", hostA, 10)
	b.Repeatable, b.BeginSequence, b.Upstream = false, 1, "u1"
	f.must(f.begin(b))
	send := func(sequence uint32, upstream string) *controlapi.Result {
		return f.execute(&controlapi.Command{Dispatch: &controlapi.DispatchRequest{
			RequestID: b.RequestID, Attempt: 1, Upstream: upstream, EarlierNotRun: true, Sequence: sequence,
		}})
	}
	f.must(send(1, "u2"))
	f.must(send(1, "u2"))
	f.must(send(2, "u1"))
	f.expectRefused(send(1, "u2"), errkind.StaleAttempt)
	f.endSession(hostA)
	takeover := f.beginRequest("booking", hostB, 10)
	f.Expect(f.must(f.begin(takeover)).Begin.Upstream).To(Equal("u1"))

	released := f.beginRequest("free", hostB, 10)
	released.BeginSequence = 2
	f.must(f.begin(released))
	f.must(f.release("free", 1))
	f.expectRefused(f.begin(released), errkind.StaleAttempt)
	f.Expect(f.budget().Reserved).To(Equal(int64(10)))
	released.BeginSequence = 3
	f.must(f.begin(released))
}

// The new owner dispatches a request to the same upstream as the previous owner and is
// refused there. The run of the previous owner may still be in progress.
func TestNotRunOfNewOwnerKeepsEarlierDispatches(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("draft", true)
	f.endSession(hostA)
	takeover := f.beginRequest("draft", hostB, 10)
	f.must(f.begin(takeover))
	f.must(f.execute(&controlapi.Command{Dispatch: &controlapi.DispatchRequest{
		RequestID: takeover.RequestID, Attempt: 2, Upstream: "u2", NotRun: []controlapi.Instance{{Upstream: "upstream-draft"}},
	}}))
	f.Expect(f.must(f.begin(takeover)).Begin.MayHaveRun).To(BeTrue())
}

func TestCommandOfOtherSessionStale(t *testing.T) {
	f := newFixture(t, 100)
	f.beginDispatched("k", true)
	id := controlapi.RequestIDFor("crier", "k")
	f.expectRefused(f.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: id, Attempt: 1, Session: hostB}}), errkind.StaleAttempt)
	f.must(f.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: id, Attempt: 1, Session: hostA}}))
}

func TestClosedRecordsExpire(t *testing.T) {
	f := newFixture(t, 100)
	f.must(f.begin(f.beginRequest("draft", hostA, 1)))
	f.must(f.settle("draft", 1, 1))
	f.beginDispatched("booking", false)
	f.must(f.settle("booking", 1, 1))
	unkeyed := f.beginRequest("unkeyed", hostA, 1)
	unkeyed.Unkeyed = true
	f.must(f.begin(unkeyed))
	f.must(f.settle("unkeyed", 1, 1))

	states := func() [3]string {
		return [3]string{f.requestState("unkeyed"), f.requestState("draft"), f.requestState("booking")}
	}
	f.now += request.UnkeyedRetentionMS
	f.must(f.openSession(hostB, 2))
	f.Expect(states()).To(Equal([3]string{"none", "settled", "settled"}))
	f.now += request.RepeatableRetentionMS
	f.must(f.openSession(hostB, 2))
	f.Expect(states()).To(Equal([3]string{"none", "none", "settled"}))
	f.now += request.NonRepeatableRetentionMS
	f.must(f.openSession(hostB, 2))
	f.Expect(states()).To(Equal([3]string{"none", "none", "none"}))
}

func (f *fixture) schemaOf(kind config.Kind, name string) int {
	return f.machine.Query(&controlapi.QueryRequest{Records: kind, Name: name}).Records[0].SchemaVersion
}

func TestSchemaFollowsRollingUpgrade(t *testing.T) {
	f := newFixture(t, 0)
	f.Expect(f.machine.ActiveSchema()).To(Equal(2))
	f.must(f.openSession("old-1", 1))
	f.Expect(f.machine.ActiveSchema()).To(Equal(1))
	f.Expect(f.schemaOf(config.KindClass, "gold")).To(Equal(1))
	f.must(f.configure("by a new host", record(config.KindClass, "silver", `{"worth":5,"deadline_ms":1,"queue_limit":1}`)))
	f.Expect(f.schemaOf(config.KindClass, "silver")).To(Equal(1))

	f.endSession("old-1")
	f.Expect(f.machine.ActiveSchema()).To(Equal(2))
	f.Expect(f.schemaOf(config.KindClass, "silver")).To(Equal(2))
	old := record(config.KindClass, "bronze", `{"priority":1000,"deadline_ms":1,"queue_limit":1}`)
	old.SchemaVersion = 1
	f.must(f.configure("by an old tool", old))
	stored := f.machine.Query(&controlapi.QueryRequest{Records: config.KindClass, Name: "bronze"}).Records[0]
	f.Expect(string(stored.Spec)).To(MatchJSON(`{"worth":1,"deadline_ms":1,"queue_limit":1}`))
}

func TestHostWithUnsupportedSchemaRefused(t *testing.T) {
	f := newFixture(t, 0)
	f.must(f.configure("zones", record(config.KindPolicy, "zoned", `{"organisation":"*","services":["*"],"upstreams":["*"],"zones":["a"]}`)))
	f.expectRefused(f.openSession("old-1", 1), errkind.Conflict)
	f.Expect(f.machine.ActiveSchema()).To(Equal(2))
	f.Expect(f.machine.Sessions()).To(HaveLen(2))
}

func TestHostCatchesUpAfterManyChanges(t *testing.T) {
	f := newFixture(t, 0)
	records, _, initial := f.machine.RecordsAfter(0)
	view := config.NewView(records, initial)
	for i := range 600 {
		r := record(config.KindOrganisation, fmt.Sprintf("o-%d", i%50), `{}`)
		existing := f.machine.Query(&controlapi.QueryRequest{Records: r.Kind, Name: r.Name}).Records
		if len(existing) > 0 {
			r.Revision = existing[0].Revision
			r.Deleted = i%7 == 0
		}
		f.must(f.configure(fmt.Sprint("change ", i), r))
	}
	changed, full, current := f.machine.RecordsAfter(initial)
	f.Expect(full).To(BeFalse())
	f.Expect(current).To(Equal(uint64(601)))
	updated := view.With(changed, current)
	all, _, _ := f.machine.RecordsAfter(0)
	f.Expect(updated).To(Equal(config.NewView(all, current)))

	for i := range 4096 {
		r := record(config.KindOrganisation, fmt.Sprint("n-", i), `{}`)
		f.must(f.configure(fmt.Sprint("more ", i), r))
	}
	changed, full, current = f.machine.RecordsAfter(initial)
	f.Expect(full).To(BeTrue())
	f.Expect(changed).To(Equal(f.machine.Query(&controlapi.QueryRequest{Records: "*"}).Records))
	f.Expect(current).To(Equal(uint64(4697)))
	history := f.machine.Query(&controlapi.QueryRequest{History: true}).History
	f.Expect(len(history)).To(BeNumerically(">=", 1000))
}
