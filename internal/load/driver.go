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
	// maxCalls bounds the calls of one request.
	maxCalls       = 12
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	callTimeout    = 90 * time.Second
	connectionPool = 1024
	// maxCompletions bounds the records under which a run that was cut off is completed.
	maxCompletions = 16
)

// Driver sends the arrivals of a trace as callers do: each at its time, whether
// or not earlier ones were answered, and again by the same key at another host
// when the answer was lost or says that a retry helps.
type Driver struct {
	site    *Site
	targets targets
	http    *http.Client

	mu       sync.Mutex
	requests []audit.Request
	samples  []Sample
	bodies   map[string]string
	owners   map[string]string
}

// Sample is the timing of one served request.
type Sample struct {
	Class string
	// At is when the request was due, FirstToken the time from then to the first
	// text, with all retries, and Total that to the end.
	At         time.Time
	FirstToken time.Duration
	Total      time.Duration
}

// targets is where a driver sends its calls.
type targets interface {
	// next returns the number of the target of a call of a, other than before.
	next(a *trace.Arrival, before int) int
	// address sets the address of call for target i.
	address(call *harness.Call, o *order, i int)
	// watch follows the state of the targets until ctx ends.
	watch(ctx context.Context)
	// requestID returns the id under which the upstreams know a.
	requestID(a *trace.Arrival) string
}

// newDriver returns a driver of the targets.
func newDriver(s *Site, t targets) *Driver {
	return &Driver{
		site:    s,
		targets: t,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connectionPool}},
		bodies:  map[string]string{},
		owners:  map[string]string{},
	}
}

// Run sends all arrivals at speed times their pace and returns when each has its last answer.
func (d *Driver) Run(ctx context.Context, arrivals []trace.Arrival, speed float64) {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go d.targets.watch(watch)
	start := time.Now()
	var open sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(time.Duration(float64(a.AtMS)/speed) * time.Millisecond)
		if !timing.Sleep(ctx, time.Until(due)) {
			break
		}
		open.Go(func() { d.serve(ctx, a, due) })
	}
	open.Wait()
	d.http.CloseIdleConnections()
}

// Requests returns what the callers know of all requests.
func (d *Driver) Requests() []audit.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requests
}

// Samples returns the timings of all served requests.
func (d *Driver) Samples() []Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.samples
}

