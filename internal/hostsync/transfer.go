package hostsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// RPC methods that move tokens between gateway hosts.
const (
	methodTransfer = "/fleet/Transfer"
	methodReturn   = "/fleet/Return"
)

const (
	// transferTimeout bounds one request for tokens. The round trip between hosts takes a
	// few milliseconds, and the sender may have to report first, for at most reportTimeout. On a
	// congested link it takes longer, up to maxTransferTimeout.
	transferTimeout    = 120 * time.Millisecond
	maxTransferTimeout = 400 * time.Millisecond
	reportTimeout      = 80 * time.Millisecond
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
	// Whole asks the sender to send no less than Need.
	Whole bool `cbor:"6,keyasint,omitempty"`
}

// transferReply holds the number of tokens transferred, and how many the sender has left.
type transferReply struct {
	Tokens int64 `cbor:"1,keyasint,omitempty"`
	Free   int64 `cbor:"2,keyasint,omitempty"`
	// Wait is the time after which the sender may send the rest; 0 if it holds too few.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Balance is the organisation's balance as the sender knows it, as of BalanceAge ago; it is
	// not known if BalanceAge is 0.
	Balance    int64         `cbor:"4,keyasint,omitempty"`
	BalanceAge time.Duration `cbor:"5,keyasint,omitempty"`
}

// returnRequest hands the tokens that a borrower no longer needs to a holder.
type returnRequest struct {
	Organisation string `cbor:"1,keyasint"`
	Tokens       int64  `cbor:"2,keyasint"`
}

// returnReply acknowledges a returnRequest.
type returnReply struct{}

// NewServer returns the RPC server for calls from other gateway hosts.
func (c *Client) NewServer() *rpc.Server {
	srv := rpc.NewServer()
	c.registerWitness(srv)
	c.registerTableAge(srv)
	streamorigin.Register(srv, c.origins)
	rpc.Handle(srv, methodTransfer, c.handleTransfer)
	rpc.Handle(srv, methodReturn, c.handleReturn)
	rpc.Handle(srv, methodLendRetries, c.handleLendRetries)
	return srv
}

