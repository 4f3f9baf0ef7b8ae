package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// addCrashes records crashes that hosts reported. The caller holds n.mu.
func (n *Node) addCrashes(crashes []Crash, now time.Time) {
	for _, c := range crashes {
		at := now.Add(-c.Age)
		n.crashes.AddCrash(crashcause.Crash{
			Upstream: c.Upstream, StartedMS: c.StartedMS, Fingerprint: c.Fingerprint, Segments: c.Segments,
			SentAt: at.Add(-c.Ran), CrashedAt: at,
		})
	}
}

// addTraits records what a call says of the traits of requests. The caller holds n.mu.
func (n *Node) addTraits(req *SyncRequest, now time.Time) {
	for _, s := range req.Sound {
		n.crashes.AddSound(s.Trait, now.Add(-s.Age))
	}
	for _, trait := range req.Quarantined {
		n.crashes.Adopt(trait, now)
	}
}
