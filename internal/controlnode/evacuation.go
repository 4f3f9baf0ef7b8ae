package controlnode

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
)

// Errors of Evacuate. The command had no effect.
var (
	// ErrInvalidZone means that the name of the zone does not satisfy fleetstate.ValidZone.
	ErrInvalidZone = eris.New("the name of the zone must have 1 to 64 printable characters and no slash")
	// ErrTooManyZones means that fleetstate.MaxEvacuatedZones zones are evacuated already.
	ErrTooManyZones = eris.New("too many zones are evacuated")
	// ErrOldVoters means that a voter may run a build that does not understand evacuations.
	ErrOldVoters = eris.New("not all voters of the control group are known to support evacuations")
)

// Results of an evacuation command, as used in logs.
const (
	evacuationStarted   = "started"
	evacuationEnded     = "ended"
	evacuationUnchanged = "unchanged"
	evacuationTooMany   = "too_many_zones"
	evacuationOldVoters = "voters_without_support"
	evacuationFailed    = "not_committed"
)

// Evacuate commits an evacuation command through the leader and returns the revision of the set of
// evacuated zones. After ErrUnavailable the command may still take effect.
func (n *Node) Evacuate(ctx context.Context, zone string, end bool) (uint64, error) {
	if !fleetstate.ValidZone(zone) {
		return 0, ErrInvalidZone
	}
	reply, err := callOnLeader(ctx, n, MethodEvacuate, &EvacuateRequest{Zone: zone, End: end}, n.evacuate,
		func(r *EvacuateReply) LeaderRedirect { return r.LeaderRedirect })
	switch {
	case err != nil:
		return 0, err
	case len(reply.OldVoters) > 0:
		return 0, ErrOldVoters
	case reply.Result.TooMany:
		return 0, ErrTooManyZones
	}
	return reply.Result.Revision, nil
}

// evacuate serves MethodEvacuate.
func (n *Node) evacuate(ctx context.Context, req *EvacuateRequest) (*EvacuateReply, error) {
	r, redirect := n.leaderOrRedirect()
	if r == nil {
		return &EvacuateReply{LeaderRedirect: redirect}, nil
	}
	if !fleetstate.ValidZone(req.Zone) {
		return nil, ErrInvalidZone
	}
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	// A new leader has applied all committed entries, which may name voters, only after a barrier.
	if _, err := r.Barrier(ctx); err != nil {
		return n.evacuationFailure(req, err)
	}
	voters, old := n.votersByFeature(r, fleetstate.FeatureEvacuations)
	if len(old) > 0 {
		logEvacuation(req, evacuationOldVoters, r.machine.Evacuations().Revision, "voters", old)
		return &EvacuateReply{OldVoters: old}, nil
	}
	result, err := propose(ctx, r, &fleetstate.Command{Evacuation: &fleetstate.Evacuation{Zone: req.Zone, End: req.End, Voters: voters}})
	if err != nil {
		return n.evacuationFailure(req, err)
	}
	logEvacuation(req, resultText(req, result.Evacuation), result.Evacuation.Revision)
	return &EvacuateReply{Result: result.Evacuation}, nil
}

func (n *Node) evacuationFailure(req *EvacuateRequest, err error) (*EvacuateReply, error) {
	logEvacuation(req, evacuationFailed, n.machine.Load().Evacuations().Revision, "error", err.Error())
	redirect, err := n.redirectFor(err)
	return &EvacuateReply{LeaderRedirect: redirect}, err
}

func resultText(req *EvacuateRequest, result fleetstate.EvacuationResult) string {
	switch {
	case result.TooMany:
		return evacuationTooMany
	case !result.Changed:
		return evacuationUnchanged
	case req.End:
		return evacuationEnded
	}
	return evacuationStarted
}

func logEvacuation(req *EvacuateRequest, result string, revision uint64, more ...any) {
	command := "start"
	if req.End {
		command = "end"
	}
	klog.InfoS("evacuation command", append([]any{"zone", req.Zone, "command", command, "result", result, "revision", revision}, more...)...)
}

// votersByFeature returns the ids of the voters, and the addresses of those that are not known to
// understand the log entries of a feature. A voter that this process has not heard from is known to
// understand them if the log says so of its replica, which keeps its id with its disk.
func (n *Node) votersByFeature(r *localReplica, feature int) (ids []uint64, old []string) {
	s, recorded := r.Status(), r.machine.Evacuations().Voters
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range s.Peers {
		if p.Learner {
			continue
		}
		ids = append(ids, p.ID)
		stated, heard := n.features[p.Address]
		_, inLog := slices.BinarySearch(recorded, p.ID)
		if p.ID != s.ID && stated < feature && (heard || !inLog) {
			old = append(old, p.Address)
		}
	}
	return ids, old
}

// Evacuations returns the evacuated zones that this host knows.
func (n *Node) Evacuations() *fleetstate.Evacuations {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newestEvacuations()
}

// newestEvacuations returns the evacuated zones that this host's replica has applied or that the
// leader has told it, whichever is newer. The caller holds n.mu.
func (n *Node) newestEvacuations() *fleetstate.Evacuations {
	newest := n.relay.evacuations
	if m := n.machine.Load(); m != nil && m.Evacuations().Revision >= newest.Revision {
		newest = m.Evacuations()
	}
	return newest
}

// evacuationsSince returns the evacuated zones for a host that knows them as of a revision; nil if
// that is the newest. The caller holds n.mu.
func (n *Node) evacuationsSince(known uint64) *EvacuatedZones {
	e := n.newestEvacuations()
	if e.Revision <= known {
		return nil
	}
	return &EvacuatedZones{Revision: e.Revision, Zones: e.Zones}
}

// applyEvacuations records the evacuated zones that the leader told this host. The caller holds
// node.mu.
func (r *relay) applyEvacuations(e *EvacuatedZones) {
	if e != nil && e.Revision > r.evacuations.Revision {
		r.evacuations = &fleetstate.Evacuations{Revision: e.Revision, Zones: e.Zones}
	}
}
