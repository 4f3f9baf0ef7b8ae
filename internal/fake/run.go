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

// States of a request, as RequestState tells them.
const (
	stateUnknown   = "unknown"
	stateRunning   = "running"
	stateDone      = "done"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

var errCancelled = errors.New("cancelled")

// run is one chat request on an engine. Its answer is generated whether or not
// somebody reads it, so that a stream can be resumed.
type run struct {
	engine      *Engine
	id          string
	attempt     string
	priority    int
	incarnation uint64
	req         *ChatRequest
	faults      Faults
	crashes     bool
	slots       *slots
	running     *sync.WaitGroup
	place       *waiter
	cache       *prefixCache
	created     time.Time
	ctx         context.Context
	stop        context.CancelCauseFunc

	mu      sync.Mutex
	changed chan struct{}
	state   string
	events  [][]byte
	text    string
	output  int64
	cached  int64
	finish  string
	ended   time.Time
	// truncated tells that streams end without the last events.
	truncated bool
}

// generate runs the request to its end.
func (r *run) generate() {
	defer r.running.Done()
	defer r.slots.leave(r.place)
	select {
	case <-r.place.granted:
	case <-r.ctx.Done():
		r.end(r.abortState())
		return
	}
	r.record(TruthStarted)
	if r.crashes {
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
	r.finishEvents()
	r.end(stateDone)
}

func (r *run) prefill() bool {
	all := prefixes(r.req)
	hits := r.cache.use(all)
	r.cached = min(int64(hits*announce.PrefixBlockBytes/bytesPerToken), r.req.PromptTokens())
	return r.sleep(time.Duration(r.req.PromptTokens()-r.cached) * r.engine.opts.PromptTokenTime)
}

func (r *run) generateTokens() bool {
	planned := r.req.OutputTokens()
	r.finish = "stop"
	if planned == r.req.Limit() {
		r.finish = "length"
	}
	if r.faults.ExtraTokens > 0 {
		planned = r.req.Limit() + r.faults.ExtraTokens
	}
	seed := r.req.seed()
	for i := range planned {
		if !r.sleep(r.engine.opts.TokenTime + r.faults.extraTokenTime()) {
			return false
		}
		r.emitToken(tokenText(seed, i))
	}
	return r.sleep(r.faults.answerDelay())
}

// sleep waits for d and tells whether the request still runs.
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
	r.output++
	r.text += text
	if r.faults.TruncateAfter > 0 && r.output > r.faults.TruncateAfter {
		r.truncated = true
		return
	}
	delta := &chatDelta{Content: text}
	if r.output == 1 {
		delta.Role = "assistant"
	}
	r.addEvent(chatChunk{Choices: []chatChoice{{Delta: delta}}})
}

// finishEvents adds the chunk with the finish reason, the one with the usage, and the end marker.
func (r *run) finishEvents() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.truncated {
		return
	}
	r.addEvent(chatChunk{Choices: []chatChoice{{Delta: &chatDelta{}, FinishReason: &r.finish}}})
	r.addEvent(chatChunk{Choices: []chatChoice{}, Usage: r.usage()})
	r.events = append(r.events, []byte("[DONE]"))
	r.signal()
}

func (r *run) addEvent(c chatChunk) {
	c.ID = "chatcmpl-" + r.id
	c.Object = "chat.completion.chunk"
	c.Created = r.created.Unix()
	c.Model = r.req.Model
	data, _ := json.Marshal(c)
	r.events = append(r.events, data)
	r.signal()
}

func (r *run) usage() *chatUsage {
	prompt := r.req.PromptTokens()
	return &chatUsage{
		PromptTokens:     prompt,
		CompletionTokens: r.output,
		TotalTokens:      prompt + r.output,
		Details:          chatPromptDetails{CachedTokens: r.cached},
	}
}

// signal wakes those that follow the events. The lock is held.
func (r *run) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) end(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.ended = time.Now()
	r.signal()
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
	output := r.output
	r.mu.Unlock()
	r.engine.record(r.incarnation, TruthRecord{
		Event:        event,
		RequestID:    r.id,
		Attempt:      r.attempt,
		Priority:     r.priority,
		Service:      r.req.Model,
		PromptTokens: r.req.PromptTokens(),
		OutputTokens: output,
		CachedTokens: r.cached,
	})
}

func (r *run) endedBefore(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != stateRunning && r.ended.Before(t)
}

func (r *run) requestState() announce.RequestState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return announce.RequestState{State: r.state, Tokens: r.req.PromptTokens() + r.output}
}

// awaitEnd returns when the request has ended, or when ctx ends.
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

// next returns the events from number from on, and whether more may follow.
func (r *run) next(from int) (events [][]byte, state string, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from < len(r.events) {
		events = r.events[from:]
	}
	return events, r.state, r.changed
}

// serveStream writes the events from number from on as server-sent events.
func (r *run) serveStream(w http.ResponseWriter, req *http.Request, from int) {
	r.setHeaders(w, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		events, state, changed := r.next(from)
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

// serveWhole writes the answer as one JSON body.
func (r *run) serveWhole(w http.ResponseWriter, req *http.Request) {
	r.awaitEnd(req.Context())
	r.mu.Lock()
	done := r.state == stateDone && !r.truncated
	answer := chatChunk{
		ID:      "chatcmpl-" + r.id,
		Object:  "chat.completion",
		Created: r.created.Unix(),
		Model:   r.req.Model,
		Choices: []chatChoice{{
			Message:      &chatDelta{Role: "assistant", Content: r.text},
			FinishReason: &r.finish,
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
