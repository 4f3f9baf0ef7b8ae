package streamorigin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// maxCallsPerHost is the number of calls to one host at a time. A call uses a connection of its own,
	// and a host that has just started has none yet.
	maxCallsPerHost = 2
	// maxQueriesPerCall bounds the queries in one call.
	maxQueriesPerCall = 64
	// callTimeout bounds one call. Searches do not wait longer for an answer.
	callTimeout = 300 * time.Millisecond
)

// Asker sends queries to other hosts. Queries to one host that arrive while calls to it are in flight
// share the next call. This addresses the burst after all gateways have stopped at once: each resumed
// stream asks eight hosts, and without sharing each query would need a connection of its own, on
// gateways that have a fraction of a processor. It is safe for concurrent use.
type Asker struct {
	call  callFunc
	mu    sync.Mutex
	hosts map[string]*hostQueries
}

// callFunc sends a query to a host.
type callFunc func(ctx context.Context, host string, q *Query) (*Reply, error)

// NewAsker returns an Asker that calls other hosts with client.
func NewAsker(client *rpc.Client) *Asker {
	return newAsker(func(ctx context.Context, host string, q *Query) (*Reply, error) {
		return rpc.Call[Query, Reply](ctx, client, host, methodQuery, q)
	})
}

func newAsker(call callFunc) *Asker { return &Asker{call: call, hosts: map[string]*hostQueries{}} }

// hostQueries are the queries to one host.
type hostQueries struct {
	waiting []*pendingQuery
	// calls is the number of calls in flight.
	calls int
}

type pendingQuery struct {
	ctx    context.Context
	query  Query
	answer chan answer
}

type answer struct {
	reply *Reply
	err   error
}

// Ask sends a query to a host and waits for the reply until ctx ends.
func (a *Asker) Ask(ctx context.Context, host string, q *Query) (*Reply, error) {
	p := &pendingQuery{ctx: ctx, query: *q, answer: make(chan answer, 1)}
	a.mu.Lock()
	h := a.hosts[host]
	if h == nil {
		h = &hostQueries{}
		a.hosts[host] = h
	}
	h.waiting = append(h.waiting, p)
	if h.calls < maxCallsPerHost {
		h.calls++
		go a.serve(host, h)
	}
	a.mu.Unlock()
	select {
	case answered := <-p.answer:
		return answered.reply, answered.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve calls the host until no query waits.
func (a *Asker) serve(host string, h *hostQueries) {
	for {
		batch := a.next(host, h)
		if len(batch) == 0 {
			return
		}
		a.send(host, batch)
	}
}

// next takes queries that still wait for an answer; none if there are no more, which ends the call.
func (a *Asker) next(host string, h *hostQueries) []*pendingQuery {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.waiting = slices.DeleteFunc(h.waiting, func(p *pendingQuery) bool { return p.ctx.Err() != nil })
	n := min(len(h.waiting), maxQueriesPerCall)
	batch := slices.Clone(h.waiting[:n])
	h.waiting = slices.Delete(h.waiting, 0, n)
	if n == 0 {
		if h.calls--; h.calls == 0 {
			delete(a.hosts, host)
		}
	}
	return batch
}

// send sends queries in one call. A host of an earlier build answers only the first; the others then
// follow in calls of their own.
func (a *Asker) send(host string, batch []*pendingQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	query := batch[0].query
	for _, p := range batch[1:] {
		query.More = append(query.More, p.query)
	}
	reply, err := a.call(ctx, host, &query)
	if err != nil {
		for _, p := range batch {
			p.answer <- answer{err: err}
		}
		return
	}
	batch[0].answer <- answer{reply: reply}
	for i, p := range batch[1:] {
		if len(reply.More) == len(batch)-1 {
			p.answer <- answer{reply: &reply.More[i]}
			continue
		}
		go func() {
			single, err := a.call(p.ctx, host, &p.query)
			p.answer <- answer{single, err}
		}()
	}
}
