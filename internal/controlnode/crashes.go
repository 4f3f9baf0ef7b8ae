package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// crashReport returns what a call says of the requests that crash upstreams.
func crashReport(req *SyncRequest) *crashcause.Report {
	return &crashcause.Report{Crashes: req.Crashes, Sound: req.Sound, Quarantined: req.Quarantined, QuarantineAges: req.QuarantineAges}
}

// addCrashes records what a call says of the requests that crash upstreams. The caller holds n.mu.
func (n *Node) addCrashes(req *SyncRequest, now time.Time) { n.crashes.Apply(crashReport(req), now) }

// addRelayedCrashes records what a call to this host, which is not the leader, says of crashes. The leader
// alone adopts quarantines. The caller holds n.mu.
func (n *Node) addRelayedCrashes(req *SyncRequest, now time.Time) {
	n.crashes.Apply(&crashcause.Report{Crashes: req.Crashes, Sound: req.Sound}, now)
}

// crashPosition identifies what one control host has of another one's evidence of crashes.
type crashPosition struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// crashesSince returns the evidence of crashes that another control host lacks; nil if it lacks none or
// does not ask. The caller holds n.mu.
func (n *Node) crashesSince(known *crashPosition, now time.Time) *crashcause.Evidence {
	if known == nil {
		return nil
	}
	revision := known.Revision
	if known.Epoch != n.epoch {
		revision = 0
	}
	evidence := n.crashes.EvidenceSince(revision, now)
	if evidence != nil {
		evidence.Epoch = n.epoch
	}
	return evidence
}

// mergeCrashes adds the evidence of crashes that another control host replied with to a call made at asked.
func (n *Node) mergeCrashes(address string, evidence *crashcause.Evidence, asked time.Time) {
	if evidence == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashes.Merge(evidence, asked, time.Now())
	n.crashPositions[address] = crashPosition{evidence.Epoch, evidence.Revision}
}
