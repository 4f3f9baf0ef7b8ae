package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/audit"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/trace"
)

const (
	// maxCallsPerSeries and callSeriesTimeout limit a series, which is a call and its retries.
	maxCallsPerSeries  = 12
	firstBackoff       = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	callSeriesTimeout  = 90 * time.Second
	maxIdleConnections = 1024
	// maxCompletions is the maximum number of records that complete an aborted run.
	maxCompletions = 16
)

// Driver replays the arrivals of a trace as an open-loop load: each is sent at its time, whether
// or not earlier ones were answered. It retries with the same idempotency key at another host if
// the answer was lost or aborted, or is a retryable refusal.
type Driver struct {
	site    *Site
	targets targets
	http    *http.Client

	mu       sync.Mutex
	requests []audit.Request
	samples  []Sample
	// answerByRequest and requestByAnswer hold the first answers that contain a unique number,
	// by request ID and by path and body.
	answerByRequest map[string]string
	requestByAnswer map[string]string
}

// Sample holds the latencies of one served request.
type Sample struct {
	Class string
	// Due is the time at which the request was due. TimeToFirstToken is the time from then to
	// the first text, including all retries, and Total the time to the end of the answer.
	Due              time.Time
	TimeToFirstToken time.Duration
	Total            time.Duration
}

// targets selects the servers to which a driver sends its calls.
type targets interface {
	// next returns the index of the target for a call of a. For a retry, previous is the index
	// of the previous target, and otherwise -1.
	next(a *trace.Arrival, previous int) int
	// setTarget directs call, which belongs to req, to target i.
	setTarget(call *harness.Call, req *inFlightRequest, i int)
	// watch monitors the targets until ctx is done.
	watch(ctx context.Context)
	// requestID returns the request ID that the upstreams receive for a.
	requestID(a *trace.Arrival) string
}

// newDriver returns a driver that sends to t.
func newDriver(s *Site, t targets) *Driver {
	return &Driver{
		site:            s,
		targets:         t,
		http:            &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
		answerByRequest: map[string]string{},
		requestByAnswer: map[string]string{},
	}
}

// Run sends all arrivals, accelerated by the factor speed, and returns when each has its last
// answer.
func (d *Driver) Run(ctx context.Context, arrivals []trace.Arrival, speed float64) {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go d.targets.watch(watchCtx)
	start := time.Now()
	var inFlight sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(time.Duration(float64(a.AtMS)/speed) * time.Millisecond)
		if !timing.Sleep(ctx, time.Until(due)) {
			break
		}
		inFlight.Go(func() { d.sendArrival(ctx, a, due) })
	}
	inFlight.Wait()
	d.http.CloseIdleConnections()
}

// Requests returns the callers' records of all requests.
func (d *Driver) Requests() []audit.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

// Samples returns the latencies of all served requests.
func (d *Driver) Samples() []Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.samples
}

// inFlightRequest is a request that has not yet got its last answer.
type inFlightRequest struct {
	arrival *trace.Arrival
	due     time.Time
	call    harness.Call
	caller  harness.Caller
	chat    *fake.ChatRequest
	id      string

	mu      sync.Mutex
	answers []audit.Answer
	sample  *Sample
}

// sendArrival sends a until it has its last answer and records the result. If a.ResendMS is set,
// it also sends a a second time, that long after it was due, without waiting for an answer.
func (d *Driver) sendArrival(ctx context.Context, a *trace.Arrival, due time.Time) {
	req := d.newRequest(a, due)
	var calls sync.WaitGroup
	if a.ResendMS > 0 {
		calls.Go(func() {
			if timing.Sleep(ctx, time.Until(due.Add(time.Duration(a.ResendMS)*time.Millisecond))) {
				d.callUntilAnswered(ctx, req)
			}
		})
	}
	d.callUntilAnswered(ctx, req)
	calls.Wait()
	d.recordRequest(req)
}

func (d *Driver) newRequest(a *trace.Arrival, due time.Time) *inFlightRequest {
	req := &inFlightRequest{
		arrival: a,
		due:     due,
		id:      d.targets.requestID(a),
		caller:  harness.Caller{Key: d.site.Key(a.Caller()), HTTP: d.http},
	}
	if a.Method != "" {
		req.call = harness.Call{Method: a.Method, Path: a.Path, IdempotencyKey: a.Key}
		if a.Method == http.MethodPost {
			req.call.Body = []byte(`{"booking":"` + a.Key + `"}`)
		}
		return req
	}
	req.call = harness.Call{Method: http.MethodPost, Path: harness.PathChat, IdempotencyKey: a.Key, Body: chatBody(a)}
	req.chat = parseChat(a)
	return req
}

