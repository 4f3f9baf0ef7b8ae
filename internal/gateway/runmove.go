package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

const (
	// runPollInterval is the interval at which a stop looks for silent streams, and maxRunPollDelay how much later it may do so before
	// the process counts as stalled.
	runPollInterval = 50 * time.Millisecond
	maxRunPollDelay = 200 * time.Millisecond
	// copyTimeout bounds the call that copies a run while that goes on. Moves of other runs may go before it.
	copyTimeout = 2 * time.Second
	// maxStopWait bounds the wait for where the run goes on once its stream has ended, if the stream may be resumed in any case.
	maxStopWait = time.Second
	// releaseTimeout bounds the call that frees a copy.
	releaseTimeout = time.Second
	// streamCloseTime is the time in which the stream of a run that has stopped or ended ends.
	streamCloseTime = 100 * time.Millisecond
	// noTargetPause is the time until another search for an upstream with room, and fullTargetPause that after one refused a copy, or
	// lastFullTargetPause if the move can't wait, after each second refusal.
	noTargetPause       = 100 * time.Millisecond
	fullTargetPause     = 500 * time.Millisecond
	lastFullTargetPause = 200 * time.Millisecond
	// refusedPause is the time for which a target that refused a copy is not asked again by a move that can't wait.
	refusedPause = 500 * time.Millisecond
	// unsupportedPause is the time for which an upstream that does not know the calls gets no others.
	unsupportedPause = time.Minute
	// maxRunMoves bounds the moves of a host at a time.
	maxRunMoves = 32
	// maxRunCopies is the number of copies, but for those that were refused, after which a run stays where it is.
	maxRunCopies = 3
	// maxMoveAnswerBytes bounds the body of an answer to a call that moves a run.
	maxMoveAnswerBytes = 4 << 10
)

// Reasons why a silent run is not moved or goes on where it was, as used in metrics and logs besides the names of runmove.Status.
const (
	notMovedNoTarget  = "no_target"
	notMovedFull      = "no_target_with_room"
	notMovedVersion   = "version_unknown"
	notMovedBudget    = "retry_budget"
	notMovedResumed   = "resumed"
	notMovedEnded     = "ended"
	notMovedTargetOut = "target_unavailable"
	notMovedTooLate   = "too_late"
)

// runMove is the move of a run. Its goroutine is another than that of the request.
type runMove struct {
	*movableRun
	ctx         context.Context
	cancel      context.CancelFunc
	began       time.Time
	silentSince time.Time
	// leavesCarrier reports that the run is moved though it goes on, as the host that carries its connection is killed.
	leavesCarrier bool
	// canWait reports that the move leaves a part of the retry budget to those that can't wait.
	canWait bool
	// placementRequest is that for the target, but for the version and the times.
	placementRequest *placement.Request
	// done is closed when it is decided where the run goes on.
	done chan struct{}

	mu sync.Mutex
	// sent reports that the run was asked to stop, left that the stream is no longer read, and taken that the request goes on with the
	// copy. They and the following are guarded by mu.
	sent, left, taken bool
	// place is valid once decided is set.
	decided bool
	place   runmove.Place
	// target and handle are what was reserved for the run; nil and empty once they are released.
	target *placement.Assignment
	handle string
	// retryAt is when the retry budget counted the move; zero if it has not, or no longer does, as the request is not sent to the target.
	// retryLentUntil is until when other hosts lent that retry; zero if it is of this host's share.
	retryAt, retryLentUntil time.Time
}

// run moves the run, and records the outcome.
func (m *runMove) run() {
	defer m.cancel()
	outcome := m.move()
	h := m.attempt.handler
	h.runMoves.mu.Lock()
	h.runMoves.active--
	h.runMoves.mu.Unlock()
	m.mu.Lock()
	stopSent := m.sent
	m.mu.Unlock()
	if !m.noteOutcome(outcome) {
		return
	}
	telemetry.RunMove(h.Scope, outcome).Inc(1)
	klog.InfoS("move of a run ended", append(m.logFields(), "outcome", outcome, "stop_sent", stopSent, "took_ms", time.Since(m.began).Milliseconds())...)
}

// logFields holds nothing that the request changes.
func (m *runMove) logFields() []any {
	a := m.attempt
	return []any{
		telemetry.FieldRequestID, a.ID, "route", a.route.Name, "upstream", a.target.ID,
		"silent_ms", m.began.Sub(m.silentSince).Milliseconds(),
	}
}

// move returns the outcome of the move for metrics and logs.
func (m *runMove) move() string {
	target, reason := m.findTarget()
	if target == nil {
		m.postpone(noTargetPause)
		return reason
	}
	klog.InfoS("copying a silent run", append(m.logFields(), "target", target.ID)...)
	if reason := m.copyRun(target); reason != "" {
		m.decide(runmove.NotStopped)
		if reason == runmove.NoRoom.String() {
			m.noteRefused(target.ID)
			m.postpone(m.pauseAfterRefusal())
			return reason
		}
		if m.copies++; m.copies == maxRunCopies {
			return reason
		}
		switch reason {
		case notMovedResumed, notMovedTargetOut:
			m.postpone(releaseTimeout) // the next copy may have the same name
		case runmove.Unanswered.String(), runmove.Unsent.String(), runmove.InProgress.String():
			m.postponeToLastMoves(releaseTimeout)
		}
		return reason
	}
	// No answer means that the run goes on nowhere, so it is awaited for as long as the stream may last.
	answer := m.call(target.Address, true, time.Until(m.attempt.streamDeadline()))
	m.keepHandle(answer.Handle)
	place := answer.AfterStop()
	m.decide(place)
	if !place.Stopped() {
		return answer.Status.String()
	}
	m.closeStream()
	return place.String()
}