// handleTransfer serves methodTransfer. If the envelope allows too little but the host
// holds enough tokens, it reports to the control group first, provided that the request
// asks for it and the group is reachable.
func (c *Client) handleTransfer(ctx context.Context, req *transferRequest) (*transferReply, error) {
	reply := c.sendTokens(req)
	missing := req.Need - reply.Tokens
	if missing > 0 {
		if balance, age, known := c.allowance.Balance(req.Organisation, c.options.Clock()); known {
			reply.Balance, reply.BalanceAge = balance, max(age, 1)
		}
		reply.Wait = c.allowance.TransferWait(req.Organisation, missing, c.options.Clock())
	}
	if !req.ReportIfInsufficient || missing <= 0 || !c.ControlReachable(time.Now()) || !c.allowance.PrepareTransfer(req.Organisation, missing, c.options.Clock()) {
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if c.AwaitSync(ctx) {
		more := c.sendTokens(&transferRequest{Organisation: req.Organisation, To: req.To, Need: missing, Want: missing, Whole: req.Whole})
		reply.Tokens, reply.Free = reply.Tokens+more.Tokens, more.Free
	}
	return reply, nil
}

// sendTokens transfers tokens to another host, within this host's envelope.
func (c *Client) sendTokens(req *transferRequest) *transferReply {
	tokens, free := c.allowance.Transfer(req.Organisation, req.To, req.Need, req.Want, req.Whole, c.options.Clock())
	if tokens > 0 {
		klog.InfoS("transferred tokens to another host", "organisation", req.Organisation, "tokens", tokens,
			"need", req.Need, "free", free, "session", req.To)
	}
	return &transferReply{Tokens: tokens, Free: free}
}

// handleReturn serves methodReturn.
func (c *Client) handleReturn(_ context.Context, req *returnRequest) (*returnReply, error) {
	c.allowance.Receive(req.Organisation, req.Tokens)
	return &returnReply{}, nil
}

// ReturnTokens hands the tokens that this host borrowed and does not need to a holder, if it is a
// borrower. Those of a lost message reach the holder with the reports to the control group.
func (c *Client) ReturnTokens(organisation string) {
	lenders, borrows := c.allowance.Lenders(organisation)
	if !borrows {
		return
	}
	holders := c.lendersToAsk(lenders)
	if len(holders) == 0 {
		return
	}
	tokens := c.allowance.ReturnExcess(organisation, holders[0].Session, c.options.Clock())
	if tokens == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	_, err := rpc.Call[returnRequest, returnReply](ctx, c.rpc, holders[0].Address, methodReturn, &returnRequest{Organisation: organisation, Tokens: tokens})
	if err != nil {
		klog.InfoS("holder not told of returned tokens", "organisation", organisation, "tokens", tokens, "peer", holders[0].Address, "error", err.Error())
		c.markUnreachable(holders[0].Address)
		return
	}
	klog.V(1).InfoS("returned tokens to a holder", "organisation", organisation, "tokens", tokens, "peer", holders[0].Address)
}

// Borrows reports whether the host borrows the organisation's tokens from other hosts,
// which it should ask before the control group.
func (c *Client) Borrows(organisation string) bool {
	_, borrows := c.allowance.Lenders(organisation)
	return borrows
}

// FetchResult is the result of asking other hosts for tokens.
type FetchResult struct {
	// Received reports whether all tokens were received.
	Received bool
	// Answered reports whether any host answered.
	Answered bool
	// Wait is the time after which one of the hosts may send the rest; 0 if that is unknown.
	Wait time.Duration
}

// FetchTokens asks other hosts for need tokens, one after the other. If it receives less, those
// tokens stay on this host. Only the first hosts, which are known to hold the most, are asked to
// report if necessary. A borrower that no holder answers asks the control group with its next
// report.
func (c *Client) FetchTokens(ctx context.Context, organisation string, need int64) FetchResult {
	want := need + c.allowance.TokensAhead(organisation, c.options.Clock())
	peers := c.transferCandidates(organisation)
	whole := c.Borrows(organisation)
	var result FetchResult
	ask := func(i int, need, want int64) (tokens, free int64) {
		if ctx.Err() != nil {
			return 0, 0
		}
		reply, err := c.fetchFrom(ctx, peers[i], &transferRequest{
			Organisation: organisation, To: c.opening.Session, Need: need, Want: want,
			ReportIfInsufficient: i < maxReportingHosts, Whole: whole,
		})
		result.Answered = result.Answered || err == nil
		if reply.Tokens < need && reply.Wait > 0 && (result.Wait == 0 || reply.Wait < result.Wait) {
			result.Wait = reply.Wait
		}
		return reply.Tokens, reply.Free
	}
	if whole {
		result.Received = prepaid.Borrow(len(peers), need, want, ask)
	} else {
		result.Received = fetchParts(len(peers), need, want, ask)
	}
	if whole && !result.Answered {
		c.allowance.Request(organisation, need)
	}
	return result
}

// fetchParts asks hosts one after the other for what is still lacking, and reports whether it got
// need tokens.
func fetchParts(hosts int, need, want int64, ask func(host int, need, want int64) (tokens, free int64)) bool {
	for i := range hosts {
		tokens, _ := ask(i, need, want)
		need, want = need-tokens, want-tokens
		if need <= 0 {
			return true
		}
	}
	return false
}

// fetchFrom asks one host for tokens. A failed call is logged and also returns an empty reply.
func (c *Client) fetchFrom(ctx context.Context, peer controlnode.Peer, req *transferRequest) (*transferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.transferTimeout.Timeout())
	defer cancel()
	started := time.Now()
	reply, err := rpc.Call[transferRequest, transferReply](ctx, c.rpc, peer.Address, methodTransfer, req)
	switch {
	case err == nil:
		c.transferTimeout.Succeeded(time.Since(started))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.transferTimeout.TimedOut()
	}
	if err != nil {
		klog.InfoS("request for tokens failed", "organisation", req.Organisation, "peer", peer.Address, "error", err.Error())
		c.markUnreachable(peer.Address)
		return &transferReply{}, err
	}
	c.allowance.UpdateHolder(req.Organisation, peer.Session, reply.Free)
	if reply.BalanceAge > 0 {
		c.allowance.NoteBalance(req.Organisation, reply.Balance, c.options.Clock()-int64(reply.BalanceAge))
	}
	if reply.Tokens > 0 {
		c.allowance.Receive(req.Organisation, reply.Tokens)
		klog.InfoS("received tokens from another host", "organisation", req.Organisation, "tokens", reply.Tokens,
			"need", req.Need, "peer", peer.Address)
	}
	return reply, nil
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
		at, found := slices.BinarySearchFunc(c.peers, controlnode.Peer{Address: address}, controlnode.Peer.Compare)
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

// markUnreachable records that a request for tokens or retries to a host failed.
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
