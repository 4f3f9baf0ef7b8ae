package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// maintainInterval is the interval of the updates of the gauges and the registry.
const maintainInterval = time.Second

// gauges are the metrics of the host's current state.
type gauges struct {
	ready            tally.Gauge
	revision         tally.Gauge
	inFlightRequests tally.Gauge
	upstreams        tally.Gauge
	upstreamsUsable  tally.Gauge
	leader           tally.Gauge
	canLose          tally.Gauge
	applied          tally.Gauge
}

func newGauges(scope tally.Scope) *gauges {
	return &gauges{
		ready:            scope.Gauge("ready"),
		revision:         scope.Gauge("configuration_revision"),
		inFlightRequests: scope.Gauge("open_requests"),
		upstreams:        scope.Gauge("upstreams"),
		upstreamsUsable:  scope.Gauge("upstreams_usable"),
		leader:           scope.Gauge("replica_leads"),
		canLose:          scope.Gauge("replicas_can_lose"),
		applied:          scope.Gauge("replica_applied_index"),
	}
}

// maintain updates the gauges and removes expired upstreams from the registry until ctx
// ends.
func (d *Daemon) maintain(ctx context.Context) {
	g := newGauges(d.metrics.Scope)
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		d.registry.Expire(time.Now())
		d.setHostGauges(g)
		d.setReplicaGauges(g)
		d.clients.UpdateGauges()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Daemon) setHostGauges(g *gauges) {
	g.ready.Update(boolGauge(d.ready() == nil))
	g.revision.Update(float64(d.session.View().Revision()))
	g.inFlightRequests.Update(float64(d.handler.InFlightRequests()))
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

// setReplicaGauges updates the gauges of a host with a control replica. Only the leader
// knows how many voters the group can lose.
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
	g.leader.Update(boolGauge(leads))
	g.applied.Update(float64(status.Applied))
	g.canLose.Update(float64(status.CanLose))
}

func boolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