// copyRun copies the run while it goes on. It returns the reason why the run is not to be stopped, or "" if it may be from now on.
func (m *runMove) copyRun(target *placement.Assignment) (reason string) {
	h := m.attempt.handler
	if !m.goesOn() {
		return notMovedEnded
	}
	answer := m.call(target.Address, false, copyTimeout)
	m.keepHandle(answer.Handle)
	if answer.Status == runmove.NoRun {
		time.Sleep(streamCloseTime) // it may have ended
	}
	if !answer.Supported() && m.goesOn() {
		h.runMoves.noteUnsupported(m.attempt.target.ID)
	}
	switch {
	case !answer.CopyServes():
		return answer.Status.String()
	case !m.leavesCarrier && (m.lastEventAt().After(m.silentSince) || m.writing.Load()):
		return notMovedResumed
	case !h.Pool.Takes(target, time.Now()):
		return notMovedTargetOut
	case !m.hasTime():
		return notMovedTooLate
	case !m.noteStopSent():
		return notMovedEnded
	}
	return ""
}

// hasTime reports whether the run can still be moved in time.
func (m *runMove) hasTime() bool {
	s := runmove.Stream{Deadline: m.attempt.streamDeadline()}
	return s.HasTime(time.Now())
}

// call asks the upstream of the run to copy it. It is not given up if the request ends, as the copy can be freed only by the answer.
func (m *runMove) call(target string, stops bool, timeout time.Duration) runmove.Answer {
	a := m.attempt
	ctx, cancel := context.WithTimeout(context.WithoutCancel(m.ctx), timeout)
	defer cancel()
	answer, err := a.handler.upstreams.Do(ctx, a.target.Address, func() *upstreamhttp.Request {
		r := a.handler.Dialect.EncodeRunMove(&RunMove{RequestID: a.ID, Target: target, Stops: stops})
		r.KeepsOpen = stops // without the answer the run goes on nowhere
		return r
	})
	var unreachable *upstreamhttp.UnreachableError
	if errors.As(err, &unreachable) {
		return runmove.Answer{Status: runmove.Unsent}
	}
	if err != nil {
		klog.InfoS("call to move a run failed", append(m.logFields(), "stops", stops, "error", err.Error())...)
		return runmove.Answer{}
	}
	defer answer.Close()
	body, err := answer.ReadBody(maxMoveAnswerBytes)
	if err != nil {
		klog.InfoS("answer to a call to move a run is not whole", append(m.logFields(), "stops", stops, "error", err.Error())...)
		return runmove.Answer{}
	}
	return a.handler.Dialect.DecodeRunMove(answer.StatusCode, body)
}

// keepHandle records the name of the copy. A later call may give it another name.
func (m *runMove) keepHandle(handle string) {
	if handle == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle = handle
}

// goesOn reports whether the stream is still read.
func (m *runMove) goesOn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isRead()
}

// isRead is goesOn for callers that hold m.mu.
func (m *runMove) isRead() bool { return !m.left && m.ctx.Err() == nil }

// noteStopSent records that the run is asked to stop; false if its stream has ended.
func (m *runMove) noteStopSent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = m.isRead()
	return m.sent
}

// seal reports whether the run was asked to stop. If not, it will not be.
func (m *runMove) seal() (stopSent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = m.left || !m.sent
	return m.sent
}

// decide records where the run goes on.
func (m *runMove) decide(place runmove.Place) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.place, m.decided = place, true
	close(m.done)
	if place == runmove.AtSource {
		m.returnRetry() // that to the source counts anew
	}
	if m.left || !place.Stopped() {
		m.release()
	}
}

// closeStream ends the stream of a run that has stopped, if the upstream does not.
func (m *runMove) closeStream() {
	time.Sleep(streamCloseTime)
	m.mu.Lock()
	read := !m.left && !m.taken
	m.mu.Unlock()
	if read {
		m.answer.Abort()
	}
}

// take returns where the run goes on. If it has stopped, the request goes on with the copy, unless the latest event has no id after which
// it could.
func (m *runMove) take(numbered bool) runmove.Place {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.place.Stopped() && !numbered {
		return runmove.Nowhere
	}
	m.taken = m.place.Stopped()
	return m.place
}

// leave records that the stream is no longer read.
func (m *runMove) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
	if m.decided && !m.taken {
		m.release()
	}
}

// release gives up what was reserved for the run. The caller holds m.mu.
func (m *runMove) release() {
	a := m.attempt
	if m.target != nil {
		a.handler.Pool.Observe(m.target, placement.Abandoned, time.Now())
		a.handler.Pool.Release(m.target)
		m.target = nil
	}
	m.returnRetry()
	if m.handle != "" {
		go a.handler.releaseCopy(a.target.Address, m.handle)
		m.handle = ""
	}
}

// noteNotSent records that the request was not sent to the target.
func (m *runMove) noteNotSent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.returnRetry()
}

// returnRetry lets another retry take the place of the move in the retry budget. The caller holds m.mu.
func (m *runMove) returnRetry() {
	if m.retryAt.IsZero() {
		return
	}
	retries, service := m.attempt.handler.Retries, m.attempt.serviceName
	if m.retryLentUntil.IsZero() {
		retries.ReturnRetry(service, m.retryAt)
	} else {
		retries.Borrow(service, retrylimit.WholeRetry, m.retryLentUntil, time.Now())
	}
	m.retryAt = time.Time{}
}
