package hostsync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// methodWitness notes how far a host opens its reserve.
const methodWitness = "/fleet/Witness"

const (
	// witnessTimeout bounds the call of one witness.
	witnessTimeout = 200 * time.Millisecond
	// reserveInterval is the time between two looks whether the reserve is to be opened.
	reserveInterval = 20 * time.Millisecond
)

type witnessRequest struct {
	Session  uint64            `cbor:"1,keyasint"`
	Seq      uint64            `cbor:"2,keyasint"`
	Ceilings []prepaid.Ceiling `cbor:"3,keyasint,omitempty"`
}

type witnessReply struct {
	Noted bool `cbor:"1,keyasint,omitempty"`
}

func (c *Client) handleWitness(srv *rpc.Server) {
	rpc.Handle(srv, methodWitness, func(_ context.Context, req *witnessRequest) (*witnessReply, error) {
		noted := c.witness.RecordCeilings(req.Session, req.Seq, req.Ceilings)
		klog.InfoS("ceilings of another host", "session", req.Session, "report", req.Seq, "noted", noted)
		return &witnessReply{Noted: noted}, nil
	})
}

// witnesses returns the sessions of the hosts that this one takes as witnesses:
// those that follow its own in the order of sessions, so that they spread.
func (c *Client) witnesses() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.opening.Session
	var list []uint64
	for _, p := range c.peers {
		if p.Session != own {
			list = append(list, p.Session)
		}
	}
	slices.SortFunc(list, func(a, b uint64) int { return cmp.Compare(a-own, b-own) })
	return list[:min(len(list), prepaid.MaxWitnesses)]
}

// openReserve opens the reserve, or more of it, when that is due and the witnesses note it.
func (c *Client) openReserve(ctx context.Context) {
	opening := c.allowance.DueReserveOpening(c.options.Clock())
	if opening == nil {
		return
	}
	noted := c.askWitnesses(ctx, opening)
	opened := c.allowance.OpenReserve(opening, noted)
	klog.InfoS("ceilings noted: the control group is away", "report", opening.Seq, "witnesses", len(noted), "in_force", opened)
}

func (c *Client) askWitnesses(ctx context.Context, o *prepaid.ReserveOpening) []uint64 {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var mu sync.Mutex
	var noted []uint64
	var asked sync.WaitGroup
	for _, peer := range c.peersIn(o.WitnessLists) {
		asked.Go(func() {
			req := &witnessRequest{Session: o.Session, Seq: o.Seq, Ceilings: o.Ceilings}
			reply, err := rpc.Call[witnessRequest, witnessReply](ctx, c.rpc, peer.Address, methodWitness, req)
			if err != nil || !reply.Noted {
				return // the host counts as one that has not noted it
			}
			mu.Lock()
			defer mu.Unlock()
			noted = append(noted, peer.Session)
		})
	}
	asked.Wait()
	return noted
}

func (c *Client) peersIn(lists [][]uint64) []controlnode.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []controlnode.Peer
	for _, p := range c.peers {
		if slices.ContainsFunc(lists, func(list []uint64) bool { return slices.Contains(list, p.Session) }) {
			found = append(found, p)
		}
	}
	return found
}

// answer states what this host has noted of dead sessions.
func (c *Client) answer(questions []prepaid.CeilingQuery) []prepaid.CeilingAnswer {
	var statements []prepaid.CeilingAnswer
	for _, q := range questions {
		statements = append(statements, prepaid.CeilingAnswer{Session: q.Session, Ceilings: c.witness.Answer(q)})
	}
	return statements
}
