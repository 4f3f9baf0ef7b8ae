package fake

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// TruthEvent is the type of a ground truth record.
type TruthEvent string

// Events of a stand-in, as recorded in its ground truth.
const (
	// TruthStarted: an engine started to run a chat request.
	TruthStarted TruthEvent = "started"
	// TruthFinished: an engine finished a chat request.
	TruthFinished TruthEvent = "finished"
	// TruthCancelled: an engine stopped a chat request that was cancelled.
	TruthCancelled TruthEvent = "cancelled"
	// TruthCrashed: the stand-in crashed while the request ran.
	TruthCrashed TruthEvent = "crashed"
	// TruthRan: a plain service ran a call.
	TruthRan TruthEvent = "ran"
	// TruthOrdered: an engine applied an order.
	TruthOrdered TruthEvent = "ordered"
)

// TruthRecord is one record of the ground truth.
type TruthRecord struct {
	Event       TruthEvent `json:"event"`
	Upstream    string     `json:"upstream"`
	Incarnation uint64     `json:"incarnation"`
	RequestID   string     `json:"request_id,omitempty"`
	Attempt     string     `json:"attempt,omitempty"`
	Priority    int        `json:"priority,omitempty"`
	// Service is the name of the model or of the plain service.
	Service string `json:"service,omitempty"`
	// Method and Path describe a call of a plain service.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// PromptTokens, OutputTokens and CachedTokens are the token counts of a chat request.
	PromptTokens int64 `json:"prompt_tokens,omitempty"`
	OutputTokens int64 `json:"output_tokens,omitempty"`
	CachedTokens int64 `json:"cached_tokens,omitempty"`
	// Number is the number assigned from a series, or that of a booking.
	Number int64 `json:"number,omitempty"`
	// Order and FencingNumber describe an applied order.
	Order         string `json:"order,omitempty"`
	FencingNumber uint64 `json:"fencing_number,omitempty"`
	// AfterLeavingMS is the time since the stand-in began to leave, in milliseconds.
	AfterLeavingMS int64 `json:"after_leaving_ms,omitempty"`
	// TimeMS is the time of the event, in milliseconds since the Unix epoch.
	TimeMS int64 `json:"time_ms"`
}

// GroundTruth is the append-only record of what a stand-in ran. It survives simulated
// crashes of the stand-in.
type GroundTruth struct {
	mu      sync.Mutex
	records []TruthRecord
	sink    io.Writer
}

// NewGroundTruth returns an empty ground truth. If sink is not nil, each record is also
// written to it as a JSON line.
func NewGroundTruth(sink io.Writer) *GroundTruth {
	return &GroundTruth{sink: sink}
}

// Records returns a copy of all records in order.
func (t *GroundTruth) Records() []TruthRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]TruthRecord(nil), t.records...)
}

func (t *GroundTruth) add(r TruthRecord) {
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
