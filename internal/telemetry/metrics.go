package telemetry

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// reportInterval is the time between two updates of the exported metrics.
const reportInterval = time.Second

// metricsPrefix starts the name of each metric.
const metricsPrefix = "godwitbend"

// Names of the counters of refusals and retries, and of their tags.
const (
	CounterRefusals = "refusals"
	CounterRetries  = "retries"
	TagKind         = "kind"
	TagReason       = "reason"
)

// Metrics is the root scope of a process and the handler that exports it.
type Metrics struct {
	// Scope is the root of all metrics.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a process. The counter of refusals of each
// kind of the closed list exists from the start, at zero.
func NewMetrics() (*Metrics, error) {
	registry := prom.NewRegistry()
	if err := registerProcess(registry); err != nil {
		return nil, err
	}
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError: func(err error) {
			klog.ErrorS(err, "metric not registered")
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

// registerProcess adds the metrics of the Go runtime and of the process.
func registerProcess(registry *prom.Registry) error {
	for _, c := range []prom.Collector{
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	} {
		if err := registry.Register(c); err != nil {
			return eris.Wrap(err, "register the metrics of the process")
		}
	}
	return nil
}

// Close reports the last values and stops the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }

// Refusal returns the counter of requests refused with kind.
func Refusal(scope tally.Scope, kind errkind.Kind) tally.Counter {
	return scope.Tagged(map[string]string{TagKind: string(kind)}).Counter(CounterRefusals)
}

// Retry returns the counter of requests tried again for reason.
func Retry(scope tally.Scope, reason string) tally.Counter {
	return scope.Tagged(map[string]string{TagReason: reason}).Counter(CounterRetries)
}
