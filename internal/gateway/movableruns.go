package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// runMoves holds the runs that may be moved. It is safe for concurrent use, and its zero value is empty.
type runMoves struct {
	mu   sync.Mutex
	runs map[*movableRun]struct{}
	// active is the number of moves in progress.
	active int
	// watchesCarried reports that a goroutine looks for carried runs that must leave.
	watchesCarried bool
	// unsupported holds, by upstream, until when it is not asked.
	unsupported map[string]time.Time
}

// movableRun is the run of a stream of which the caller has events.
type movableRun struct {
	attempt *attempt
	answer  *upstreamhttp.Answer
	// version is the software version that began the stream.
	version string
	// lastEvent is the time.Duration from attempt.sentAt until the latest event had been read or written, and numbered reports that it had
	// an id.
	lastEvent atomic.Int64
	numbered  atomic.Bool
	// writing reports that an event is being sent to the caller. What follows is read later.
	writing atomic.Bool

	// move is nil until one begins, searchAfter is when a target is looked for again, and outcome that of the latest move. They are
	// guarded by runMoves.mu.
	move        *runMove
	searchAfter time.Time
	outcome     string
	// lastMovesOnly reports that the run is moved only once its move can't wait. It is guarded by runMoves.mu.
	lastMovesOnly bool
	// refusedBy holds by id when targets had no room for the run, refusals is how often one had none, and copies the number of copies after which it went on where it
	// was. Only its move uses them, and what begins one.
	refusedBy map[string]time.Time
	refusals  int
	copies    int
}

func (r *movableRun) lastEventAt() time.Time {
	return r.attempt.sentAt.Add(time.Duration(r.lastEvent.Load()))
}

// noteRun records an event of the stream that is to be sent to the caller. The run may be moved once in a request, if the engines of the
// service can do so.
func (a *attempt) noteRun(answer *upstreamhttp.Answer, numbered bool) {
	if a.movable == nil {
		if a.runWasMoved || a.service == nil || a.service.Engine == nil || !a.service.Engine.RunTransfer {
			return
		}
		a.movable = &movableRun{attempt: a, answer: answer, version: a.streamVersion}
	}
	registered := a.movable.lastEvent.Load() != 0
	a.movable.writing.Store(true)
	a.movable.numbered.Store(numbered)
	a.movable.noteActive()
	if registered {
		return
	}
	m := &a.handler.runMoves
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs == nil {
		m.runs = map[*movableRun]struct{}{}
	}
	m.runs[a.movable] = struct{}{}
	if a.carrier != nil && !m.watchesCarried {
		m.watchesCarried = true
		go a.handler.moveCarriedRuns()
	}
}

// noteWritten records that the caller has taken the latest event, and that the next one is read.
func (a *attempt) noteWritten() {
	if a.movable == nil {
		return
	}
	a.movable.noteActive()
	a.movable.writing.Store(false)
}

func (r *movableRun) noteActive() {
	r.lastEvent.Store(int64(max(time.Since(r.attempt.sentAt), 1)))
}

// leaveRun records that the stream is no longer read.
func (a *attempt) leaveRun() {
	if a.movable == nil {
		return
	}
	m := &a.handler.runMoves
	m.mu.Lock()
	delete(m.runs, a.movable)
	move := a.movable.move
	m.mu.Unlock()
	if move != nil {
		move.leave()
	}
}

// awaitMove returns, once the stream of the run has ended, where it goes on. It waits for an answer if the run was asked to stop.
func (a *attempt) awaitMove() runmove.Place {
	if a.movable == nil {
		return runmove.NotStopped
	}
	m := &a.handler.runMoves
	m.mu.Lock()
	delete(m.runs, a.movable)
	move := a.movable.move
	m.mu.Unlock()
	if move == nil || !move.seal() {
		return runmove.NotStopped
	}
	a.runWasMoved = true
	var giveUp <-chan time.Time
	if a.route.Repeatable() && a.resumable {
		giveUp = time.After(maxStopWait)
	}
	select {
	case <-move.done:
	case <-giveUp:
		return runmove.Nowhere
	case <-a.ctx.Done():
		return runmove.Nowhere
	}
	return move.take(a.resumable)
}

// runMoved returns the result of an attempt whose run goes on elsewhere.
func (a *attempt) runMoved() attemptResult {
	a.reviewOrigin() // the next attempt does not know the source
	a.move = a.movable.move
	a.reportOutcome(placement.Abandoned)
	return resultMoved
}

