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
	longestTime       = 10 * time.Minute
	significantDigits = 3
	mebibyte          = 1 << 20
)

// Measure is one measured figure.
type Measure struct {
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Baseline is the figure of the naive way in the same run, if there is one.
	Baseline *float64 `json:"baseline,omitempty"`
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
}

// Report writes measures of one scenario as JSON lines.
type Report struct {
	Out      io.Writer
	Scenario string
	Seed     uint64
}

// Add writes one measure; baseline may be nil.
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

// figure is one measure before it is written.
type figure struct {
	name  string
	value float64
	unit  string
}

// AddOutcome writes the measures of a run beside those of the naive way, which may be nil.
func (r *Report) AddOutcome(o, naive *Outcome) error {
	figures := findingFigures(o.Findings)
	figures = append(figures, timeFigures(o)...)
	figures = append(figures, costFigures(o)...)
	baselines := naiveFigures(naive)
	for _, f := range figures {
		var baseline *float64
		if value, ok := baselines[f.name]; ok {
			baseline = &value
		}
		if err := r.Add(f.name, f.value, f.unit, baseline); err != nil {
			return err
		}
	}
	return nil
}

// naiveFigures returns the figures that the naive way has too, by name. It has no bills.
func naiveFigures(naive *Outcome) map[string]float64 {
	values := map[string]float64{}
	if naive == nil {
		return values
	}
	for _, f := range timeFigures(naive) {
		values[f.name] = f.value
	}
	for _, f := range findingFigures(naive.Findings) {
		switch f.name {
		case "served_share", "double_runs", "wrong_answers", "wasted_tokens", "unanswered", "prefix_hit_ratio":
			values[f.name] = f.value
		}
	}
	return values
}

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
	fixed := len(figures)
	for kind, n := range f.FalseRefusals {
		figures = append(figures, figure{"false_refusals_" + string(kind), float64(n), "requests"})
	}
	for kind, n := range f.RefusalAnswers {
		figures = append(figures, figure{"refusal_answers_" + string(kind), float64(n), "answers"})
	}
	slices.SortFunc(figures[fixed:], func(a, b figure) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return figures
}

func timeFigures(o *Outcome) []figure {
	byClass := map[string]*hdrhistogram.Histogram{}
	var classes []string
	for _, s := range o.Samples {
		h := byClass[s.Class]
		if h == nil {
			h = newHistogram()
			byClass[s.Class] = h
			classes = append(classes, s.Class)
		}
		_ = h.RecordValue(s.FirstToken.Microseconds())
	}
	slices.Sort(classes)
	var figures []figure
	for _, c := range classes {
		figures = append(figures,
			figure{"first_token_p50_ms_" + c, milliseconds(byClass[c], 50), "ms"},
			figure{"first_token_p95_ms_" + c, milliseconds(byClass[c], 95), "ms"})
	}
	if !o.FailedAt.IsZero() {
		figures = append(figures, figure{"failover_ms", failover(o), "ms"})
	}
	return figures
}

// failover returns the time from the failure to the first whole answer of a
// call that was sent after it, in milliseconds.
func failover(o *Outcome) float64 {
	failed := o.FailedAt.UnixMilli()
	first := int64(-1)
	for i := range o.Requests {
		for _, a := range o.Requests[i].Answers {
			if a.Complete && a.SentMS >= failed && (first < 0 || a.ReceivedMS < first) {
				first = a.ReceivedMS
			}
		}
	}
	return float64(first - failed)
}

// costFigures returns what the daemons used, which is known of calm runs only.
func costFigures(o *Outcome) []figure {
	if o.Used.CPUTime == 0 {
		return nil
	}
	requests := float64(max(1, o.Findings.Requests))
	return []figure{
		{"cpu_us_per_request", float64(o.Used.CPUTime.Microseconds()) / requests, "us"},
		{"bytes_per_request", float64(o.Used.IOBytes) / requests, "bytes"},
		{"rss_mb", float64(o.Used.PeakMemory) / mebibyte, "MB"},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestTime.Microseconds(), significantDigits)
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
