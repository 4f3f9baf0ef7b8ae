package hostsync

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
)

// applyEvacuations applies the evacuated zones in a reply, if there are any and they are newer. It
// must be called before the reply's upstreams are applied, so that none in these zones is used.
func (c *Client) applyEvacuations(reply *controlnode.SyncReply) {
	e := reply.Evacuations
	if e == nil {
		return
	}
	change := c.options.Pool.ApplyEvacuations(e.Revision, e.Zones, time.Now())
	if change == nil {
		return
	}
	klog.InfoS("evacuated zones changed", "revision", e.Revision, "zones", e.Zones, "started", change.Started, "ended", change.Ended,
		"upstreams_excluded", change.Excluded)
}
