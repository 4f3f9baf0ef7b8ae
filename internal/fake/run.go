package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// States of a request, as reported in RequestState.
const (
	stateUnknown   = "unknown"
	stateRunning   = "running"
	stateDone      = "done"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

var errCancelled = errors.New("cancelled")

// run is one chat request on an engine. Its answer is generated even if the caller has
// disconnected, so that the stream can be resumed.
type run struct {
	engine       *Engine
	id           string
	attempt      string
	priority     int
	incarnation  uint64
	req          *ChatRequest
	faults       Faults
	crashOnStart bool
	slots        *slots
	running      *sync.WaitGroup
	waiter       *waiter
	cache        *prefixCache
	createdAt    time.Time
	ctx          context.Context
	stop         context.CancelCauseFunc

	mu           sync.Mutex
	changed      chan struct{}
	state        string
	events       [][]byte
	text         string
	outputTokens int64
	cachedTokens int64
	finishReason string
	endedAt      time.Time
	// truncated reports that streams are aborted before the final events.
	truncated bool
}

// generate waits for a slot and runs the request until it ends.
func (r *run) generate() {
	defer r.running.Done()
	defer r.slots.release(r.waiter)
	select {
	case <-r.waiter.acquired:
	case <-r.ctx.Done():
		r.end(r.abortState())
		return
	}
	r.record(TruthStarted)
	if r.crashOnStart {
		r.record(TruthCrashed)
		r.end(stateFailed)
		go r.engine.Crash()
		return
	}
	if !r.prefill() || !r.generateTokens() {
		r.recordAbort()
		r.end(r.abortState())
		return
	}
	r.record(TruthFinished)
	r.addFinalEvents()
	r.end(stateDone)
}

func (r *run) prefill() bool {
	hashes := prefixHashes(r.req)
	hits := r.cache.lookUpAndStore(hashes)
	r.cachedTokens = min(int64(hits*announce.PrefixBlockBytes/bytesPerToken), r.req.PromptTokens())
	return r.sleep(time.Duration(r.req.PromptTokens()-r.cachedTokens) * r.engine.opts.PromptTokenTime)
}

func (r *run) generateTokens() bool {
	total := r.req.OutputTokens()
	r.finishReason = "stop"
	if total == r.req.OutputLimit() {
		r.finishReason = "length"
	}
	if r.faults.ExtraTokens > 0 {
		total = r.req.OutputLimit() + r.faults.ExtraTokens
	}
	seed := r.req.seed()
	for i := range total {
		if !r.sleep(r.engine.opts.TokenTime + r.faults.extraTokenTime()) {
			return false
		}
		r.emitToken(tokenText(seed, i))
	}
	return r.sleep(r.faults.answerDelay())
}

// sleep waits for d and reports whether the request still runs.
func (r *run) sleep(d time.Duration) bool {
	if d <= 0 {
		return r.ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *run) emitToken(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outputTokens++
	r.text += text
	if r.faults.TruncateAfter > 0 && r.outputTokens > r.faults.TruncateAfter {
		r.truncated = true
		return
	}
	delta := &chatDelta{Content: text}
	if r.outputTokens == 1 {
		delta.Role = "assistant"
	}
	r.addEvent(chatResponse{Choices: []chatChoice{{Delta: delta}}})
}

// addFinalEvents adds the event with the finish reason, the event with the usage, and the
// end marker of the stream.
func (r *run) addFinalEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated {
		return
	}
	r.addEvent(chatResponse{Choices: []chatChoice{{Delta: &chatDelta{}, FinishReason: &r.finishReason}}})
	r.addEvent(chatResponse{Choices: []chatChoice{}, Usage: r.usage()})
	r.events = append(r.events, []byte("[DONE]"))
	r.notifyReaders()
}

func (r *run) addEvent(c chatResponse) {
	c.ID = "chatcmpl-" + r.id
	c.Object = "chat.completion.chunk"
	c.Created = r.createdAt.Unix()
	c.Model = r.req.Model
	data, _ := json.Marshal(c)
	r.events = append(r.events, data)
	r.notifyReaders()
}

func (r *run) usage() *chatUsage {
	prompt := r.req.PromptTokens()
	return &chatUsage{
		PromptTokens:     prompt,
		CompletionTokens: r.outputTokens,
		TotalTokens:      prompt + r.outputTokens,
		Details:          chatPromptDetails{CachedTokens: r.cachedTokens},
	}
}

// notifyReaders wakes all waits for a change of the run. The caller holds mu.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) end(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.endedAt = time.Now()
	r.notifyReaders()
	r.stop(nil)
}

