package hostsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/prepaid"
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
	maxTransferHosts = prepaid.MaxDirectPeers
	// maxReportingHosts is the number of those that are asked to report first if necessary.
	maxReportingHosts = 2
	// unreachableRetention is the time after a failed request for which a host is asked last.
	unreachableRetention = time.Second
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
	// Wait is the time after which the sender may send the rest; 0 if it holds too few.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
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
	if missing > 0 {
		reply.Wait = c.allowance.TransferWait(req.Organisation, missing, c.options.Clock())
	}
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

// Borrows reports whether the host borrows the organisation's tokens from other hosts,
// which it should ask before the control group.
func (c *Client) Borrows(organisation string) bool {
	_, borrows := c.allowance.Lenders(organisation)
	return borrows
}

// FetchTokens asks other hosts for tokens, one after the other, and reports whether it
// received at least need. If it received less, those tokens stay on this host, and wait is
// the time after which one of the others may send the rest; 0 if that is unknown. Only the
// first hosts, which are known to hold the most, are asked to report if necessary.
func (c *Client) FetchTokens(ctx context.Context, organisation string, need int64) (received bool, wait time.Duration) {
	ahead := c.allowance.TokensAhead(organisation, c.options.Clock())
	for i, peer := range c.transferCandidates(organisation) {
		if ctx.Err() != nil {
			return false, wait
		}
		req := &transferRequest{Organisation: organisation, To: c.opening.Session, Need: need, Want: need + ahead, ReportIfInsufficient: i < maxReportingHosts}
		reply := c.fetchFrom(ctx, peer, req)
		if need -= reply.Tokens; need <= 0 {
			return true, 0
		}
		if reply.Wait > 0 && (wait == 0 || reply.Wait < wait) {
			wait = reply.Wait
		}
	}
	return false, wait
}

// fetchFrom asks one host for tokens. A failed call is logged and returns an empty reply.
func (c *Client) fetchFrom(ctx context.Context, peer controlnode.Peer, req *transferRequest) *transferReply {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	reply, err := rpc.Call[transferRequest, transferReply](ctx, c.rpc, peer.Address, methodTransfer, req)
	if err != nil {
		klog.InfoS("request for tokens failed", "organisation", req.Organisation, "peer", peer.Address, "error", err.Error())
		c.markUnreachable(peer.Address)
		return &transferReply{}
	}
	c.allowance.UpdateHolder(req.Organisation, peer.Session, reply.Free)
	if reply.Tokens > 0 {
		c.allowance.Receive(req.Organisation, reply.Tokens)
		klog.InfoS("received tokens from another host", "organisation", req.Organisation, "tokens", reply.Tokens,
			"need", req.Need, "peer", peer.Address)
	}
	return reply
}

// transferCandidates returns the hosts to ask for tokens. These are the holders of a large
// fleet, or else first those that are known to hold tokens, in descending order, and then
// others in random order.
func (c *Client) transferCandidates(organisation string) []controlnode.Peer {
	if lenders, _ := c.allowance.Lenders(organisation); len(lenders) > 0 {
		return c.lendersToAsk(lenders)
	}
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

// lendersToAsk returns the peers at the given addresses. Those that were unreachable
// recently come last.
func (c *Client) lendersToAsk(addresses []string) []controlnode.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reachable, unreachable []controlnode.Peer
	for _, address := range addresses {
		at, found := slices.BinarySearchFunc(c.peers, controlnode.Peer{Address: address}, comparePeers)
		switch {
		case !found:
		case time.Since(c.unreachable[address]) < unreachableRetention:
			unreachable = append(unreachable, c.peers[at])
		default:
			reachable = append(reachable, c.peers[at])
		}
	}
	return append(reachable, unreachable...)
}

// markUnreachable records that a request for tokens to a host failed.
func (c *Client) markUnreachable(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, at := range c.unreachable {
		if now.Sub(at) >= unreachableRetention {
			delete(c.unreachable, other)
		}
	}
	c.unreachable[address] = now
}
