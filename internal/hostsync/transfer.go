package hostsync

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// methodTransfer moves tokens between gateway hosts.
const methodTransfer = "/fleet/Transfer"

const (
	// transferTimeout bounds one request for tokens: hosts are a few milliseconds apart,
	// and the giver may have to report first, for which it has reportTimeout.
	transferTimeout = 120 * time.Millisecond
	reportTimeout   = 80 * time.Millisecond
	// transferTries is the number of hosts that are asked for one request.
	transferTries = 8
	// lenders is the number of them that are asked to report for it.
	lenders = 2
	// transferAhead is the time of demand that is asked for beyond the need.
	transferAhead = time.Second
)

// transferRequest asks a host for tokens.
type transferRequest struct {
	Organisation string `cbor:"1,keyasint"`
	// To is the session of the host that asks.
	To uint64 `cbor:"2,keyasint"`
	// Need is the least that helps, Want what would help further.
	Need int64 `cbor:"3,keyasint"`
	Want int64 `cbor:"4,keyasint"`
	// Lend asks a giver that is in touch with the control group to report first if its
	// envelope allows too little.
	Lend bool `cbor:"5,keyasint,omitempty"`
}

// transferReply tells how many tokens were given, and what is left.
type transferReply struct {
	Tokens int64 `cbor:"1,keyasint,omitempty"`
	Free   int64 `cbor:"2,keyasint,omitempty"`
}

// NewServer returns the server for the calls of other gateway hosts.
func (c *Client) NewServer() *rpc.Server {
	srv := rpc.NewServer()
	c.handleWitness(srv)
	rpc.Handle(srv, methodTransfer, c.transfer)
	return srv
}

// transfer serves methodTransfer. A host in touch with the control group whose envelope
// allows too little reports first, if it is asked to and holds enough.
func (c *Client) transfer(ctx context.Context, req *transferRequest) (*transferReply, error) {
	reply := c.give(req)
	missing := req.Need - reply.Tokens
	if !req.Lend || missing <= 0 || !c.InTouch(time.Now()) || !c.allowance.PrepareTransfer(req.Organisation, missing, c.options.Clock()) {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if c.AwaitContact(ctx) {
		more := c.give(&transferRequest{Organisation: req.Organisation, To: req.To, Need: missing, Want: missing})
		reply.Tokens, reply.Free = reply.Tokens+more.Tokens, more.Free
	}
	return reply, nil
}

// give sets tokens aside for another host, within this host's envelope.
func (c *Client) give(req *transferRequest) *transferReply {
	tokens, free := c.allowance.Give(req.Organisation, req.To, req.Need, req.Want, c.options.Clock())
	if tokens > 0 {
		klog.InfoS("tokens given to another host", "organisation", req.Organisation, "tokens", tokens,
			"need", req.Need, "free", free, "session", req.To)
	}
	return &transferReply{Tokens: tokens, Free: free}
}

// Fetch asks other hosts for tokens, one after the other, and tells whether it got
// need or more. What it got of less stays here. Only the first few are asked to
// report for it, those that are known to hold the most.
func (c *Client) Fetch(ctx context.Context, organisation string, need int64) bool {
	ahead := c.allowance.Demand(organisation, c.options.Clock()) * int64(transferAhead/time.Second)
	for i, peer := range c.givers(organisation) {
		if ctx.Err() != nil {
			return false
		}
		req := &transferRequest{Organisation: organisation, To: c.opening.Session, Need: need, Want: need + ahead, Lend: i < lenders}
		if need -= c.fetchFrom(ctx, peer, req); need <= 0 {
			return true
		}
	}
	return false
}

func (c *Client) fetchFrom(ctx context.Context, peer controlnode.Peer, req *transferRequest) int64 {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := rpc.Call[transferRequest, transferReply](ctx, c.rpc, peer.Address, methodTransfer, req)
	if err != nil {
		klog.InfoS("no tokens from another host", "organisation", req.Organisation, "peer", peer.Address, "error", err.Error())
		return 0
	}
	c.allowance.UpdateHolder(req.Organisation, peer.Session, reply.Free)
	if reply.Tokens > 0 {
		c.allowance.Receive(req.Organisation, reply.Tokens)
		klog.InfoS("tokens got from another host", "organisation", req.Organisation, "tokens", reply.Tokens,
			"need", req.Need, "peer", peer.Address)
	}
	return reply.Tokens
}

// givers returns the hosts to ask: those that are known to hold tokens, the
// richest first, and then others at random.
func (c *Client) givers(organisation string) []controlnode.Peer {
	c.mu.Lock()
	peers := make(map[uint64]controlnode.Peer, len(c.peers))
	for _, p := range c.peers {
		if p.Session != c.opening.Session {
			peers[p.Session] = p
		}
	}
	c.mu.Unlock()
	var list []controlnode.Peer
	for _, h := range c.allowance.Holders(organisation) {
		if p, found := peers[h.Session]; found {
			delete(peers, h.Session)
			list = append(list, p)
		}
	}
	others := make([]controlnode.Peer, 0, len(peers))
	for _, p := range peers {
		others = append(others, p)
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	list = append(list, others...)
	return list[:min(len(list), transferTries)]
}
