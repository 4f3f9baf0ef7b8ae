package hostsync

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// methodTransfer is the RPC method that moves tokens between gateway hosts.
const methodTransfer = "/fleet/Transfer"

const (
	// transferTimeout bounds one request for tokens. The round trip between hosts takes a
	// few milliseconds, and the sender may have to report first, for at most reportTimeout.
	transferTimeout = 120 * time.Millisecond
	reportTimeout   = 80 * time.Millisecond
	// maxTransferHosts is the number of hosts that are asked for tokens for one request.
	maxTransferHosts = 8
	// maxReportingHosts is the number of those that are asked to report first if necessary.
	maxReportingHosts = 2
	// demandHorizon is the time whose expected demand is asked for in addition to the need.
	demandHorizon = time.Second
)

// transferRequest asks another host for tokens.
type transferRequest struct {
	Organisation string `cbor:"1,keyasint"`
	// To is the session of the requesting host.
	To uint64 `cbor:"2,keyasint"`
	// Need is the number of tokens that the request lacks. Want is Need plus the expected
	// demand.
	Need int64 `cbor:"3,keyasint"`
	Want int64 `cbor:"4,keyasint"`
	// ReportIfInsufficient asks the sender to report first if its envelope allows too little
	// and it can reach the control group.
	ReportIfInsufficient bool `cbor:"5,keyasint,omitempty"`
}

// transferReply holds the number of tokens transferred, and how many the sender has left.
type transferReply struct {
	Tokens int64 `cbor:"1,keyasint,omitempty"`
	Free   int64 `cbor:"2,keyasint,omitempty"`
}

// NewServer returns the RPC server for calls from other gateway hosts.
func (c *Client) NewServer() *rpc.Server {
	srv := rpc.NewServer()
	c.registerWitness(srv)
	rpc.Handle(srv, methodTransfer, c.handleTransfer)
	return srv
}

// handleTransfer serves methodTransfer. If the envelope allows too little but the host
// holds enough tokens, it reports to the control group first, provided that the request
// asks for it and the group is reachable.
func (c *Client) handleTransfer(ctx context.Context, req *transferRequest) (*transferReply, error) {
	reply := c.sendTokens(req)
	missing := req.Need - reply.Tokens
	if !req.ReportIfInsufficient || missing <= 0 || !c.ControlReachable(time.Now()) || !c.allowance.PrepareTransfer(req.Organisation, missing, c.options.Clock()) {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if c.AwaitSync(ctx) {
		more := c.sendTokens(&transferRequest{Organisation: req.Organisation, To: req.To, Need: missing, Want: missing})
		reply.Tokens, reply.Free = reply.Tokens+more.Tokens, more.Free
	}
	return reply, nil
}

// sendTokens transfers tokens to another host, within this host's envelope.
func (c *Client) sendTokens(req *transferRequest) *transferReply {
	tokens, free := c.allowance.Transfer(req.Organisation, req.To, req.Need, req.Want, c.options.Clock())
	if tokens > 0 {
		klog.InfoS("transferred tokens to another host", "organisation", req.Organisation, "tokens", tokens,
			"need", req.Need, "free", free, "session", req.To)
	}
	return &transferReply{Tokens: tokens, Free: free}
}

// FetchTokens asks other hosts for tokens, one after the other, and reports whether it
// received at least need. If it received less, those tokens stay on this host. Only the
// first hosts, which are known to hold the most, are asked to report if necessary.
func (c *Client) FetchTokens(ctx context.Context, organisation string, need int64) bool {
	ahead := c.allowance.Demand(organisation, c.options.Clock()) * int64(demandHorizon/time.Second)
	for i, peer := range c.transferCandidates(organisation) {
		if ctx.Err() != nil {
			return false
		}
		req := &transferRequest{Organisation: organisation, To: c.opening.Session, Need: need, Want: need + ahead, ReportIfInsufficient: i < maxReportingHosts}
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
		klog.InfoS("request for tokens failed", "organisation", req.Organisation, "peer", peer.Address, "error", err.Error())
		return 0
	}
	c.allowance.UpdateHolder(req.Organisation, peer.Session, reply.Free)
	if reply.Tokens > 0 {
		c.allowance.Receive(req.Organisation, reply.Tokens)
		klog.InfoS("received tokens from another host", "organisation", req.Organisation, "tokens", reply.Tokens,
			"need", req.Need, "peer", peer.Address)
	}
	return reply.Tokens
}

// transferCandidates returns the hosts to ask for tokens: first those that are known to
// hold tokens, in descending order, and then others in random order.
func (c *Client) transferCandidates(organisation string) []controlnode.Peer {
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
	return list[:min(len(list), maxTransferHosts)]
}
