package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// gaugeInterval is the interval at which gauges are updated.
	gaugeInterval = time.Second
	// pathEvacuations is the path at a control host's metrics address that has the evacuated zones.
	pathEvacuations = "/evacuations"
)

// updateGatewayGauges updates the gauges of evacuations on a gateway until ctx ends.
func updateGatewayGauges(ctx context.Context, scope tally.Scope, pool *placement.Pool) {
	zones, excluded := scope.Gauge("evacuated_zones"), scope.Gauge("evacuated_upstreams")
	timing.Every(ctx, gaugeInterval, func() {
		status := pool.Evacuations()
		zones.Update(float64(status.Zones))
		excluded.Update(float64(status.Excluded))
	})
}

// evacuationsHandler answers with the evacuated zones that the control host knows, in JSON.
func evacuationsHandler(control *controlnode.Node) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		e := control.Evacuations()
		body := struct {
			Revision uint64   `json:"revision"`
			Zones    []string `json:"zones"`
		}{e.Revision, append([]string{}, e.Zones...)}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(body); err != nil {
			klog.V(2).InfoS("evacuated zones not sent", "error", err.Error()) // the operator disconnected
		}
	}
}
