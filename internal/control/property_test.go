package control_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/request"
)

var (
	budgetNames     = []string{"main", "spare"}
	idempotencyKeys = []string{"k1", "k2", "k3", "k4"}
)

// repeatableKeys holds the idempotency keys of repeatable requests.
var repeatableKeys = map[string]bool{"k1": true, "k2": true}

func drawFrom(t *rapid.T, label string, from []string) string {
	return rapid.SampledFrom(from).Draw(t, label)
}

func requestID(key string) string { return controlapi.RequestIDFor("crier", key) }

// harness executes the same commands on a machine, on a second machine that is
// repeatedly restored from its own snapshot, and on the ledger model.
type harness struct {
	*WithT
	t        *rapid.T
	machine  *control.Machine
	restored *control.Machine
	model    *ledgerModel
	sessions []string
	// skipModel disables the comparison with the ledger model.
	skipModel bool
	startMS   int64
	nowMS     int64
}

func newHarness(t *rapid.T) *harness {
	repeatable := make(map[string]bool)
	for key := range repeatableKeys {
		repeatable[requestID(key)] = true
	}
	h := &harness{
		WithT: NewWithT(t), t: t, machine: control.NewMachine(), restored: control.NewMachine(),
		model: &ledgerModel{repeatable: func(id string) bool { return repeatable[id] }}, startMS: 1, nowMS: 1,
	}
	for range 3 {
		h.openSession()
	}
	writes := []controlapi.ConfigWrite{{Record: record(config.KindOrganisation, "heraut", `{}`)}}
	for _, b := range budgetNames {
		writes = append(writes, controlapi.ConfigWrite{Record: record(config.KindBudget, b, `{"organisation":"heraut"}`)})
	}
	h.execute(&controlapi.Command{Configure: &controlapi.ConfigureRequest{OperationID: "setup", Writes: writes}})
	return h
}

func (h *harness) openSession() {
	s := fmt.Sprint("s", len(h.sessions))
	h.sessions = append(h.sessions, s)
	h.execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{Session: s, SchemaMin: 1, SchemaMax: 2}})
}

// drawSession draws one of the four most recent sessions.
func (h *harness) drawSession() string {
	return drawFrom(h.t, "session", h.sessions[max(0, len(h.sessions)-4):])
}

// execute executes cmd on both machines, compares the results and checks the invariants.
func (h *harness) execute(cmd *controlapi.Command) *controlapi.Result {
	cmd.TimeMS = h.nowMS
	result := h.machine.Execute(cmd)
	h.Expect(h.restored.Execute(cmd)).To(Equal(result))
	h.Expect(h.machine.CheckInvariants()).To(Succeed())
	return result
}

// executeAndCompare executes cmd and compares the result and the budgets with the model.
func (h *harness) executeAndCompare(cmd *controlapi.Command, want func() response) {
	if h.skipModel {
		h.execute(cmd)
		return
	}
	h.model.advanceTime(h.nowMS)
	wanted := want()
	h.Expect(responseOf(h.execute(cmd))).To(Equal(wanted))
	for _, b := range h.machine.Query(&controlapi.QueryRequest{Budgets: true}).Budgets {
		h.Expect([4]int64{b.PaidIn, b.Charged, b.Reserved, b.Granted}).To(Equal(h.model.balances(b.Budget)), b.Budget)
	}
}

func (h *harness) begin(t *rapid.T) {
	key := drawFrom(t, "key", idempotencyKeys)
	b := &controlapi.BeginRequest{
		RequestID: requestID(key), Organisation: "heraut", Caller: "crier", Budget: drawFrom(t, "budget", budgetNames),
		Service: "s", BodyHash: key + drawFrom(t, "body", []string{"", "", "", "-other"}), Repeatable: repeatableKeys[key],
		Tokens: rapid.Int64Range(0, 60).Draw(t, "tokens"), Session: h.drawSession(),
		BeginSequence: rapid.Uint64Range(0, 1).Draw(t, "try"), Takeover: rapid.Bool().Draw(t, "takeover"),
		Upstream: drawFrom(t, "upstream", []string{"", "u1", "u2"}), Supersedes: rapid.Uint32Range(0, 3).Draw(t, "supersedes"),
	}
	h.executeAndCompare(&controlapi.Command{Begin: b}, func() response { return h.model.begin(b) })
}

// drawAttempt draws a request and its current attempt, or sometimes an adjacent one.
func (h *harness) drawAttempt() (id string, attempt uint32) {
	id = requestID(drawFrom(h.t, "key", idempotencyKeys))
	current := h.model.summarize(id).attempt
	return id, max(1, current+rapid.SampledFrom([]uint32{0, 0, 0, 0, 1, ^uint32(0)}).Draw(h.t, "other attempt"))
}

func (h *harness) dispatch(t *rapid.T) {
	d := &controlapi.DispatchRequest{Upstream: drawFrom(t, "upstream", []string{"u1", "u2"}), EarlierNotRun: rapid.Bool().Draw(t, "not run")}
	d.RequestID, d.Attempt = h.drawAttempt()
	h.executeAndCompare(&controlapi.Command{Dispatch: d}, func() response { return h.model.dispatch(d) })
}

func (h *harness) settle(t *rapid.T) {
	s := &controlapi.SettleRequest{Tokens: rapid.Int64Range(0, 70).Draw(t, "tokens"), Unknown: rapid.IntRange(0, 3).Draw(t, "unknown") == 0}
	s.RequestID, s.Attempt = h.drawAttempt()
	h.executeAndCompare(&controlapi.Command{Settle: s}, func() response { return h.model.settle(s) })
}

