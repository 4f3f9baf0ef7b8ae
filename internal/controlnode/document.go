package controlnode

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// documentTimeout limits a read or write of the document. Operators treat a call
	// without an answer after one second as failed.
	documentTimeout = 900 * time.Millisecond
	// askTimeout limits a call to a control host that may not lead. It leaves time to ask another.
	askTimeout = documentTimeout / 2
	// leaderRetryInterval is the delay before another attempt to reach the leader.
	leaderRetryInterval = 60 * time.Millisecond
)

// ErrUnavailable means that no leader confirmed a call in time. The change may or may not
// be committed.
var ErrUnavailable = eris.New("the control group is not available")

// propose commits a command to the replicated log and returns its result.
func propose(ctx context.Context, r *localReplica, c *fleetstate.Command) (*fleetstate.Result, error) {
	return proposeWith(c, func(data []byte) (any, error) { return r.Propose(ctx, data) })
}

// proposeInTerm is propose for a command that must have no effect in another term.
func proposeInTerm(ctx context.Context, r *localReplica, term uint64, c *fleetstate.Command) (*fleetstate.Result, error) {
	return proposeWith(c, func(data []byte) (any, error) { return r.ProposeInTerm(ctx, term, data) })
}

func proposeWith(c *fleetstate.Command, replicate func(data []byte) (any, error)) (*fleetstate.Result, error) {
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	value, err := replicate(data)
	if err != nil {
		return nil, err
	}
	result := value.(*fleetstate.Result)
	return result, result.Err
}

// putDocument serves MethodPut.
func (n *Node) putDocument(ctx context.Context, req *PutRequest) (*PutReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &PutReply{LeaderRedirect: redirect}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	result, err := propose(ctx, r, &fleetstate.Command{Document: &req.Document})
	if err != nil {
		redirect, err := n.redirectFor(err)
		return &PutReply{LeaderRedirect: redirect}, err
	}
	s := r.Status()
	klog.InfoS("document committed", "version", req.Document.Version, "in_force", result.Version,
		"replica", s.ID, "term", s.Term, "index", result.Index)
	return &PutReply{Version: result.Version}, nil
}

// getDocument serves MethodGet.
func (n *Node) getDocument(ctx context.Context, _ *GetRequest) (*GetReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &GetReply{LeaderRedirect: redirect}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	point, err := r.Barrier(ctx)
	if err != nil {
		redirect, err := n.redirectFor(err)
		return &GetReply{LeaderRedirect: redirect}, err
	}
	return &GetReply{
		Document: *r.machine.Document(), Confirmed: LogPosition{Replica: r.Status().ID, Term: point.Term, Index: point.Index},
	}, nil
}

// callOnLeader serves the call locally if this host is the leader, and otherwise forwards
// it to the leader. It retries until documentTimeout expires. A host that knows no leader asks
// any other control host.
func callOnLeader[Req, Reply any](ctx context.Context, n *Node, method string, req *Req,
	serve func(context.Context, *Req) (*Reply, error), redirect func(*Reply) LeaderRedirect,
) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	for {
		reply, err := serve(ctx, req)
		if err == nil && redirect(reply).NotLeader && redirect(reply).Leader == "" {
			if other := n.anyOtherControlHost(); other != "" {
				reply, err = askForLeader[Req, Reply](ctx, n, other, method, req)
			}
		}
		if err == nil && redirect(reply).NotLeader && redirect(reply).Leader != "" {
			reply, err = rpc.Call[Req, Reply](ctx, n.rpc, redirect(reply).Leader, method, req)
		}
		if err == nil && !redirect(reply).NotLeader {
			return reply, nil
		}
		if err != nil {
			klog.InfoS("call to the leader failed", "method", method, "error", err.Error())
		}
		if !timing.Sleep(ctx, leaderRetryInterval) {
			return nil, ErrUnavailable
		}
	}
}

// askForLeader sends the call to another control host, which executes it if it leads.
func askForLeader[Req, Reply any](ctx context.Context, n *Node, address, method string, req *Req) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return rpc.Call[Req, Reply](ctx, n.rpc, address, method, req)
}

// PutDocument commits a document through the leader and returns the version in force. After
// ErrUnavailable the document may still come into force.
func (n *Node) PutDocument(ctx context.Context, d fleetstate.Document) (uint64, error) {
	reply, err := callOnLeader(ctx, n, MethodPut, &PutRequest{Document: d}, n.putDocument,
		func(r *PutReply) LeaderRedirect { return r.LeaderRedirect })
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// NewestDocument returns the document in force, confirmed by a quorum after the call
// started, or ErrUnavailable.
func (n *Node) NewestDocument(ctx context.Context) (*fleetstate.Document, error) {
	started := time.Now()
	reply, err := callOnLeader(ctx, n, MethodGet, &GetRequest{}, n.getDocument,
		func(r *GetReply) LeaderRedirect { return r.LeaderRedirect })
	if err != nil {
		return nil, err
	}
	klog.InfoS("document read", "version", reply.Document.Version, "replica", reply.Confirmed.Replica, "term", reply.Confirmed.Term,
		"index", reply.Confirmed.Index, "waited_ms", time.Since(started).Milliseconds())
	return &reply.Document, nil
}
