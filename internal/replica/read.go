package replica

import (
	"context"
	"sync/atomic"
)

// The states of a callback. Exactly one of running and abandoned follows.
const (
	callbackWaiting uint32 = iota
	callbackRunning
	callbackAbandoned
)

// callback is a function of the caller that runs on the control goroutine, and
// never after the caller has given up and returned.
type callback struct {
	fn    func()
	state atomic.Uint32
}

func (c *callback) run() {
	if c.fn != nil && c.state.CompareAndSwap(callbackWaiting, callbackRunning) {
		c.fn()
	}
}

// abandon returns false if the function runs or has run.
func (c *callback) abandon() bool {
	return c.fn == nil || c.state.CompareAndSwap(callbackWaiting, callbackAbandoned)
}

// await returns the answer to a request with a callback.
func (r *Replica) await(ctx context.Context, q request, a answer, c *callback) (any, error) {
	value, err := r.submit(ctx, q, a)
	if err != ErrUnknown {
		return value, err
	}
	if c.abandon() {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, ErrStopped
	}
	o := <-a
	return o.value, o.err
}

// read is a confirmed read.
type read struct {
	callback
	term   uint64
	index  uint64
	answer answer
}

// Barrier returns the term once a quorum has confirmed this replica as leader
// after the call began, and the state machine has applied every command
// committed by then. On other replicas it returns *NotLeaderError.
func (r *Replica) Barrier(ctx context.Context) (term uint64, err error) {
	return r.barrier(ctx, nil)
}

// Read runs fn on the control goroutine at the point where Barrier would
// return, so that fn sees every command acknowledged before the call. When it
// returns an error, fn has not run and will not.
func (r *Replica) Read(ctx context.Context, fn func()) error {
	_, err := r.barrier(ctx, fn)
	return err
}

func (r *Replica) barrier(ctx context.Context, fn func()) (uint64, error) {
	q := &read{callback: callback{fn: fn}, answer: newAnswer()}
	value, err := r.await(ctx, q, q.answer, &q.callback)
	term, _ := value.(uint64)
	return term, err
}

func (q *read) begin(r *Replica) {
	if err := r.unavailable(); err != nil {
		q.answer <- outcome{err: err}
		return
	}
	r.followLeadership()
	r.nextRead++
	if err := r.node.ReadIndex(r.nextRead); err != nil {
		q.answer <- outcome{err: r.translate(err)}
		return
	}
	q.term, _ = r.node.Leadership()
	r.reads[r.nextRead] = q
}

func (q *read) finish() {
	q.run()
	q.answer <- outcome{value: q.term}
}

// inspection runs a function without any confirmation.
type inspection struct {
	callback
	answer answer
}

// Inspect runs fn on the control goroutine with no confirmation: the state that
// it sees may lag behind the group's. When it returns an error, fn has not run
// and will not.
func (r *Replica) Inspect(ctx context.Context, fn func()) error {
	q := &inspection{callback: callback{fn: fn}, answer: newAnswer()}
	_, err := r.await(ctx, q, q.answer, &q.callback)
	return err
}

func (q *inspection) begin(*Replica) {
	q.run()
	q.answer <- outcome{}
}