func (h *harness) release(t *rapid.T) {
	r := &controlapi.ReleaseRequest{MayHaveRun: rapid.Bool().Draw(t, "may have run")}
	r.RequestID, r.Attempt = h.drawAttempt()
	h.executeAndCompare(&controlapi.Command{Release: r}, func() response { return h.model.release(r) })
}

func (h *harness) endSession(t *rapid.T) {
	e := &controlapi.EndSession{Session: h.drawSession()}
	h.executeAndCompare(&controlapi.Command{EndSession: e}, func() response {
		h.model.endSession(e.Session)
		return response{}
	})
	h.openSession()
}

func (h *harness) topUp(t *rapid.T) {
	p := &controlapi.TopUpRequest{
		OperationID: fmt.Sprint("pay-", h.nowMS, "-", len(h.model.events)), Budget: drawFrom(t, "budget", budgetNames),
		Tokens: rapid.Int64Range(1, 100).Draw(t, "tokens"),
	}
	for range rapid.IntRange(1, 2).Draw(t, "sends") {
		h.execute(&controlapi.Command{TopUp: p})
	}
	h.model.advanceTime(h.nowMS)
	h.model.add(event{kind: "paid", budget: p.Budget, tokens: p.Tokens})
}

func (h *harness) grant(t *rapid.T) {
	g := &controlapi.GrantRequest{
		Session: h.drawSession(), Budget: drawFrom(t, "budget", budgetNames), Total: rapid.Int64Range(1, 80).Draw(t, "total"),
	}
	h.executeAndCompare(&controlapi.Command{Grant: g}, func() response { return h.model.grant(g) })
}

func (h *harness) returnGrant(t *rapid.T) {
	g := &controlapi.ReturnGrantRequest{Session: h.drawSession(), Budget: drawFrom(t, "budget", budgetNames)}
	rest := h.model.total("returned", g.Session, g.Budget) + h.model.outstanding(g.Session, g.Budget)
	g.Total = rapid.SampledFrom([]int64{rest, rest, rest / 2, rest + 1}).Draw(t, "total")
	h.executeAndCompare(&controlapi.Command{ReturnGrant: g}, func() response { return h.model.returnGrant(g) })
}

func (h *harness) merge(t *rapid.T) {
	key := drawFrom(t, "key", []string{"k1", "k2"})
	session := h.drawSession()
	e := controlapi.JournalEntry{
		Sequence: h.model.lastMerged(session) + rapid.Uint64Range(0, 2).Draw(t, "ahead"), RequestID: requestID(key), Organisation: "heraut", Caller: "crier",
		Budget: drawFrom(t, "budget", budgetNames), Service: "s", BodyHash: key, Tokens: rapid.Int64Range(0, 90).Draw(t, "tokens"),
	}
	j := &controlapi.MergeJournalRequest{Session: session, Entries: []controlapi.JournalEntry{e}}
	h.executeAndCompare(&controlapi.Command{MergeJournal: j}, func() response { return h.model.merge(j) })
}

// advanceTime advances the time. In total it stays below the retention of request
// records, which the ledger model does not have.
func (h *harness) advanceTime(t *rapid.T) {
	step := rapid.SampledFrom([]int64{1, 1_000, request.OrphanTimeoutMS}).Draw(t, "ms")
	if h.nowMS+step < h.startMS+request.RepeatableRetentionMS {
		h.nowMS += step
	}
}

// restoreSnapshot restores one machine from its snapshot and checks that the snapshot
// of the other machine is equal.
func (h *harness) restoreSnapshot(*rapid.T) {
	data, err := h.restored.Snapshot()
	h.Expect(err).NotTo(HaveOccurred())
	other, err := h.machine.Snapshot()
	h.Expect(err).NotTo(HaveOccurred())
	h.Expect(bytes.Equal(data, other)).To(BeTrue(), "snapshots differ")
	h.restored = control.NewMachine()
	h.Expect(h.restored.Restore(data)).To(Succeed())
}

// retentionWaitsMS are waiting times up to the longest retention.
var retentionWaitsMS = []int64{1000, request.OrphanTimeoutMS, request.RepeatableRetentionMS, request.NonRepeatableRetentionMS}

// TestRestoredMachineMatchesOriginal covers what the ledger model lacks: crashes, and
// waits after which records expire.
func TestRestoredMachineMatchesOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.skipModel = true
		steps := []func(*rapid.T){
			h.begin, h.begin, h.begin, h.dispatch, h.settle, h.settle, h.release, h.endSession, h.topUp, h.topUp,
			h.grant, h.returnGrant, h.merge, h.restoreSnapshot,
			func(t *rapid.T) { h.nowMS += rapid.SampledFrom(retentionWaitsMS).Draw(t, "ms") },
			func(t *rapid.T) {
				h.execute(&controlapi.Command{Crash: &controlapi.CrashReport{Upstream: drawFrom(t, "upstream", []string{"u1", "u2"})}})
			},
		}
		for range rapid.IntRange(20, maxHarnessSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
		}
		h.restoreSnapshot(t)
	})
}

// maxHarnessSteps is the maximum number of steps of a property test case.
const maxHarnessSteps = 150

func TestMachineMatchesLedgerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		steps := []func(*rapid.T){
			h.begin, h.begin, h.begin, h.begin, h.dispatch, h.dispatch, h.settle, h.release,
			h.endSession, h.topUp, h.topUp, h.grant, h.returnGrant, h.merge, h.merge, h.advanceTime, h.restoreSnapshot,
		}
		for range rapid.IntRange(20, maxHarnessSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
		}
	})
}
