package gateway

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// substituteAfter is the time without an acknowledgement after which another upstream is looked for, before the connection fails.
	substituteAfter = upstreamhttp.UnackedTimeout - 400*time.Millisecond
	// minSilenceCheck is the shortest time between two looks at a connection, and noSubstitutePause that until another search.
	minSilenceCheck   = 100 * time.Millisecond
	noSubstitutePause = time.Second
)

// substitute is an upstream at which a stream goes on whose own one acknowledges nothing. The retry is counted.
type substitute struct {
	target  *placement.Assignment
	retryAt time.Time
}

// release gives up a substitute that is not used.
func (s *substitute) release(h *Handler, service string) {
	h.Pool.Observe(s.target, placement.Abandoned, time.Now())
	h.Pool.Release(s.target)
	h.Retries.ReturnRetry(service, s.retryAt)
}

// silenceWatch looks whether the upstream of a resumable stream acknowledges nothing. The stream then goes on at another upstream or, if
// none may take it, waits.
type silenceWatch struct {
	attempt *attempt
	answer  *upstreamhttp.Answer
	// version is the software version that began the stream.
	version string
	ctx     context.Context
	cancel  context.CancelFunc

	// mu is held while the watch looks, as it reads what the request changes afterwards.
	mu    sync.Mutex
	timer *time.Timer
}

// watchSilence watches the upstream of a stream until the watch is stopped. It returns nil if the stream can't go on elsewhere.
func (a *attempt) watchSilence(answer *upstreamhttp.Answer) *silenceWatch {
	if !a.route.Repeatable() || a.attempts >= a.route.MaxAttempts || a.waitsForPlace() {
		return nil
	}
	ctx, cancel := context.WithCancel(a.ctx)
	w := &silenceWatch{attempt: a, answer: answer, version: a.streamVersion, ctx: ctx, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(substituteAfter, w.look)
	return w
}

// stop ends the watch, which may be nil.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

func (w *silenceWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil || w.looksLater() {
		return
	}
	w.answer.KeepOpen() // the search may take longer than the connection lasts
	s := w.findSubstitute()
	switch {
	case s == nil:
		w.timer.Reset(noSubstitutePause)
	case w.ctx.Err() != nil || w.looksLater():
		s.release(w.attempt.handler, w.attempt.serviceName)
	default:
		w.attempt.substitute.Store(s)
		w.answer.Abort()
	}
}

// looksLater reports whether the upstream has acknowledged something lately. The watch looks again then.
func (w *silenceWatch) looksLater() bool {
	silent := w.answer.Unacknowledged()
	if silent >= substituteAfter {
		return false
	}
	w.timer.Reset(max(substituteAfter-silent, minSilenceCheck))
	return true
}

// findSubstitute returns an upstream that may go on with the stream, or nil.
func (w *silenceWatch) findSubstitute() *substitute {
	a := w.attempt
	h := a.handler
	h.Sync.AwaitCurrentTable(w.ctx) // the choice fails if it does not become current
	now := time.Now()
	if w.ctx.Err() != nil || !h.Retries.AllowRetry(a.serviceName, a.view.Hosts, now) {
		return nil
	}
	target, refused := h.Pool.Choose(a.placementRequestFor(a.serviceName, true, w.version), now)
	if refused != nil {
		h.Retries.ReturnRetry(a.serviceName, now)
		return nil
	}
	klog.InfoS("upstream of a stream acknowledges nothing: going on at another", telemetry.FieldRequestID, a.ID, "route", a.route.Name,
		"upstream", a.target.ID, "target", target.ID)
	return &substitute{target: target, retryAt: now}
}

// releaseSubstitute gives up the substitute that was found for the request, if it is not used.
func (q *request) releaseSubstitute() {
	if s := q.substitute.Swap(nil); s != nil {
		s.release(q.handler, q.serviceName)
	}
}
