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
	budgetNames = []string{"main", "spare"}
	keys        = []string{"k1", "k2", "k3", "k4"}
)

// repeatableKeys are the keys of requests that may be repeated.
var repeatableKeys = map[string]bool{"k1": true, "k2": true}

func drawFrom(t *rapid.T, label string, from []string) string {
	return rapid.SampledFrom(from).Draw(t, label)
}

func requestID(key string) string { return controlapi.RequestIDFor("crier", key) }

// trial runs equal commands through a machine, a machine that is replaced by
// its own snapshot from time to time, and the naive ledger.
type trial struct {
	*WithT
	t        *rapid.T
	machine  *control.Machine
	restored *control.Machine
	naive    *naiveLedger
	sessions []string
	// unchecked leaves the naive ledger out.
	unchecked bool
	startMS   int64
	nowMS     int64
}

func newTrial(t *rapid.T) *trial {
	repeatable := make(map[string]bool)
	for key := range repeatableKeys {
		repeatable[requestID(key)] = true
	}
	tr := &trial{
		WithT: NewWithT(t), t: t, machine: control.NewMachine(), restored: control.NewMachine(),
		naive: &naiveLedger{repeatable: func(id string) bool { return repeatable[id] }}, startMS: 1, nowMS: 1,
	}
	for range 3 {
		tr.openSession()
	}
	writes := []controlapi.ConfigWrite{{Record: record(config.KindOrganisation, "heraut", `{}`)}}
	for _, b := range budgetNames {
		writes = append(writes, controlapi.ConfigWrite{Record: record(config.KindBudget, b, `{"organisation":"heraut"}`)})
	}
	tr.execute(&controlapi.Command{Configure: &controlapi.ConfigureRequest{OperationID: "setup", Writes: writes}})
	return tr
}

func (tr *trial) openSession() {
	s := fmt.Sprint("s", len(tr.sessions))
	tr.sessions = append(tr.sessions, s)
	tr.execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{Session: s, SchemaMin: 1, SchemaMax: 2}})
}

// session draws one of the latest sessions.
func (tr *trial) session() string {
	return drawFrom(tr.t, "session", tr.sessions[max(0, len(tr.sessions)-4):])
}

// execute runs cmd on both machines and checks that they stay alike and sound.
func (tr *trial) execute(cmd *controlapi.Command) *controlapi.Result {
	cmd.TimeMS = tr.nowMS
	result := tr.machine.Execute(cmd)
	tr.Expect(tr.restored.Execute(cmd)).To(Equal(result))
	tr.Expect(tr.machine.CheckInvariants()).To(Succeed())
	return result
}

// compare checks the machine's result and budgets against those of the naive ledger.
func (tr *trial) compare(cmd *controlapi.Command, want func() outcome) {
	if tr.unchecked {
		tr.execute(cmd)
		return
	}
	tr.naive.advance(tr.nowMS)
	wanted := want()
	tr.Expect(outcomeOf(tr.execute(cmd))).To(Equal(wanted))
	for _, b := range tr.machine.Query(&controlapi.QueryRequest{Budgets: true}).Budgets {
		tr.Expect([4]int64{b.PaidIn, b.Charged, b.Reserved, b.Granted}).To(Equal(tr.naive.budget(b.Budget)), b.Budget)
	}
}

func (tr *trial) begin(t *rapid.T) {
	key := drawFrom(t, "key", keys)
	b := &controlapi.BeginRequest{
		RequestID: requestID(key), Organisation: "heraut", Caller: "crier", Budget: drawFrom(t, "budget", budgetNames),
		Service: "s", BodyHash: key + drawFrom(t, "body", []string{"", "", "", "-other"}), Repeatable: repeatableKeys[key],
		Tokens: rapid.Int64Range(0, 60).Draw(t, "tokens"), Session: tr.session(),
		BeginSequence: rapid.Uint64Range(0, 1).Draw(t, "try"), Takeover: rapid.Bool().Draw(t, "takeover"),
		Upstream: drawFrom(t, "upstream", []string{"", "u1", "u2"}), Supersedes: rapid.Uint32Range(0, 3).Draw(t, "supersedes"),
	}
	tr.compare(&controlapi.Command{Begin: b}, func() outcome { return tr.naive.begin(b) })
}

// attempt draws a request and its present attempt, or sometimes another one.
func (tr *trial) attempt() (id string, attempt uint32) {
	id = requestID(drawFrom(tr.t, "key", keys))
	present := tr.naive.story(id).attempt
	return id, max(1, present+rapid.SampledFrom([]uint32{0, 0, 0, 0, 1, ^uint32(0)}).Draw(tr.t, "other attempt"))
}

func (tr *trial) dispatch(t *rapid.T) {
	d := &controlapi.DispatchRequest{Upstream: drawFrom(t, "upstream", []string{"u1", "u2"}), EarlierNotRun: rapid.Bool().Draw(t, "not run")}
	d.RequestID, d.Attempt = tr.attempt()
	tr.compare(&controlapi.Command{Dispatch: d}, func() outcome { return tr.naive.dispatch(d) })
}

func (tr *trial) settle(t *rapid.T) {
	s := &controlapi.SettleRequest{Tokens: rapid.Int64Range(0, 70).Draw(t, "tokens"), Unknown: rapid.IntRange(0, 3).Draw(t, "unknown") == 0}
	s.RequestID, s.Attempt = tr.attempt()
	tr.compare(&controlapi.Command{Settle: s}, func() outcome { return tr.naive.settle(s) })
}