func (r *run) abortState() string {
	if errors.Is(context.Cause(r.ctx), errCancelled) {
		return stateCancelled
	}
	return stateFailed
}

func (r *run) recordAbort() {
	if r.abortState() == stateCancelled {
		r.record(TruthCancelled)
		return
	}
	r.record(TruthCrashed)
}

func (r *run) record(event TruthEvent) {
	r.mu.Lock()
	output := r.outputTokens
	r.mu.Unlock()
	r.engine.record(r.incarnation, TruthRecord{
		Event:        event,
		RequestID:    r.id,
		Attempt:      r.attempt,
		Priority:     r.priority,
		Service:      r.req.Model,
		PromptTokens: r.req.PromptTokens(),
		OutputTokens: output,
		CachedTokens: r.cachedTokens,
	})
}

func (r *run) endedBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != stateRunning && r.endedAt.Before(t)
}

func (r *run) requestState() announce.RequestState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return announce.RequestState{State: r.state, Tokens: r.req.PromptTokens() + r.outputTokens}
}

// awaitEnd blocks until the request has ended or ctx ends.
func (r *run) awaitEnd(ctx context.Context) {
	for {
		r.mu.Lock()
		ended := r.state != stateRunning
		changed := r.changed
		r.mu.Unlock()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// eventsFrom returns the events starting at index from, the state of the run, and a channel
// that is closed at the next change.
func (r *run) eventsFrom(from int) (events [][]byte, state string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < len(r.events) {
		events = r.events[from:]
	}
	return events, r.state, r.changed
}

// serveStream writes the events starting at index from as server-sent events.
func (r *run) serveStream(w http.ResponseWriter, req *http.Request, from int) {
	r.setHeaders(w, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		events, state, changed := r.eventsFrom(from)
		for _, data := range events {
			if !writeEvent(w, data) {
				return
			}
		}
		from += len(events)
		_ = flusher.Flush()
		if state == stateFailed || state == stateCancelled || r.isTruncated(state) {
			dropConnection()
		}
		if state == stateDone {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}

func (r *run) isTruncated(state string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return state == stateDone && r.truncated
}

// serveNonStreaming writes the complete answer as one JSON body.
func (r *run) serveNonStreaming(w http.ResponseWriter, req *http.Request) {
	r.awaitEnd(req.Context())
	r.mu.Lock()
	done := r.state == stateDone && !r.truncated
	answer := chatResponse{
		ID:      "chatcmpl-" + r.id,
		Object:  "chat.completion",
		Created: r.createdAt.Unix(),
		Model:   r.req.Model,
		Choices: []chatChoice{{
			Message:      &chatDelta{Role: "assistant", Content: r.text},
			FinishReason: &r.finishReason,
		}},
		Usage: r.usage(),
	}
	r.mu.Unlock()
	if !done {
		dropConnection()
	}
	r.setHeaders(w, "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (r *run) setHeaders(w http.ResponseWriter, contentType string) {
	id := r.id
	if r.faults.ForeignID != "" {
		id = r.faults.ForeignID
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set(announce.HeaderRequestID, id)
}

func writeEvent(w http.ResponseWriter, data []byte) bool {
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := w.Write(line)
	return err == nil
}
