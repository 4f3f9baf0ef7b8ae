package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// maintainInterval is the time between two updates of the gauges and the registry.
const maintainInterval = time.Second

// gauges show the present state of the host on its metrics page.
type gauges struct {
	ready           tally.Gauge
	revision        tally.Gauge
	openRequests    tally.Gauge
	upstreams       tally.Gauge
	upstreamsUsable tally.Gauge
	leader          tally.Gauge
	canLose         tally.Gauge
	applied         tally.Gauge
}

func newGauges(scope tally.Scope) *gauges {
	return &gauges{
		ready:           scope.Gauge("ready"),
		revision:        scope.Gauge("configuration_revision"),
		openRequests:    scope.Gauge("open_requests"),
		upstreams:       scope.Gauge("upstreams"),
		upstreamsUsable: scope.Gauge("upstreams_usable"),
		leader:          scope.Gauge("replica_leads"),
		canLose:         scope.Gauge("replicas_can_lose"),
		applied:         scope.Gauge("replica_applied_index"),
	}
}

// maintain keeps the gauges up to date and forgets upstreams that have been silent
// for long, until ctx ends.
func (d *Daemon) maintain(ctx context.Context) {
	g := newGauges(d.metrics.Scope)
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		d.registry.Expire(time.Now())
		d.setHostGauges(g)
		d.setReplicaGauges(g)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) setHostGauges(g *gauges) {
	g.ready.Update(oneIf(d.ready() == nil))
	g.revision.Update(float64(d.session.View().Revision()))
	g.openRequests.Update(float64(d.handler.InFlightRequests()))
	entries := d.registry.Snapshot().Entries
	usable := 0
	for _, e := range entries {
		if e.Usable(time.Now(), d.settings.UpstreamTimeout.Duration) {
			usable++
		}
	}
	g.upstreams.Update(float64(len(entries)))
	g.upstreamsUsable.Update(float64(usable))
}

// setReplicaGauges sets the gauges of a host with a control replica. Only the leader
// knows how many voters can be lost.
func (d *Daemon) setReplicaGauges(g *gauges) {
	if d.replica == nil {
		return
	}
	r := d.replica.server.Replica()
	if r == nil {
		return
	}
	status := r.Status()
	leads := status.Leader == status.ID
	g.leader.Update(oneIf(leads))
	g.applied.Update(float64(status.Applied))
	g.canLose.Update(float64(status.CanLose))
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
