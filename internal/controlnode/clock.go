package controlnode

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// clock reads the boot-time clock of this host.
func (n *Node) clock() prepaid.ClockReading {
	return prepaid.ClockReading{Process: n.epoch, Time: int64(timing.BootTime())}
}

// proposeLedgerRule puts the next rule of the ledger in force, if the settings say so and once all members, also those without a vote, have
// stated to this process that they understand it. Until then replicas of the build before would keep another ledger.
func (n *Node) proposeLedgerRule(ctx context.Context, r *localReplica) {
	if n.nextLedgerRule(r) == nil || !n.admissions.TryLock() {
		return
	}
	n.goRun(func() {
		defer n.admissions.Unlock()
		n.commitLedgerRule(ctx, r)
	})
}

// nextLedgerRule returns the entry that puts the next rule of the ledger in force, or nil if all are or a member is not known
// to understand it.
func (n *Node) nextLedgerRule(r *localReplica) *fleetstate.Command {
	switch {
	case n.options.BootClocks && !r.machine.BootClocks() && n.allUnderstand(r, fleetstate.FeatureBootClocks):
		return &fleetstate.Command{BootClocks: true}
	case n.options.ClockAgreement && !r.machine.ClockAgreement() && !r.machine.BootClocks() && n.allUnderstand(r, fleetstate.FeatureClockAgreement):
		return &fleetstate.Command{ClockAgreement: true}
	}
	return nil
}

func (n *Node) commitLedgerRule(ctx context.Context, r *localReplica) {
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	// A new leader may not have applied the entry yet, or may lack an admission that is committed.
	if _, err := r.Barrier(ctx); err != nil {
		return
	}
	rule := n.nextLedgerRule(r)
	if rule == nil {
		return
	}
	if _, err := propose(ctx, r, rule); err != nil {
		klog.InfoS("a rule of the ledger is not in force yet", "error", err.Error())
		return
	}
	if rule.BootClocks {
		klog.InfoS("the ledger uses boot-time clocks: all members of the control group understand that")
	} else {
		klog.InfoS("the ledger uses wall clocks only where they agree: all members of the control group understand that")
	}
}

// logEarlierBuilds names the members that have stated a build which ignores an entry that changed the rules of the ledger, so that
// their ledgers differ: hosts that were started with an earlier build after the entry was committed.
func (n *Node) logEarlierBuilds(r *localReplica) {
	needed := r.machine.NeededFeatures()
	s := r.Status()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range peersOf(s) {
		if features, stated := n.features[p.Address]; stated && features < needed {
			klog.ErrorS(nil, "a control host runs a build that doesn't understand the log: it keeps another ledger", "address", p.Address,
				"replica", p.ID, "features", features, "needed", needed)
		}
	}
}

// allUnderstand reports whether this host understands the log entries of a feature and each other member of the group has
// stated to this process, within controlHostTimeout, that it does. One that is down may come back with an earlier build.
func (n *Node) allUnderstand(r *localReplica, feature int) bool {
	s := r.Status()
	since := time.Now().Add(-controlHostTimeout)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.understands >= feature && !slices.ContainsFunc(peersOf(s), func(p replication.Peer) bool {
		return p.ID != s.ID && (n.features[p.Address] < feature || n.controlHosts[p.Address].heardAt.Before(since))
	})
}
