package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// crashReportTimeout bounds the time for committing a crash report, retries included.
const crashReportTimeout = 5 * time.Second

// incarnationKey identifies one incarnation of an upstream.
type incarnationKey struct {
	upstream    string
	incarnation uint64
}

// crashReporter tracks the request bodies in flight at each upstream incarnation
// and lets each crashed incarnation be reported only once.
type crashReporter struct {
	mu sync.Mutex
	// inFlight holds the body hashes by incarnation and request id.
	inFlight map[incarnationKey]map[string]string
	reports  map[incarnationKey]*crashReport
}

// crashReport is a report being committed; done is closed when the commit has ended.
type crashReport struct {
	done chan struct{}
	// err is set before done is closed if the commit failed.
	err *errkind.Error
}

func newCrashReporter() *crashReporter {
	return &crashReporter{
		inFlight: map[incarnationKey]map[string]string{},
		reports:  map[incarnationKey]*crashReport{},
	}
}

func incarnationKeyOf(t target) incarnationKey { return incarnationKey{t.entry.ID, t.incarnation} }

// track records that a request's body is in flight at t until untrack is called.
func (c *crashReporter) track(t target, requestID, bodyHash string) (untrack func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := incarnationKeyOf(t)
	if c.inFlight[key] == nil {
		c.inFlight[key] = map[string]string{}
	}
	c.inFlight[key][requestID] = bodyHash
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.inFlight[key], requestID)
		if len(c.inFlight[key]) == 0 {
			delete(c.inFlight, key)
			delete(c.reports, key)
		}
	}
}

// claim returns the crash report of t's incarnation. The first claimer gets the
// hashes of the bodies in flight and must commit the report; later claimers get
// no hashes and wait for done.
func (c *crashReporter) claim(t target) (report *crashReport, bodies []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := incarnationKeyOf(t)
	if report, found := c.reports[key]; found {
		return report, nil
	}
	report = &crashReport{done: make(chan struct{})}
	c.reports[key] = report
	seen := map[string]bool{}
	for _, hash := range c.inFlight[key] {
		if !seen[hash] {
			seen[hash] = true
			bodies = append(bodies, hash)
		}
	}
	return report, bodies
}

// reportCrash reports to the control group that the connection to t broke with the
// call in flight, unless the same incarnation still runs or has completed the call;
// one that reports the call as failed may be about to exit. The report is committed
// before any affected call is sent again; a failed commit is returned.
func (x *exchange) reportCrash(t target) *errkind.Error {
	if t.servesRequestState && !t.terminated() {
		state, err := x.h.upstreams.requestState(x.workCtx, http.MethodGet, t.address, x.requestID)
		if err == nil && state.Incarnation == t.incarnation && (state.State == "running" || state.State == "done") {
			return nil
		}
	}
	x.suspect = true
	x.reportTraits(t)
	t.entry.MarkLost(t.incarnation, x.h.Now())
	report, bodies := x.h.crashReporter.claim(t)
	if bodies == nil {
		<-report.done
		return report.err
	}
	defer close(report.done)
	x.h.counters.event("crashes_reported")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), crashReportTimeout)
	defer cancel()
	err := x.commit(ctx, &controlapi.Command{Crash: &controlapi.CrashReport{
		Upstream: t.entry.ID, UpstreamIncarnation: t.incarnation, BodyHashes: bodies,
	}})
	if err != nil {
		report.err = errkind.From(err)
	}
	return report.err
}
