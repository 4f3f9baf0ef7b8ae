package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// crashReportTimeout bounds the tries to commit a crash report.
const crashReportTimeout = 5 * time.Second

// incarnationKey names one incarnation of an upstream.
type incarnationKey struct {
	upstream    string
	incarnation uint64
}

// crashReports knows the bodies in flight at each upstream, and reports each
// lost incarnation once.
type crashReports struct {
	mu       sync.Mutex
	inFlight map[incarnationKey]map[string]string
	reports  map[incarnationKey]*crashReport
}

// crashReport is a report that is being committed; done is closed at its end.
type crashReport struct {
	done chan struct{}
	// err is set before done is closed if the report is not committed.
	err *errkind.Error
}

func newCrashReports() *crashReports {
	return &crashReports{
		inFlight: map[incarnationKey]map[string]string{},
		reports:  map[incarnationKey]*crashReport{},
	}
}

func keyOf(t target) incarnationKey { return incarnationKey{t.entry.ID, t.incarnation} }

// enter notes that a request's body is in flight at t until leave is called.
func (c *crashReports) enter(t target, requestID, bodyHash string) (leave func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyOf(t)
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

// claim returns the report of t's incarnation. The first to ask has to commit
// it, and gets the bodies; the others wait for done.
func (c *crashReports) claim(t target) (report *crashReport, bodies []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keyOf(t)
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

// reportCrash tells the control group that the connection to t broke with the
// call in flight, unless the same incarnation still runs the call or has done
// so: one that only says that the call failed may be about to end. The report is
// committed before any of the calls is sent again; the error is set if it is not.
func (x *exchange) reportCrash(t target) *errkind.Error {
	if t.asks && !t.gone() {
		state, err := x.h.upstreams.ask(x.work, http.MethodGet, t.address, x.requestID)
		if err == nil && state.Incarnation == t.incarnation && (state.State == "running" || state.State == "done") {
			return nil
		}
	}
	x.suspect = true
	t.entry.MarkLost(t.incarnation, x.h.Now())
	report, bodies := x.h.crashes.claim(t)
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