func (tr *trial) release(t *rapid.T) {
	r := &controlapi.ReleaseRequest{MayHaveRun: rapid.Bool().Draw(t, "may have run")}
	r.RequestID, r.Attempt = tr.attempt()
	tr.compare(&controlapi.Command{Release: r}, func() outcome { return tr.naive.release(r) })
}

func (tr *trial) endSession(t *rapid.T) {
	e := &controlapi.EndSession{Session: tr.session()}
	tr.compare(&controlapi.Command{EndSession: e}, func() outcome {
		tr.naive.end(e.Session)
		return outcome{}
	})
	tr.openSession()
}

func (tr *trial) topUp(t *rapid.T) {
	p := &controlapi.TopUpRequest{
		OperationID: fmt.Sprint("pay-", tr.nowMS, "-", len(tr.naive.facts)), Budget: drawFrom(t, "budget", budgetNames),
		Tokens: rapid.Int64Range(1, 100).Draw(t, "tokens"),
	}
	for range rapid.IntRange(1, 2).Draw(t, "sends") {
		tr.execute(&controlapi.Command{TopUp: p})
	}
	tr.naive.advance(tr.nowMS)
	tr.naive.add(fact{what: "paid", budget: p.Budget, tokens: p.Tokens})
}

func (tr *trial) grant(t *rapid.T) {
	g := &controlapi.GrantRequest{
		Session: tr.session(), Budget: drawFrom(t, "budget", budgetNames), Total: rapid.Int64Range(1, 80).Draw(t, "total"),
	}
	tr.compare(&controlapi.Command{Grant: g}, func() outcome { return tr.naive.grant(g) })
}

func (tr *trial) returnGrant(t *rapid.T) {
	g := &controlapi.ReturnGrantRequest{Session: tr.session(), Budget: drawFrom(t, "budget", budgetNames)}
	rest := tr.naive.of("returned", g.Session, g.Budget) + tr.naive.outstanding(g.Session, g.Budget)
	g.Total = rapid.SampledFrom([]int64{rest, rest, rest / 2, rest + 1}).Draw(t, "total")
	tr.compare(&controlapi.Command{ReturnGrant: g}, func() outcome { return tr.naive.returnGrant(g) })
}

func (tr *trial) merge(t *rapid.T) {
	key := drawFrom(t, "key", []string{"k1", "k2"})
	session := tr.session()
	e := controlapi.JournalEntry{
		Sequence: tr.naive.merged(session) + rapid.Uint64Range(0, 2).Draw(t, "ahead"), RequestID: requestID(key), Organisation: "heraut", Caller: "crier",
		Budget: drawFrom(t, "budget", budgetNames), Service: "s", BodyHash: key, Tokens: rapid.Int64Range(0, 90).Draw(t, "tokens"),
	}
	j := &controlapi.MergeJournalRequest{Session: session, Entries: []controlapi.JournalEntry{e}}
	tr.compare(&controlapi.Command{MergeJournal: j}, func() outcome { return tr.naive.merge(j) })
}

// wait lets time pass, but not as much as the retention of the records, which
// the naive ledger does not know.
func (tr *trial) wait(t *rapid.T) {
	step := rapid.SampledFrom([]int64{1, 1_000, request.OrphanTimeoutMS}).Draw(t, "ms")
	if tr.nowMS+step < tr.startMS+request.RepeatableRetentionMS {
		tr.nowMS += step
	}
}

// restore replaces one machine by its snapshot, and checks that the other has the same.
func (tr *trial) restore(*rapid.T) {
	data, err := tr.restored.Snapshot()
	tr.Expect(err).NotTo(HaveOccurred())
	other, err := tr.machine.Snapshot()
	tr.Expect(err).NotTo(HaveOccurred())
	tr.Expect(bytes.Equal(data, other)).To(BeTrue(), "snapshots differ")
	tr.restored = control.NewMachine()
	tr.Expect(tr.restored.Restore(data)).To(Succeed())
}

// retentionSteps are waits up to the longest retention.
var retentionSteps = []int64{1000, request.OrphanTimeoutMS, request.RepeatableRetentionMS, request.NonRepeatableRetentionMS}

// TestMachineAndItsSnapshotStayAlikeOverAllRetentions draws what the naive
// ledger does not know: crashes, and waits after which records are dropped.
func TestMachineAndItsSnapshotStayAlikeOverAllRetentions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		tr.unchecked = true
		steps := []func(*rapid.T){
			tr.begin, tr.begin, tr.begin, tr.dispatch, tr.settle, tr.settle, tr.release, tr.endSession, tr.topUp, tr.topUp,
			tr.grant, tr.returnGrant, tr.merge, tr.restore,
			func(t *rapid.T) { tr.nowMS += rapid.SampledFrom(retentionSteps).Draw(t, "ms") },
			func(t *rapid.T) {
				tr.execute(&controlapi.Command{Crash: &controlapi.CrashReport{Upstream: drawFrom(t, "upstream", []string{"u1", "u2"})}})
			},
		}
		for range rapid.IntRange(20, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
		}
		tr.restore(t)
	})
}

// maxSteps bounds the commands of one trial.
const maxSteps = 150

func TestLedgerAgreesWithAPlainListOfFacts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTrial(t)
		steps := []func(*rapid.T){
			tr.begin, tr.begin, tr.begin, tr.begin, tr.dispatch, tr.dispatch, tr.settle, tr.release,
			tr.endSession, tr.topUp, tr.topUp, tr.grant, tr.returnGrant, tr.merge, tr.merge, tr.wait, tr.restore,
		}
		for range rapid.IntRange(20, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
		}
	})
}
