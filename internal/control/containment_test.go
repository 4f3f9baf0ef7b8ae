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

// The killer's body crashes each upstream that runs it. An innocent body has
// one key; the killer comes under many.
const killer = "killer"

var upstreamNames = []string{"u1", "u2", "u3", "u4", "u5", "u6"}

// run is a request that an upstream truly runs.
type run struct {
	id      string
	attempt uint32
	body    string
	session string
	at      controlapi.Instance
}

// world is the ground truth of upstreams and hosts around the control state.
type world struct {
	*WithT
	trial        *trial
	incarnations map[string]uint64
	// runs are what upstreams run now; lost are runs whose upstream crashed and
	// whose host has not reacted yet.
	runs, lost []run
	// killed are the upstreams lost to the killer.
	killed   int
	requests int
}

func (w *world) instance(upstream string) controlapi.Instance {
	return controlapi.Instance{Upstream: upstream, Incarnation: w.incarnations[upstream]}
}

// send begins a request of the body on an upstream and, if the control state
// lets it, runs it there.
func (w *world) send(t *rapid.T, body, id string) *controlapi.Result {
	to := w.instance(drawFrom(t, "upstream", upstreamNames))
	b := &controlapi.BeginRequest{
		RequestID: id, Organisation: "heraut", Caller: "crier", Budget: "main", Service: "s", BodyHash: body, Repeatable: true,
		Session: w.trial.session(), Upstream: to.Upstream, UpstreamIncarnation: to.Incarnation,
	}
	result := w.trial.execute(&controlapi.Command{Begin: b})
	if result.Err != nil || result.Begin.Status == controlapi.BeginInProgress || result.Begin.Status == controlapi.BeginSettled {
		return result
	}
	r := run{id, result.Begin.Attempt, body, b.Session, to}
	if result.Begin.MayHaveRun {
		w.dispatch(r)
		return result
	}
	w.runs = append(w.runs, r)
	return result
}

func (w *world) dispatch(r run) {
	d := &controlapi.DispatchRequest{RequestID: r.id, Attempt: r.attempt, Upstream: r.at.Upstream, UpstreamIncarnation: r.at.Incarnation}
	result := w.trial.execute(&controlapi.Command{Dispatch: d})
	if result.Err == nil {
		w.runs = append(w.runs, r)
		return
	}
	w.Expect(result.Err.Kind == errkind.Quarantined && r.body != killer).To(BeFalse(), "an innocent body is quarantined")
	w.giveUp(r)
}

func (w *world) sendKiller(t *rapid.T) {
	w.requests++
	w.send(t, killer, fmt.Sprint("killer-", w.requests%8))
}

func (w *world) sendInnocent(t *rapid.T) {
	w.requests++
	id := fmt.Sprint("innocent-", w.requests)
	result := w.send(t, id, id)
	w.Expect(result.Err == nil || result.Err.Kind == errkind.SessionExpired).To(BeTrue(), "a new request is served")
}

// crash lets an upstream that runs the killer crash, and start again.
func (w *world) crash(*rapid.T) {
	i := slices.IndexFunc(w.runs, func(r run) bool { return r.body == killer })
	if i < 0 {
		return
	}
	at := w.runs[i].at
	w.killed++
	w.incarnations[at.Upstream]++
	for _, r := range w.runs {
		if r.at == at {
			w.lost = append(w.lost, r)
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return r.at == at })
}

// react lets the host of a lost run report the crash and then try elsewhere or
// give up. Some hosts take the loss of the killer for something else.
func (w *world) react(t *rapid.T) {
	if len(w.lost) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.lost)-1).Draw(t, "lost")
	r := w.lost[i]
	w.lost = slices.Delete(w.lost, i, i+1)
	if r.body != killer || rapid.Bool().Draw(t, "seen") {
		w.trial.execute(&controlapi.Command{Crash: &controlapi.CrashReport{
			Upstream: r.at.Upstream, UpstreamIncarnation: r.at.Incarnation, BodyHashes: []string{r.body},
		}})
	}
	if rapid.Bool().Draw(t, "give up") {
		w.giveUp(r)
		return
	}
	r.at = w.instance(drawFrom(t, "upstream", upstreamNames))
	w.dispatch(r)
}

func (w *world) giveUp(r run) {
	w.trial.execute(&controlapi.Command{Release: &controlapi.ReleaseRequest{RequestID: r.id, Attempt: r.attempt, MayHaveRun: true}})
}

// leave lets the caller of a running request go. The upstream runs on for a while.
func (w *world) leave(t *rapid.T) {
	if len(w.runs) == 0 {
		return
	}
	r := w.runs[rapid.IntRange(0, len(w.runs)-1).Draw(t, "run")]
	w.trial.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: r.id, Attempt: r.attempt, Partial: true}})
}

// finish lets an innocent run come to its end.
func (w *world) finish(*rapid.T) {
	i := slices.IndexFunc(w.runs, func(r run) bool { return r.body != killer })
	if i < 0 {
		return
	}
	r := w.runs[i]
	w.runs = slices.Delete(w.runs, i, i+1)
	w.trial.execute(&controlapi.Command{Settle: &controlapi.SettleRequest{RequestID: r.id, Attempt: r.attempt}})
}

// endSession lets a host die. Its upstreams run on.
func (w *world) endSession(*rapid.T) {
	w.trial.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: w.trial.session()}})
	w.trial.openSession()
}

// wait lets less than the lingering time pass in the whole trial.
func (w *world) wait(t *rapid.T) {
	step := rapid.SampledFrom([]int64{1000, request.OrphanTimeoutMS}).Draw(t, "ms")
	if w.trial.nowMS+step < containment.UnconfirmedRunMS {
		w.trial.nowMS += step
	}
}

func TestNoBodyTakesMoreThanTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{WithT: NewWithT(t), trial: newTrial(t), incarnations: make(map[string]uint64)}
		steps := []func(*rapid.T){
			w.sendKiller, w.sendKiller, w.sendKiller, w.sendInnocent, w.crash, w.react, w.react, w.leave, w.finish,
			w.endSession, w.wait, w.trial.restore,
		}
		for range rapid.IntRange(20, maxSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			exposed := map[controlapi.Instance]bool{}
			for _, r := range w.runs {
				if r.body == killer {
					exposed[r.at] = true
				}
			}
			w.Expect(w.killed+len(exposed)).To(BeNumerically("<=", containment.MaxLostUpstreams), "lost %d, exposed %v", w.killed, slices.Collect(maps.Keys(exposed)))
		}
	})
}