// MoveSilentRuns moves runs of begun streams that are silent, and may outlast the host, to other engines. It returns when streams are
// broken off.
func (h *Handler) MoveSilentRuns() {
	plan := h.stop.plan.Load()
	ctx, cancel := context.WithDeadline(h.streamsEnded, plan.End)
	defer cancel()
	looked := time.Now()
	host := runmove.Host{EarliestKill: plan.EarliestKill, LatestKill: plan.LatestKill, RanSince: looked} // it may have stalled before
	timing.EveryUntil(ctx, runPollInterval, func() bool {
		now := time.Now()
		if now.Sub(looked) > runPollInterval+maxRunPollDelay {
			host.RanSince = now
		}
		looked = now
		for _, move := range h.dueMoves(&host, now) {
			go move.run()
		}
		return true
	})
}

// moveCarriedRuns moves runs of begun streams whose connection another host carries that is killed before they may end. It returns once
// no run is carried.
func (h *Handler) moveCarriedRuns() {
	timing.EveryUntil(context.Background(), runPollInterval, func() bool {
		due, carried := h.dueCarriedMoves(time.Now())
		for _, move := range due {
			go move.run()
		}
		return carried
	})
}

// dueCarriedMoves returns new moves of the runs whose carrier is killed, and whether there are carried runs.
func (h *Handler) dueCarriedMoves(now time.Time) (due []*runMove, carried bool) {
	m := &h.runMoves
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.runs {
		if r.attempt.carrier == nil {
			continue
		}
		carried = true
		kill := r.attempt.carrier.CarrierKill()
		if kill == nil || !m.mayMove(r, now) {
			continue
		}
		host, stream := runmove.Host{EarliestKill: kill.Earliest, LatestKill: kill.Latest}, r.stream()
		if host.MustLeave(&stream, now) {
			move := r.newMove(stream.LastEvent, now, false)
			move.leavesCarrier = true
			due = append(due, m.begin(move))
		}
	}
	m.watchesCarried = carried
	return due, carried
}

// dueMoves returns new moves of the runs that are to be moved now.
func (h *Handler) dueMoves(host *runmove.Host, now time.Time) (due []*runMove) {
	m := &h.runMoves
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []dueRun
	for r := range m.runs {
		writing := r.writing.Load() // before lastEvent, which changes first when the caller has taken the event
		stream := r.stream()
		waits := r.lastMovesOnly && host.CanWait(now)
		if !writing && !waits && m.mayMove(r, now) && host.Due(&stream, now) {
			found = append(found, dueRun{r, stream})
		}
	}
	slices.SortFunc(found, func(a, b dueRun) int { return host.Compare(&a.stream, &b.stream) })
	for _, f := range found[:min(len(found), maxRunMoves-m.active)] {
		due = append(due, m.begin(f.run.newMove(f.stream.LastEvent, now, host.CanWait(now))))
	}
	return due
}

// dueRun is a run that is to be moved now.
type dueRun struct {
	run    *movableRun
	stream runmove.Stream
}

func (r *movableRun) stream() runmove.Stream {
	a := r.attempt
	return runmove.Stream{LastEvent: r.lastEventAt(), Numbered: r.numbered.Load(), LongestPause: a.route.GapObjective, Deadline: a.streamDeadline()}
}

// mayMove reports whether a move of the run may begin now. The caller holds m.mu.
func (m *runMoves) mayMove(r *movableRun, now time.Time) bool {
	return r.move == nil && m.active < maxRunMoves && !now.Before(r.searchAfter) && !now.Before(m.unsupported[r.attempt.target.ID])
}

// begin records a move that begins. The caller holds m.mu.
func (m *runMoves) begin(move *runMove) *runMove {
	move.movableRun.move = move
	m.active++
	return move
}

// newMove returns a move of the run. The request makes no other attempt while the run is held. A move that can't wait asks engines that had
// no room, or have none by the latest reports, as they may have some by now.
func (r *movableRun) newMove(silentSince, now time.Time, canWait bool) *runMove {
	a := r.attempt
	target := a.placementRequestFor(a.serviceName, true, "")
	target.MovesRun, target.AsksFull = true, !canWait
	target.Exclude = slices.Clone(target.Exclude)
	for id, at := range r.refusedBy {
		if canWait || now.Sub(at) < refusedPause {
			target.Exclude = append(target.Exclude, id)
		}
	}
	ctx, cancel := context.WithCancel(a.ctx)
	return &runMove{
		movableRun: r, ctx: ctx, cancel: cancel, silentSince: silentSince, began: now, canWait: canWait, done: make(chan struct{}), placementRequest: target,
	}
}

func (r *runMoves) noteUnsupported(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unsupported == nil {
		r.unsupported = map[string]time.Time{}
	}
	r.unsupported[upstream] = time.Now().Add(unsupportedPause)
}
