package controlnode

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// foundingCallTimeout limits one question to another founder.
	foundingCallTimeout = time.Second
	// foundingRetryInterval is the delay between two rounds of questions.
	foundingRetryInterval = 50 * time.Millisecond
	// founderWait is the time for which a founder waits for the answers of all others. One that starts later
	// joins the group.
	founderWait = time.Second
	// initialTerm is the term of a group that has not elected a leader yet.
	initialTerm = 1
)

// FoundingRequest asks a control host whether the group exists.
type FoundingRequest struct{}

// FoundingReply tells whether the group exists, as far as the host knows.
type FoundingReply struct {
	// Founded reports that the group has elected a leader, or that the host was a member before.
	Founded bool `cbor:"1,keyasint,omitempty"`
	// Founders are the founders of the group that the host is about to found; empty if it is none of them.
	Founders []replication.Peer `cbor:"2,keyasint,omitempty"`
}

// founding serves MethodFounding.
func (n *Node) founding(context.Context, *FoundingRequest) (*FoundingReply, error) {
	s, running := n.Status()
	if n.wasMember.Load() || running && s.Term > initialTerm {
		return &FoundingReply{Founded: true}, nil
	}
	reply := &FoundingReply{}
	if id := n.founds.Load(); id != nil {
		reply.Founders = id.Founders
	}
	return reply, nil
}

// founder returns the identity of a host that founds the group, and nil if this is none.
func (n *Node) founder() *identity {
	seeds := slices.Clone(n.options.Seeds())
	if !n.options.Bootstrap || !slices.Contains(seeds, n.options.Address) {
		return nil
	}
	id := &identity{}
	// All founders must number the replicas alike, whatever the order of their seeds.
	slices.Sort(seeds)
	for i, address := range slices.Compact(seeds) {
		p := replication.Peer{ID: uint64(i + 1), Address: address}
		id.Founders = append(id.Founders, p)
		if address == n.options.Address {
			id.ReplicaID = p.ID
		}
	}
	id.Group = newGroupID(id.Founders)
	return id
}

// confirmFounding waits until a majority of the founders has said that the group does not exist, and returns
// false if one says that it does. The disk of this founder is lost then, or it starts late: as the replica that
// it was meant to be it could vote twice.
func (n *Node) confirmFounding(ctx context.Context, id *identity) (bool, error) {
	n.founds.Store(id)
	founders := id.Founders
	waitUntil := time.Now().Add(founderWait)
	for {
		answered, founded := n.askFounders(ctx, founders)
		switch {
		case founded:
			n.founds.Store(nil)
			klog.InfoS("the group exists; joining it instead of founding one")
			return false, nil
		case answered == len(founders), answered > len(founders)/2 && !time.Now().Before(waitUntil):
			return true, nil
		}
		if !timing.Sleep(ctx, foundingRetryInterval) {
			return false, ctx.Err()
		}
	}
}

// askFounders asks all other founders at once. It returns how many, this one included, are about to found the
// same group, and whether one knows that it exists.
func (n *Node) askFounders(ctx context.Context, founders []replication.Peer) (founding int, founded bool) {
	ctx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range founders {
		if p.Address == n.options.Address {
			mu.Lock()
			founding++
			mu.Unlock()
			continue
		}
		calls.Go(func() {
			reply, err := rpc.Call[FoundingRequest, FoundingReply](ctx, n.rpc, p.Address, MethodFounding, &FoundingRequest{})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case rpc.IsUnregistered(err):
				founding++ // an earlier build doesn't say
			case err != nil:
			case reply.Founded:
				founded = true
			case slices.Equal(reply.Founders, founders):
				founding++
			}
		})
	}
	calls.Wait()
	return founding, founded
}
