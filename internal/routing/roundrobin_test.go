package routing

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
)

// roundRobin is the baseline: it cycles through the usable upstreams.
type roundRobin struct {
	next int
}

func (r *roundRobin) Choose(req *Request, snap *registry.Snapshot, now time.Time, _ Random) (*registry.Entry, error) {
	all := snap.Pool(req.Service).All
	for range all {
		e := all[r.next%len(all)]
		r.next++
		if req.Allowed(e.ID, e.State().Zone) && e.Usable(now, registry.DefaultUpstreamTimeout) {
			return e, nil
		}
	}
	return nil, errkind.New(errkind.NoUpstream, "no usable upstream")
}
