package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// goOnElsewhere sends the request to where its run goes on, and returns the last attempt and its result. No other run is begun.
func (a *attempt) goOnElsewhere(w http.ResponseWriter) (*attempt, attemptResult) {
	m := a.move
	defer a.releasePlace(resultMoved)
	runCopy := &RunCopy{Source: a.target.Address, Handle: m.handle}
	next := &attempt{request: a.request, target: m.target, runCopy: runCopy, continued: a}
	if m.place == runmove.AtTarget {
		sent := a.attempts
		result := next.run(w)
		if result != resultNotRun {
			return next, result
		}
		next.releasePlace(result)
		if a.attempts == sent {
			m.noteNotSent()
		}
		klog.InfoS("run not continued at its target", append(a.logFields(), "target", m.target.ID)...)
	} else {
		next.reportOutcome(placement.Abandoned)
		next.releasePlace(resultNotRun)
	}
	if a.allowRetryOrBorrow() {
		a.released = true // next has its place
		next = &attempt{request: a.request, target: a.target, runCopy: runCopy}
		if result := next.run(w); result != resultNotRun {
			return next, result
		}
	}
	go a.handler.releaseCopy(runCopy.Source, runCopy.Handle)
	next.endedBy = endedByUpstream
	next.noteContextEnd()
	return next, resultStreamInterrupted
}

// allowRetryOrBorrow reports whether this host's share of the retry budget, or what other hosts have left, has room for a retry.
func (a *attempt) allowRetryOrBorrow() bool {
	if a.handler.Retries.AllowRetry(a.serviceName, a.view.Hosts, time.Now()) {
		return true
	}
	_, allowed := a.handler.Sync.BorrowRetry(a.ctx, a.serviceName)
	return allowed
}

// releaseContinued frees the place of the attempt with whose run this one goes on.
func (a *attempt) releaseContinued() {
	if a.continued != nil {
		a.continued.releasePlace(resultMoved)
	}
}

// releaseCopy frees a copy at the upstream that made it. Upstreams free those that are not used after a time.
func (h *Handler) releaseCopy(address, handle string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	answer, err := h.upstreams.Do(ctx, address, func() *upstreamhttp.Request { return h.Dialect.EncodeCopyRelease(handle) })
	if err != nil {
		klog.InfoS("copy of a run not freed", "address", address, "handle", handle, "error", err.Error())
		return
	}
	answer.Close()
}
