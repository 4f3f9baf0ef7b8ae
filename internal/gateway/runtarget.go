package gateway

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
)

// findTarget returns an upstream with room for the run, to which it may be sent, or the reason why there is none.
func (m *runMove) findTarget() (target *placement.Assignment, reason string) {
	a := m.attempt
	h := a.handler
	h.Sync.AwaitCurrentTable(m.ctx) // the choice fails if it does not become current
	if !m.goesOn() {
		return nil, notMovedEnded
	}
	now := time.Now()
	version := m.knownVersion(now)
	if version == "" {
		return nil, notMovedVersion
	}
	if !m.takeRetry(now) { // before the choice, which counts towards limits of the upstream
		return nil, notMovedBudget
	}
	r := m.placementRequest
	r.Version, r.Waited, r.TimeLeft = version, now.Sub(a.arrived), a.timeRemaining()
	target, refused := h.Pool.Choose(r, now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target = target
	if refused == nil && m.isRead() {
		return target, ""
	}
	m.release()
	switch {
	case refused == nil:
		return nil, notMovedEnded
	case refused.Reason == placement.VersionUnconfirmed:
		return nil, notMovedVersion
	case refused.Reason == placement.AllFull:
		return nil, notMovedFull
	}
	return nil, notMovedNoTarget
}

// takeRetry reports whether the retry budget has room for the move, and counts it there. One that can't wait may use what other hosts
// have left.
func (m *runMove) takeRetry(now time.Time) bool {
	a := m.attempt
	var lentUntil time.Time
	if m.canWait {
		if !a.handler.Retries.AllowSpareRetry(a.serviceName, a.view.Hosts, now) {
			return false
		}
	} else if !a.handler.Retries.AllowRetry(a.serviceName, a.view.Hosts, now) {
		allowed := false
		if lentUntil, allowed = a.handler.Sync.BorrowRetry(m.ctx, a.serviceName); !allowed {
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retryAt, m.retryLentUntil = now, lentUntil
	return true
}

// knownVersion returns the software version that began the stream; empty if it is unknown. One that was not known then is known now if
// the table of upstreams has since become current, and has no other process under the id.
func (m *runMove) knownVersion(now time.Time) string {
	a := m.attempt
	switch {
	case a.handler.Pool.Replaced(a.target):
		return ""
	case m.version == "" && now.Sub(a.sentAt) > placement.MaxTableAge:
		return a.handler.Pool.VersionAt(a.target, now)
	}
	return m.version
}

// postpone lets a target be looked for again later.
func (m *runMove) postpone(pause time.Duration) {
	moves := &m.attempt.handler.runMoves
	moves.mu.Lock()
	defer moves.mu.Unlock()
	m.movableRun.move, m.searchAfter = nil, time.Now().Add(pause)
}

// postponeToLastMoves is postpone until a move can't wait, if that is later: the upstream may still copy the run.
func (m *runMove) postponeToLastMoves(pause time.Duration) {
	moves := &m.attempt.handler.runMoves
	moves.mu.Lock()
	m.lastMovesOnly = true
	moves.mu.Unlock()
	m.postpone(pause)
}

// noteRefused records that a target had no room for the run.
func (m *runMove) noteRefused(target string) {
	if m.refusedBy == nil {
		m.refusedBy = map[string]time.Time{}
	}
	m.refusedBy[target] = time.Now()
	m.refusals++
}

// pauseAfterRefusal returns the time after a refusal until another target is asked. A move that can't wait asks two at once.
func (m *runMove) pauseAfterRefusal() time.Duration {
	switch {
	case m.canWait:
		return fullTargetPause
	case m.refusals%2 == 1:
		return 0
	}
	return lastFullTargetPause
}

// noteOutcome reports whether the outcome is another than that of the search before.
func (m *runMove) noteOutcome(outcome string) bool {
	moves := &m.attempt.handler.runMoves
	moves.mu.Lock()
	defer moves.mu.Unlock()
	known := m.movableRun.outcome == outcome
	m.movableRun.outcome = outcome
	return !known
}
