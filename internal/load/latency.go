package load

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/harness"
)

const (
	// latencyCalls is the number of calls in each measurement of latency.
	latencyCalls = 150
	// configurationChanges is the number of configuration changes that are timed.
	configurationChanges = 8
)

// MeasureAddedLatency writes the latency that the gateways add to a repeatable call on an idle
// site, with the latency of the upstream itself as the baseline.
func (s *Site) MeasureAddedLatency(ctx context.Context, r *Report) error {
	d := s.opts.Deployment
	organisation := d.Organisations[0]
	caller := harness.Caller{Key: s.Key(organisation + "-" + d.Classes[0].Name)}
	path := "/diary"
	if d.Service == "numbering" {
		path = "/series/" + organisation
	}
	service := s.Upstreams[len(s.Upstreams)-1]
	viaGateway, err := measureCalls(ctx, caller, func(i int) harness.Call {
		host := s.Hosts[i%len(s.Hosts)]
		return harness.Call{Method: http.MethodGet, URL: host.CallersURL(), Path: "/services/" + d.Service + path}
	})
	if err != nil {
		return err
	}
	direct, err := measureCalls(ctx, caller, func(i int) harness.Call {
		address := service.Addresses[i%len(service.Addresses)]
		return harness.Call{Method: http.MethodGet, URL: "http://" + address, Path: path}
	})
	if err != nil {
		return err
	}
	for _, q := range []float64{50, 99} {
		base := milliseconds(direct, q)
		added := milliseconds(viaGateway, q) - base
		if err := r.Add(fmt.Sprintf("added_latency_p%.0f_ms", q), added, "ms", &base); err != nil {
			return err
		}
	}
	return nil
}

// measureCalls sends calls one after another and returns their durations in microseconds.
func measureCalls(ctx context.Context, caller harness.Caller, call func(i int) harness.Call) (*hdrhistogram.Histogram, error) {
	h := newHistogram()
	for i := range latencyCalls {
		start := time.Now()
		a, err := caller.Do(ctx, call(i))
		if err != nil {
			return nil, err
		}
		if a.Status != http.StatusOK {
			return nil, eris.Errorf("latency measurement: status %d: %s", a.Status, a.Body)
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	return h, nil
}

// MeasureConfigurationDelay writes the longest time from a change of a class until it is accepted,
// which is when every live host applies it.
func (s *Site) MeasureConfigurationDelay(ctx context.Context, r *Report) error {
	class := s.opts.Deployment.Classes[0]
	h := newHistogram()
	for i := range configurationChanges {
		start := time.Now()
		host := s.Hosts[i%len(s.Hosts)]
		limit := fmt.Sprint(class.Spec.QueueLimit + i%2)
		if _, err := s.Ctl(ctx, host, "class", "apply", class.Name, "--queue-limit", limit); err != nil {
			return err
		}
		_ = h.RecordValue(time.Since(start).Microseconds())
	}
	return r.Add("config_in_force_ms", milliseconds(h, 100), "ms", nil)
}