// callUntilAnswered repeats the call until it gets a complete answer or a refusal that is not
// retryable, or until a limit is reached.
func (d *Driver) callUntilAnswered(ctx context.Context, req *inFlightRequest) {
	ctx, cancel := context.WithTimeout(ctx, callSeriesTimeout)
	defer cancel()
	backoff := firstBackoff
	target := -1
	for range maxCallsPerSeries {
		target = d.targets.next(req.arrival, target)
		wait, retry := d.callOnce(ctx, req, target)
		if !retry {
			return
		}
		if wait == 0 {
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		if !timing.Sleep(ctx, wait) {
			return
		}
	}
}

// callOnce sends one call. It reports whether to retry, and after which time; 0 means to use the
// default backoff.
func (d *Driver) callOnce(ctx context.Context, req *inFlightRequest, target int) (time.Duration, bool) {
	call := req.call
	d.targets.setTarget(&call, req, target)
	sent := time.Now()
	got, err := req.caller.Do(ctx, call)
	answer := audit.Answer{SentMS: sent.UnixMilli(), ReceivedMS: time.Now().UnixMilli(), Refusal: got.Refusal}
	success := got.Status >= http.StatusOK && got.Status < http.StatusMultipleChoices
	switch {
	case err != nil && success, success && got.Refusal != nil:
		answer.Aborted = true
		answer.Refusal = nil
	case err == nil && success:
		answer.Complete = true
		answer.Detail = d.answerMismatch(req, got)
		answer.Wrong = answer.Detail != ""
		req.recordSample(sent, got)
	}
	req.mu.Lock()
	req.answers = append(req.answers, answer)
	req.mu.Unlock()
	if answer.Refusal != nil {
		wait := time.Duration(answer.Refusal.RetryAfterMS) * time.Millisecond
		return min(wait, maxBackoff), errkind.Lookup(answer.Refusal.Kind).Retryable
	}
	return 0, !answer.Complete
}

// recordSample stores the latencies of the first complete answer.
func (r *inFlightRequest) recordSample(sent time.Time, got *harness.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sample != nil {
		return
	}
	waited := sent.Sub(r.due)
	r.sample = &Sample{
		Class:            r.arrival.Class,
		Due:              r.due,
		TimeToFirstToken: waited + got.TimeToFirstToken,
		Total:            waited + got.Total,
	}
}

// answerMismatch describes why got is not the answer to req. It returns "" if it is.
func (d *Driver) answerMismatch(req *inFlightRequest, got *harness.Answer) string {
	if got.RequestID != req.id {
		return "unexpected request ID " + got.RequestID
	}
	if req.chat != nil {
		return chatMismatch(req, got)
	}
	if !json.Valid(got.Body) {
		return fmt.Sprintf("the body %q is not valid JSON", got.Body)
	}
	if req.arrival.Method != http.MethodPost {
		return ""
	}
	return d.uniquenessMismatch(req, strings.TrimSpace(string(got.Body)))
}

// chatMismatch compares got with the deterministic answer to the chat request of req.
func chatMismatch(req *inFlightRequest, got *harness.Answer) string {
	n := req.chat.OutputTokens()
	switch {
	case got.Usage == nil:
		return "no usage"
	case got.Usage.CompletionTokens != n:
		return fmt.Sprintf("%d completion tokens instead of %d", got.Usage.CompletionTokens, n)
	case got.Text != req.chat.AnswerText(n):
		return fmt.Sprintf("unexpected text %q", got.Text)
	default:
		return ""
	}
}

// uniquenessMismatch checks an answer that contains a unique number. It detects a number that two
// requests got, and a request that got two numbers.
func (d *Driver) uniquenessMismatch(req *inFlightRequest, body string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	answerKey := req.arrival.Path + " " + body
	if _, known := d.requestByAnswer[answerKey]; !known {
		d.requestByAnswer[answerKey] = req.id
	}
	if _, known := d.answerByRequest[req.id]; !known {
		d.answerByRequest[req.id] = body
	}
	switch {
	case d.requestByAnswer[answerKey] != req.id:
		return fmt.Sprintf("%s was also the answer to request %s", body, d.requestByAnswer[answerKey])
	case d.answerByRequest[req.id] != body:
		return fmt.Sprintf("%s differs from the earlier answer %s", body, d.answerByRequest[req.id])
	default:
		return ""
	}
}

// recordRequest stores the caller's record of req after its last answer.
func (d *Driver) recordRequest(req *inFlightRequest) {
	r := audit.Request{
		ID:          req.id,
		Completions: completionIDs(req.arrival),
		Budget:      req.arrival.Organisation,
		Class:       req.arrival.Class,
		Repeatable:  req.arrival.Method != http.MethodPost,
		Cost:        cost(d.site.opts.Deployment, req.arrival, req.chat),
		Answers:     req.answers,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	if req.sample != nil {
		d.samples = append(d.samples, *req.sample)
	}
}

// completionIDs returns the IDs of the records that complete an aborted run of a.
func completionIDs(a *trace.Arrival) []string {
	ids := make([]string, maxCompletions)
	for i := range ids {
		ids[i] = controlapi.RequestIDFor(a.Caller(), a.Key+"\x00"+strconv.Itoa(i+1))
	}
	return ids
}
