package controlnode

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// documentTimeout bounds a read or write of the document: an operator takes a
	// second without an answer for a failure.
	documentTimeout = 900 * time.Millisecond
	// leaderRetry is the pause before the leader is looked for again.
	leaderRetry = 60 * time.Millisecond
)

// ErrUnavailable reports that no leader confirmed a call in time. A change may
// or may not be made.
var ErrUnavailable = eris.New("the control group is not available")

// propose commits a command and returns its result.
func propose(ctx context.Context, r *replica.Replica, c *fleetstate.Command) (*fleetstate.Result, error) {
	data, err := codec.Marshal(c)
	if err != nil {
		return nil, err
	}
	value, err := r.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := value.(*fleetstate.Result)
	return result, result.Err
}

// putDocument serves MethodPut.
func (n *Node) putDocument(ctx context.Context, req *PutRequest) (*PutReply, error) {
	r, route := n.leader()
	if r == nil {
		return &PutReply{Routed: route}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	result, err := propose(ctx, r, &fleetstate.Command{Document: &req.Document})
	if err != nil {
		route, err := n.routed(err)
		return &PutReply{Routed: route}, err
	}
	klog.InfoS("document committed", "version", req.Document.Version, "in_force", result.Version)
	return &PutReply{Version: result.Version}, nil
}

// getDocument serves MethodGet.
func (n *Node) getDocument(ctx context.Context, _ *GetRequest) (*GetReply, error) {
	r, route := n.leader()
	if r == nil {
		return &GetReply{Routed: route}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	if _, err := r.Barrier(ctx); err != nil {
		route, err := n.routed(err)
		return &GetReply{Routed: route}, err
	}
	return &GetReply{Document: *n.machine.Load().Document()}, nil
}

// atLeader serves the call here or, if this host does not lead, calls the leader,
// until the time of the call is over.
func atLeader[Req, Reply any](ctx context.Context, n *Node, method string, req *Req,
	serve func(context.Context, *Req) (*Reply, error), route func(*Reply) Routed,
) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	for {
		reply, err := serve(ctx, req)
		if err == nil && !route(reply).NotLeader {
			return reply, nil
		}
		if err == nil && route(reply).Leader != "" {
			reply, err = rpc.Call[Req, Reply](ctx, n.rpc, route(reply).Leader, method, req)
			if err == nil && !route(reply).NotLeader {
				return reply, nil
			}
		}
		if err != nil {
			klog.InfoS("call of the leader failed", "method", method, "error", err.Error())
		}
		if !timing.Sleep(ctx, leaderRetry) {
			return nil, ErrUnavailable
		}
	}
}

// PutDocument commits a document through the leader and returns the version in
// force. ErrUnavailable leaves open whether it will be in force.
func (n *Node) PutDocument(ctx context.Context, d fleetstate.Document) (uint64, error) {
	reply, err := atLeader(ctx, n, MethodPut, &PutRequest{Document: d}, n.putDocument,
		func(r *PutReply) Routed { return r.Routed })
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// NewestDocument returns the document in force, confirmed by a quorum after the
// call began, or ErrUnavailable.
func (n *Node) NewestDocument(ctx context.Context) (*fleetstate.Document, error) {
	reply, err := atLeader(ctx, n, MethodGet, &GetRequest{}, n.getDocument,
		func(r *GetReply) Routed { return r.Routed })
	if err != nil {
		return nil, err
	}
	return &reply.Document, nil
}
