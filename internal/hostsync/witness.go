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
	"github.com/godwitbend/godwitbend/internal/timing"
)

// methodWitness is the RPC method that records the ceilings of a host that opens its reserve.
const methodWitness = "/fleet/Witness"

const (
	// witnessTimeout bounds the calls to the witnesses.
	witnessTimeout = 200 * time.Millisecond
	// reserveCheckInterval is the minimum time between two checks whether opening the reserve
	// is due, and maxReserveCheckInterval the maximum.
	reserveCheckInterval    = 20 * time.Millisecond
	maxReserveCheckInterval = 160 * time.Millisecond
)

type witnessRequest struct {
	Session  uint64            `cbor:"1,keyasint"`
	Seq      uint64            `cbor:"2,keyasint"`
	Ceilings []prepaid.Ceiling `cbor:"3,keyasint,omitempty"`
}

type witnessReply struct {
	Recorded bool `cbor:"1,keyasint,omitempty"`
}

func (c *Client) registerWitness(srv *rpc.Server) {
	rpc.Handle(srv, methodWitness, func(_ context.Context, req *witnessRequest) (*witnessReply, error) {
		recorded := c.witness.RecordCeilings(req.Session, req.Seq, req.Ceilings)
		klog.InfoS("received ceilings from another host", "session", req.Session, "report", req.Seq, "noted", recorded)
		return &witnessReply{Recorded: recorded}, nil
	})
}

// witnesses returns the sessions of the hosts that act as witnesses of this one: those
// that follow its own session in numerical order, so that the role is spread evenly.
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

// maintainReserve opens the reserve whenever that is due, until ctx ends. Hosts of a large
// fleet seldom hold tokens to spend, so they check less often while nothing is due.
func (c *Client) maintainReserve(ctx context.Context) {
	interval := reserveCheckInterval
	var last openingResult
	for timing.Sleep(ctx, max(c.allowance.ReserveCheckIn(c.options.Clock()), interval)) {
		result := c.openReserve(ctx)
		if result != last && result.due {
			klog.InfoS("witnesses recorded ceilings: control group unreachable", "report", result.report, "witnesses", result.witnesses, "in_force", result.opened)
		}
		last = result
		if result.due || !c.allowance.Concentrated() {
			interval = reserveCheckInterval
		} else {
			interval = min(2*interval, maxReserveCheckInterval)
		}
	}
}

// openingResult is the result of one attempt to open the reserve.
type openingResult struct {
	// due is false if nothing was due.
	due bool
	// report is the number of the latest acknowledged report, and witnesses how many hosts
	// have recorded the ceilings.
	report    uint64
	witnesses int
	opened    bool
}

// openReserve opens the reserve, or more of it, if that is due and the witnesses have
// recorded the ceilings.
func (c *Client) openReserve(ctx context.Context) openingResult {
	opening := c.allowance.DueReserveOpening(c.options.Clock())
	if opening == nil {
		return openingResult{}
	}
	recorded := c.askWitnesses(ctx, opening)
	return openingResult{
		due: true, report: opening.Seq, witnesses: len(recorded), opened: c.allowance.OpenReserve(opening, recorded),
	}
}

// askWitnesses sends the ceilings to the witnesses, and returns the sessions of those that
// have recorded them.
func (c *Client) askWitnesses(ctx context.Context, o *prepaid.ReserveOpening) []uint64 {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var mu sync.Mutex
	var recorded []uint64
	var calls sync.WaitGroup
	for _, peer := range c.peersInLists(o.WitnessLists) {
		calls.Go(func() {
			req := &witnessRequest{Session: o.Session, Seq: o.Seq, Ceilings: o.Ceilings}
			reply, err := rpc.Call[witnessRequest, witnessReply](ctx, c.rpc, peer.Address, methodWitness, req)
			if err != nil || !reply.Recorded {
				return // an error counts as not recorded
			}
			mu.Lock()
			defer mu.Unlock()
			recorded = append(recorded, peer.Session)
		})
	}
	calls.Wait()
	return recorded
}

// peersInLists returns the peers whose sessions any of the lists contains.
func (c *Client) peersInLists(lists [][]uint64) []controlnode.Peer {
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

// answerCeilingQueries returns the ceilings that this host has recorded as a witness of
// the sessions that the control group queries.
func (c *Client) answerCeilingQueries(queries []prepaid.CeilingQuery) []prepaid.CeilingAnswer {
	var answers []prepaid.CeilingAnswer
	for _, q := range queries {
		answers = append(answers, prepaid.CeilingAnswer{Session: q.Session, Ceilings: c.witness.Answer(q)})
	}
	return answers
}
