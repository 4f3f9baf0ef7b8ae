package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// addCrashes records what a call says of the requests that crash upstreams. The caller holds n.mu.
func (n *Node) addCrashes(req *SyncRequest, now time.Time) {
	n.crashes.Apply(&crashcause.Report{Crashes: req.Crashes, Sound: req.Sound, Quarantined: req.Quarantined}, now)
}
