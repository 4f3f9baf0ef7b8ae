package control_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/request"
)

// poisonBody is the body that crashes each upstream that runs it. It is sent under
// several keys; a harmless body has one key.
const poisonBody = "killer"

var upstreamNames = []string{"u1", "u2", "u3", "u4", "u5", "u6"}

// upstreamRun is a request that an upstream runs.
type upstreamRun struct {
	id       string
	attempt  uint32
	body     string
	session  string
	instance controlapi.Instance
}

// simulation simulates the upstreams and hosts that use the control state.
type simulation struct {
	*WithT
	harness      *harness
	incarnations map[string]uint64
	// active holds the runs in progress; crashed holds the runs whose upstream crashed
	// and whose host has not handled the crash yet.
	active, crashed []upstreamRun
	// crashCount is the number of upstream instances that the poison body crashed.
	crashCount int
	requests   int
}

func (sim *simulation) instance(upstream string) controlapi.Instance {
	return controlapi.Instance{Upstream: upstream, Incarnation: sim.incarnations[upstream]}
}

// begin begins a request with the body on an upstream and, if the control state
// allows it, runs it there.
func (sim *simulation) begin(t *rapid.T, body, id string) *controlapi.Result {
	to := sim.instance(drawFrom(t, "upstream", upstreamNames))
	b := &controlapi.BeginRequest{
		RequestID: id, Organisation: "heraut", Caller: "crier", Budget: "main", Service: "s", BodyHash: body, Repeatable: true,
		Session: sim.harness.drawSession(), Upstream: to.Upstream, UpstreamIncarnation: to.Incarnation,
	}
	result := sim.harness.execute(&controlapi.Command{Begin: b})
	if result.Err != nil || result.Begin.Status == controlapi.BeginInProgress || result.Begin.Status == controlapi.BeginSettled {
		return result
	}
	r := upstreamRun{id, result.Begin.Attempt, body, b.Session, to}
	if result.Begin.MayHaveRun {
		sim.dispatch(r)
		return result
	}
	sim.active = append(sim.active, r)
	return result
}

func (sim *simulation) dispatch(r upstreamRun) {
	d := &controlapi.DispatchRequest{RequestID: r.id, Attempt: r.attempt, Upstream: r.instance.Upstream, UpstreamIncarnation: r.instance.Incarnation}
	result := sim.harness.execute(&controlapi.Command{Dispatch: d})
	if result.Err == nil {
		sim.active = append(sim.active, r)
		return
	}
	sim.Expect(result.Err.Kind == errkind.Quarantined && r.body != poisonBody).To(BeFalse(), "a harmless body is quarantined")
	sim.releaseRun(r)
}

func (sim *simulation) sendPoison(t *rapid.T) {
	sim.requests++
	sim.begin(t, poisonBody, fmt.Sprint("killer-", sim.requests%8))
}

func (sim *simulation) sendHarmless(t *rapid.T) {
	sim.requests++
	id := fmt.Sprint("innocent-", sim.requests)
	result := sim.begin(t, id, id)
	sim.Expect(result.Err == nil || result.Err.Kind == errkind.SessionExpired).To(BeTrue(), "a new harmless request is accepted")
}

// crashUpstream crashes and restarts an upstream that runs the poison body.
func (sim *simulation) crashUpstream(*rapid.T) {
	i := slices.IndexFunc(sim.active, func(r upstreamRun) bool { return r.body == poisonBody })
	if i < 0 {
		return
	}
	target := sim.active[i].instance
	sim.crashCount++
	sim.incarnations[target.Upstream]++
	for _, r := range sim.active {
		if r.instance == target {
			sim.crashed = append(sim.crashed, r)
		}
	}
	sim.active = slices.DeleteFunc(sim.active, func(r upstreamRun) bool { return r.instance == target })
}

// handleCrash lets the host of a crashed run report the crash and then dispatch the
// request to another upstream or release it. Some hosts do not recognise the crash
// caused by the poison body.
func (sim *simulation) handleCrash(t *rapid.T) {
	if len(sim.crashed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.crashed)-1).Draw(t, "lost")
	r := sim.crashed[i]
	sim.crashed = slices.Delete(sim.crashed, i, i+1)
	if r.body != poisonBody || rapid.Bool().Draw(t, "seen") {
		sim.harness.execute(&controlapi.Command{Crash: &controlapi.CrashReport{
			Upstream: r.instance.Upstream, UpstreamIncarnation: r.instance.Incarnation, BodyHashes: []string{r.body},
		}})
	}
	if rapid.Bool().Draw(t, "give up") {
		sim.releaseRun(r)
		return
	}
	r.instance = sim.instance(drawFrom(t, "upstream", upstreamNames))
	sim.dispatch(r)
}

func (sim *simulation) releaseRun(r upstreamRun) {
	sim.harness.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{RequestID: r.id, Attempt: r.attempt, MayHaveRun: true}})
}

// disconnectCaller settles a run whose caller disconnected. The upstream continues the run.
func (sim *simulation) disconnectCaller(t *rapid.T) {
	if len(sim.active) == 0 {
		return
	}
	r := sim.active[rapid.IntRange(0, len(sim.active)-1).Draw(t, "run")]
	sim.harness.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: r.id, Attempt: r.attempt, Partial: true}})
}

// finishRun completes a harmless run.
func (sim *simulation) finishRun(*rapid.T) {
	i := slices.IndexFunc(sim.active, func(r upstreamRun) bool { return r.body != poisonBody })
	if i < 0 {
		return
	}
	r := sim.active[i]
	sim.active = slices.Delete(sim.active, i, i+1)
	sim.harness.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: r.id, Attempt: r.attempt}})
}

// endSession terminates a host. Its upstreams continue their runs.
func (sim *simulation) endSession(*rapid.T) {
	sim.harness.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: sim.harness.drawSession()}})
	sim.harness.openSession()
}

// advanceTime advances the time. In total it stays below UnconfirmedRunMS, after which
// a run without an observed end would no longer count as exposure.
func (sim *simulation) advanceTime(t *rapid.T) {
	step := rapid.SampledFrom([]int64{1000, request.OrphanTimeoutMS}).Draw(t, "ms")
	if sim.harness.nowMS+step < containment.UnconfirmedRunMS {
		sim.harness.nowMS += step
	}
}

func TestPoisonBodyCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{WithT: NewWithT(t), harness: newHarness(t), incarnations: make(map[string]uint64)}
		steps := []func(*rapid.T){
			sim.sendPoison, sim.sendPoison, sim.sendPoison, sim.sendHarmless, sim.crashUpstream, sim.handleCrash, sim.handleCrash, sim.disconnectCaller, sim.finishRun,
			sim.endSession, sim.advanceTime, sim.harness.restoreSnapshot,
		}
		for range rapid.IntRange(20, maxHarnessSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			exposed := map[controlapi.Instance]bool{}
			for _, r := range sim.active {
				if r.body == poisonBody {
					exposed[r.instance] = true
				}
			}
			sim.Expect(sim.crashCount+len(exposed)).To(BeNumerically("<=", containment.MaxLostUpstreams), "crashed %d, exposed %v", sim.crashCount, slices.Collect(maps.Keys(exposed)))
		}
	})
}
