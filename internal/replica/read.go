package replica

import (
	"context"
	"sync/atomic"
)

// The states of a callback. callbackWaiting is followed by exactly one of the
// other two.
const (
	callbackWaiting uint32 = iota
	callbackRunning
	callbackAbandoned
)

// callback is a caller's function that runs on the event loop, but never after the
// caller has stopped waiting and returned.
type callback struct {
	fn    func()
	state atomic.Uint32
}

func (c *callback) run() {
	if c.fn != nil && c.state.CompareAndSwap(callbackWaiting, callbackRunning) {
		c.fn()
	}
}

// abandon prevents the function from running. It returns false if the function is
// running or has run.
func (c *callback) abandon() bool {
	return c.fn == nil || c.state.CompareAndSwap(callbackWaiting, callbackAbandoned)
}

// await submits a request with a callback and returns its response. If it returns
// an error, the callback has not run and will not run.
func (r *Replica) await(ctx context.Context, req request, responses responseChan, c *callback) (any, error) {
	value, err := r.submit(ctx, req, responses)
	if err != ErrOutcomeUnknown {
		return value, err
	}
	if c.abandon() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrStopped
	}
	resp := <-responses
	return resp.value, resp.err
}

// read is a linearizable read (ReadIndex).
type read struct {
	callback
	point    ReadPoint
	response responseChan
}

// ReadPoint is the position in the log that a linearizable read reflects at least.
type ReadPoint struct {
	// Term is the term of the leader that confirmed the read.
	Term uint64
	// Index is the leader's commit index when the read was assigned to a round of heartbeats.
	Index uint64
}

// Barrier waits until a quorum has confirmed, after the call began, that this
// replica is the leader, and until the state machine has applied every command
// committed by then. On other replicas it returns *NotLeaderError.
func (r *Replica) Barrier(ctx context.Context) (ReadPoint, error) {
	return r.barrier(ctx, nil)
}

// Read is a linearizable read: it runs fn on the event loop when Barrier would
// return, so that fn sees every command acknowledged before the call. If it returns
// an error, fn has not run and will not run.
func (r *Replica) Read(ctx context.Context, fn func()) error {
	_, err := r.barrier(ctx, fn)
	return err
}

func (r *Replica) barrier(ctx context.Context, fn func()) (ReadPoint, error) {
	q := &read{callback: callback{fn: fn}, response: newResponseChan()}
	value, err := r.await(ctx, q, q.response, &q.callback)
	point, _ := value.(ReadPoint)
	return point, err
}

func (q *read) begin(r *Replica) {
	if err := r.checkAvailable(); err != nil {
		q.response <- response{err: err}
		return
	}
	r.trackLeadership()
	r.lastReadID++
	if err := r.node.ReadIndex(r.lastReadID); err != nil {
		q.response <- response{err: r.translateError(err)}
		return
	}
	q.point.Term, _ = r.node.Leadership()
	r.reads[r.lastReadID] = q
}

func (q *read) finish() {
	q.run()
	q.response <- response{value: q.point}
}

// localRead is a read without confirmation of leadership.
type localRead struct {
	callback
	response responseChan
}

// LocalRead runs fn on the event loop without confirming leadership: fn may see
// stale state. If LocalRead returns an error, fn has not run and will not run.
func (r *Replica) LocalRead(ctx context.Context, fn func()) error {
	q := &localRead{callback: callback{fn: fn}, response: newResponseChan()}
	_, err := r.await(ctx, q, q.response, &q.callback)
	return err
}

func (q *localRead) begin(*Replica) {
	q.run()
	q.response <- response{}
}
