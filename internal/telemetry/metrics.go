package telemetry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// reportInterval is the interval between updates of the exported metrics.
const reportInterval = time.Second

// metricsPrefix is the prefix of every metric name.
const metricsPrefix = "godwitbend"

// Names of the refusal and retry counters and of their tags.
const (
	CounterRefusals = "refusals"
	CounterRetries  = "retries"
	// CounterStreamsNotResumed counts the resumed streams that were refused.
	CounterStreamsNotResumed = "streams_not_resumed"
	// CounterStreamsEndedEarly counts the streams that had begun and were not delivered whole.
	CounterStreamsEndedEarly = "streams_ended_early"
	// CounterStreamsInStops counts, on control hosts, the streams that gateways report in their stops.
	CounterStreamsInStops = "streams_in_stops"
	// CounterRunMoves counts the moves of runs of streams to other upstreams.
	CounterRunMoves = "run_moves"
	TagKind         = "kind"
	TagOutcome      = "outcome"
	TagReason       = "reason"
	TagEndedBy      = "ended_by"
	TagStopping     = "stopping"
)

// Metrics holds the root scope of a process's metrics and the handler that exports them.
type Metrics struct {
	// Scope is the root of all metrics.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a process. The refusal counter of every error kind
// is exported from the start, with the value zero.
func NewMetrics() (*Metrics, error) {
	registry := prom.NewRegistry()
	if err := registerProcessCollectors(registry); err != nil {
		return nil, err
	}
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError: func(err error) {
			klog.ErrorS(err, "registering a metric failed")
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricsPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	for _, kind := range errkind.Kinds() {
		Refusal(scope, kind).Inc(0)
	}
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}, nil
}

// registerProcessCollectors adds the metrics of the Go runtime and of the process.
func registerProcessCollectors(registry *prom.Registry) error {
	for _, c := range []prom.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(c); err != nil {
			return eris.Wrap(err, "register the process metrics")
		}
	}
	return nil
}

// Close reports the final values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// Refusal returns the counter of requests refused with an error of kind.
func Refusal(scope tally.Scope, kind errkind.Kind) tally.Counter {
	return scope.Tagged(map[string]string{TagKind: string(kind)}).Counter(CounterRefusals)
}

// Retry returns the counter of retries made for reason.
func Retry(scope tally.Scope, reason string) tally.Counter {
	return scope.Tagged(map[string]string{TagReason: reason}).Counter(CounterRetries)
}

// StreamNotResumed returns the counter of resumed streams that were refused for reason.
func StreamNotResumed(scope tally.Scope, reason string) tally.Counter {
	return scope.Tagged(map[string]string{TagReason: reason}).Counter(CounterStreamsNotResumed)
}

// StreamEndedEarly returns the counter of streams that had begun and were not delivered whole, by who ended them and whether
// the host was stopping.
func StreamEndedEarly(scope tally.Scope, endedBy string, stopping bool) tally.Counter {
	return scope.Tagged(map[string]string{TagEndedBy: endedBy, TagStopping: strconv.FormatBool(stopping)}).Counter(CounterStreamsEndedEarly)
}

// RunMove returns the counter of moves of runs to other upstreams, by outcome.
func RunMove(scope tally.Scope, outcome string) tally.Counter {
	return scope.Tagged(map[string]string{TagOutcome: outcome}).Counter(CounterRunMoves)
}

// StreamInStop returns the counter of streams that gateways reported in their stops, by who ended them.
func StreamInStop(scope tally.Scope, endedBy string) tally.Counter {
	return scope.Tagged(map[string]string{TagEndedBy: endedBy}).Counter(CounterStreamsInStops)
}
