package fake

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// TruthEvent names what happened to a request on a stand-in.
type TruthEvent string

// The events of the ground truth.
const (
	// TruthStarted: an engine began to run a chat request.
	TruthStarted TruthEvent = "started"
	// TruthFinished: an engine finished a chat request.
	TruthFinished TruthEvent = "finished"
	// TruthCancelled: an engine stopped a chat request because it was told to.
	TruthCancelled TruthEvent = "cancelled"
	// TruthCrashed: the stand-in crashed while it ran the request.
	TruthCrashed TruthEvent = "crashed"
	// TruthRan: a plain service ran a call.
	TruthRan TruthEvent = "ran"
	// TruthOrdered: an order was applied.
	TruthOrdered TruthEvent = "ordered"
)

// TruthRecord is one entry of the ground truth.
type TruthRecord struct {
	Event       TruthEvent `json:"event"`
	Upstream    string     `json:"upstream"`
	Incarnation uint64     `json:"incarnation"`
	RequestID   string     `json:"request_id,omitempty"`
	Attempt     string     `json:"attempt,omitempty"`
	Priority    int        `json:"priority,omitempty"`
	// Service is the model or the plain service.
	Service string `json:"service,omitempty"`
	// Method and Path are those of a plain service's call.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// PromptTokens, OutputTokens and CachedTokens count a chat request.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	OutputTokens int64 `json:"output_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Number is the number that a series gave, or the number of a booking.
	Number int64 `json:"number,omitempty"`
	// Order and FencingNumber describe an applied order.
	Order         string `json:"order,omitempty"`
	FencingNumber uint64 `json:"fencing_number,omitempty"`
	// AfterLeaving is the time since the stand-in announced that it leaves, in milliseconds.
	AfterLeaving int64 `json:"after_leaving_ms,omitempty"`
	// TimeMS is the time of the event, in milliseconds since 1970.
	TimeMS int64 `json:"time_ms"`
}

// Truth is the append-only record of what a stand-in ran. It outlives crashes
// that the stand-in simulates.
type Truth struct {
	mu      sync.Mutex
	records []TruthRecord
	sink    io.Writer
}

// NewTruth returns an empty record. Each entry is also written to sink as a
// JSON line if sink is not nil.
func NewTruth(sink io.Writer) *Truth {
	return &Truth{sink: sink}
}

// Records returns a copy of all entries in order.
func (t *Truth) Records() []TruthRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]TruthRecord(nil), t.records...)
}

func (t *Truth) add(r TruthRecord) {
	r.TimeMS = time.Now().UnixMilli()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, r)
	if t.sink == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, _ = t.sink.Write(append(line, '\n'))
	}
}