// order is one request on its way.
type order struct {
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

func (d *Driver) serve(ctx context.Context, a *trace.Arrival, due time.Time) {
	o := d.newOrder(a, due)
	var calls sync.WaitGroup
	if a.ResendMS > 0 {
		calls.Go(func() {
			if timing.Sleep(ctx, time.Until(due.Add(time.Duration(a.ResendMS)*time.Millisecond))) {
				d.untilAnswered(ctx, o)
			}
		})
	}
	d.untilAnswered(ctx, o)
	calls.Wait()
	d.keep(o)
}

func (d *Driver) newOrder(a *trace.Arrival, due time.Time) *order {
	o := &order{
		arrival: a,
		due:     due,
		id:      d.targets.requestID(a),
		caller:  harness.Caller{Key: d.site.Key(a.Caller()), HTTP: d.http},
	}
	if a.Method != "" {
		o.call = harness.Call{Method: a.Method, Path: a.Path, IdempotencyKey: a.Key}
		if a.Method == http.MethodPost {
			o.call.Body = []byte(`{"booking":"` + a.Key + `"}`)
		}
		return o
	}
	o.call = harness.Call{Method: http.MethodPost, Path: harness.PathChat, IdempotencyKey: a.Key, Body: chatBody(a)}
	o.chat = chatOf(a)
	return o
}

// untilAnswered calls until there is an answer that no retry would better.
func (d *Driver) untilAnswered(ctx context.Context, o *order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	backoff := firstBackoff
	host := -1
	for range maxCalls {
		host = d.targets.next(o.arrival, host)
		wait, again := d.callOnce(ctx, o, host)
		if !again {
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

// callOnce calls once and tells whether, and after which time, to call again.
func (d *Driver) callOnce(ctx context.Context, o *order, host int) (time.Duration, bool) {
	call := o.call
	d.targets.address(&call, o, host)
	sent := time.Now()
	got, err := o.caller.Do(ctx, call)
	answer := audit.Answer{SentMS: sent.UnixMilli(), ReceivedMS: time.Now().UnixMilli(), Refusal: got.Refusal}
	success := got.Status >= http.StatusOK && got.Status < http.StatusMultipleChoices
	switch {
	case err != nil && success, success && got.Refusal != nil:
		answer.Aborted = true
		answer.Refusal = nil
	case err == nil && success:
		answer.Complete = true
		answer.Detail = d.fault(o, got)
		answer.Wrong = answer.Detail != ""
		o.keepSample(sent, got)
	}
	o.mu.Lock()
	o.answers = append(o.answers, answer)
	o.mu.Unlock()
	if answer.Refusal != nil {
		wait := time.Duration(answer.Refusal.RetryAfterMS) * time.Millisecond
		return min(wait, maxBackoff), errkind.Lookup(answer.Refusal.Kind).Retryable
	}
	return 0, !answer.Complete
}

func (o *order) keepSample(sent time.Time, got *harness.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sample != nil {
		return
	}
	waited := sent.Sub(o.due)
	o.sample = &Sample{
		Class:      o.arrival.Class,
		At:         o.due,
		FirstToken: waited + got.TimeToFirstToken,
		Total:      waited + got.Total,
	}
}

// fault returns what tells that got is not the answer to o, or "".
func (d *Driver) fault(o *order, got *harness.Answer) string {
	if got.RequestID != o.id {
		return "it carries the id " + got.RequestID
	}
	if o.chat != nil {
		return chatFault(o, got)
	}
	if !json.Valid(got.Body) {
		return fmt.Sprintf("the body is %q", got.Body)
	}
	if o.arrival.Method != http.MethodPost {
		return ""
	}
	return d.numberFault(o, strings.TrimSpace(string(got.Body)))
}

func chatFault(o *order, got *harness.Answer) string {
	n := o.chat.OutputTokens()
	switch {
	case got.Usage == nil:
		return "it has no usage"
	case got.Usage.CompletionTokens != n:
		return fmt.Sprintf("it has %d tokens, not %d", got.Usage.CompletionTokens, n)
	case got.Text != o.chat.AnswerText(n):
		return fmt.Sprintf("the text is %q", got.Text)
	default:
		return ""
	}
}

// numberFault tells of a number that went to two requests, or of a request that got two.
func (d *Driver) numberFault(o *order, body string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	place := o.arrival.Path + " " + body
	if _, known := d.owners[place]; !known {
		d.owners[place] = o.id
	}
	if _, known := d.bodies[o.id]; !known {
		d.bodies[o.id] = body
	}
	switch {
	case d.owners[place] != o.id:
		return fmt.Sprintf("%s went to %s too", body, d.owners[place])
	case d.bodies[o.id] != body:
		return fmt.Sprintf("it is %s and was %s", body, d.bodies[o.id])
	default:
		return ""
	}
}

// keep stores what is known of o after its last answer.
func (d *Driver) keep(o *order) {
	r := audit.Request{
		ID:          o.id,
		Completions: completions(o.arrival),
		Budget:      o.arrival.Organisation,
		Class:       o.arrival.Class,
		Repeatable:  o.arrival.Method != http.MethodPost,
		Cost:        cost(d.site.opts.Deployment, o.arrival, o.chat),
		Answers:     o.answers,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, r)
	if o.sample != nil {
		d.samples = append(d.samples, *o.sample)
	}
}

// completions returns the ids of the records under which a run that was cut off is completed.
func completions(a *trace.Arrival) []string {
	ids := make([]string, maxCompletions)
	for i := range ids {
		ids[i] = controlapi.RequestIDFor(a.Caller(), a.Key+"\x00"+strconv.Itoa(i+1))
	}
	return ids
}
