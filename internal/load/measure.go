package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/audit"
)

const (
	maxRecordedTime   = 10 * time.Minute
	significantDigits = 3
	mebibyte          = 1 << 20
)

// Measure is one measurement, as it is written.
type Measure struct {
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Baseline is the value of the baseline run, if there is one.
	Baseline *float64 `json:"baseline,omitempty"`
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
}

// Report writes the measures of one scenario as JSON lines.
type Report struct {
	Out      io.Writer
	Scenario string
	Seed     uint64
}

// Add writes one measure. The baseline may be nil.
func (r *Report) Add(name string, value float64, unit string, baseline *float64) error {
	line, err := json.Marshal(Measure{
		Measure: name, Value: value, Unit: unit, Baseline: baseline, Scenario: r.Scenario, Seed: r.Seed,
	})
	if err != nil {
		return eris.Wrap(err, "encode measure")
	}
	_, err = fmt.Fprintf(r.Out, "%s\n", line)
	return eris.Wrap(err, "write measure")
}

// figure is a named value with its unit.
type figure struct {
	name  string
	value float64
	unit  string
}

// AddRunResult writes the measures of a run with those of the baseline run, which may be nil.
func (r *Report) AddRunResult(result, baseline *RunResult) error {
	figures := findingFigures(result.Findings)
	figures = append(figures, latencyFigures(result)...)
	figures = append(figures, usageFigures(result)...)
	baselineValues := baselineFigures(baseline)
	for _, f := range figures {
		var baselineValue *float64
		if value, ok := baselineValues[f.name]; ok {
			baselineValue = &value
		}
		if err := r.Add(f.name, f.value, f.unit, baselineValue); err != nil {
			return err
		}
	}
	return nil
}

// baselineFigures returns the figures that also apply to the baseline, by name. The baseline has
// no bills, so figures that depend on them are left out.
func baselineFigures(baseline *RunResult) map[string]float64 {
	values := map[string]float64{}
	if baseline == nil {
		return values
	}
	for _, f := range latencyFigures(baseline) {
		values[f.name] = f.value
	}
	for _, f := range findingFigures(baseline.Findings) {
		switch f.name {
		case "served_share", "double_runs", "wrong_answers", "wasted_tokens", "unanswered", "prefix_hit_ratio":
			values[f.name] = f.value
		}
	}
	return values
}

// findingFigures returns the figures of the audit. Refusals by kind follow the others, sorted by
// name.
func findingFigures(f *audit.Findings) []figure {
	figures := []figure{
		{"requests", float64(f.Requests), "requests"},
		{"served_share", float64(f.Served) / float64(max(1, f.Requests)), "ratio"},
		{"unanswered", float64(f.Unanswered), "requests"},
		{"overspend_tokens", float64(f.OverspendTokens), "tokens"},
		{"false_refusal_ratio", f.FalseRefusalRatio(), "ratio"},
		{"double_runs", float64(f.DoubleRuns), "runs"},
		{"double_bills", float64(f.DoubleBills), "bills"},
		{"unbilled_runs", float64(f.UnbilledRuns), "runs"},
		{"untrue_not_run", float64(f.UntrueNotRun), "answers"},
		{"wrong_answers", float64(f.WrongAnswers), "answers"},
		{"cut_off_streams", float64(f.AbortedStreams), "streams"},
		{"new_work_after_leaving", float64(f.NewWorkAfterLeaving), "requests"},
		{"wasted_tokens", float64(f.WastedTokens), "tokens"},
		{"prefix_hit_ratio", f.PrefixHitRatio(), "ratio"},
	}
	unsorted := len(figures)
	for kind, n := range f.FalseRefusals {
		figures = append(figures, figure{"false_refusals_" + string(kind), float64(n), "requests"})
	}
	for kind, n := range f.RefusalAnswers {
		figures = append(figures, figure{"refusal_answers_" + string(kind), float64(n), "answers"})
	}
	slices.SortFunc(figures[unsorted:], func(a, b figure) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return figures
}

// latencyFigures returns the time to first token by class and, if something failed, the failover
// time.
func latencyFigures(result *RunResult) []figure {
	byClass := map[string]*hdrhistogram.Histogram{}
	var classes []string
	for _, s := range result.Samples {
		h := byClass[s.Class]
		if h == nil {
			h = newHistogram()
			byClass[s.Class] = h
			classes = append(classes, s.Class)
		}
		_ = h.RecordValue(s.TimeToFirstToken.Microseconds())
	}
	slices.Sort(classes)
	var figures []figure
	for _, c := range classes {
		figures = append(figures,
			figure{"first_token_p50_ms_" + c, milliseconds(byClass[c], 50), "ms"},
			figure{"first_token_p95_ms_" + c, milliseconds(byClass[c], 95), "ms"})
	}
	if !result.FailedAt.IsZero() {
		figures = append(figures, figure{"failover_ms", failoverMilliseconds(result), "ms"})
	}
	return figures
}

// failoverMilliseconds returns the time from the failure to the first complete answer to a call
// that was sent after the failure.
func failoverMilliseconds(result *RunResult) float64 {
	failed := result.FailedAt.UnixMilli()
	first := int64(-1)
	for i := range result.Requests {
		for _, a := range result.Requests[i].Answers {
			if a.Complete && a.SentMS >= failed && (first < 0 || a.ReceivedMS < first) {
				first = a.ReceivedMS
			}
		}
	}
	return float64(first - failed)
}

// usageFigures returns the resource usage of the daemons. It is known only for runs without an
// injected failure.
func usageFigures(result *RunResult) []figure {
	if result.Usage.CPUTime == 0 {
		return nil
	}
	requests := float64(max(1, result.Findings.Requests))
	return []figure{
		{"cpu_us_per_request", float64(result.Usage.CPUTime.Microseconds()) / requests, "us"},
		{"bytes_per_request", float64(result.Usage.IOBytes) / requests, "bytes"},
		{"rss_mb", float64(result.Usage.PeakMemory) / mebibyte, "MB"},
	}
}

// newHistogram returns a histogram of durations in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), significantDigits)
}

// milliseconds returns a percentile of h, from 0 to 100, in milliseconds.
func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
