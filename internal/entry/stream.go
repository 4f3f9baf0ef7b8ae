package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// maxResumes bounds how often one stream is resumed at its upstream.
const maxResumes = 5

// relay is the state of a stream that is passed on to the caller.
type relay struct {
	// events is the number of events that were read from the upstream.
	events int
	// output is the least number of output tokens that were passed on.
	output int64
	// used is the upstream's count of all tokens, or 0.
	used int64
	// id is the id inside the events, which is the same in all of them.
	id string
	// held are the last events, which are passed on when the charge is committed.
	held [][]byte
}

// tryStream streams the answer of t to the caller.
func (x *exchange) tryStream(t target) *failure {
	ctx, watch := newWatch(x.work, x.untilDeadline())
	defer watch.stop()
	resp, f := x.sendCall(ctx, t)
	if f != nil {
		return f
	}
	return x.relayAll(ctx, watch, t, resp)
}

// relayAll passes a stream on to its end, and resumes it where it breaks.
func (x *exchange) relayAll(ctx context.Context, watch *watch, t target, resp *http.Response) *failure {
	state := &relay{}
	f := x.relayResponse(ctx, watch, t, resp, state)
	for resumes := 0; f != nil && x.resumable(f, t, state) && resumes < maxResumes; resumes++ {
		x.h.counters.retry(reasonResume)
		f = x.resumeAt(t, state, resumes)
	}
	if f == nil || !x.started {
		return f
	}
	if f.callerGone {
		x.callerLeft(t, state.output)
		return nil
	}
	return x.breakOff(f, t, state)
}

// resumable tells whether the rest of a broken stream may still come from t.
func (x *exchange) resumable(f *failure, t target, state *relay) bool {
	if f.callerGone || f.final != nil || !t.asks || t.gone() {
		return false
	}
	fitting := f.reason == reasonBroken || f.reason == reasonTruncated || f.reason == reasonTimeout
	return fitting && (state.events > 0 || x.started)
}

func (x *exchange) resumeAt(t target, state *relay, resumes int) *failure {
	ctx, watch := newWatch(x.work, streamIdle)
	defer watch.stop()
	if resumes > 0 {
		timing.Sleep(ctx, x.h.backoff(resumes))
	}
	resp, f := x.resume(ctx, t, state.events)
	if f != nil {
		return f
	}
	return x.relayResponse(ctx, watch, t, resp, state)
}

// relayResponse passes on the events of one response.
func (x *exchange) relayResponse(ctx context.Context, watch *watch, t target, resp *http.Response, state *relay) *failure {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return x.chatStatus(resp)
	}
	events := newEventReader(resp.Body)
	for {
		data, err := events.next()
		if err != nil {
			return x.readFailure(ctx, err)
		}
		watch.extend()
		state.events++
		if bytes.Equal(data, doneMarker) {
			return x.completeStream(t, state)
		}
		done, f := x.relayEvent(t, data, state)
		if done || f != nil {
			return f
		}
	}
}

// relayEvent passes one event on, or holds it if it belongs to the end.
func (x *exchange) relayEvent(t target, data []byte, state *relay) (done bool, f *failure) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, &failure{reason: reasonError, text: "an event is not JSON"}
	}
	if c.Error != nil {
		return false, &failure{reason: reasonError, text: "the upstream ended the stream with an error"}
	}
	if state.id == "" {
		state.id = c.ID
	}
	if c.ID != state.id {
		return false, &failure{reason: reasonForeign, text: "an event belongs to another answer"}
	}
	if c.Usage != nil {
		state.used = max(state.used, c.Usage.TotalTokens)
	}
	if state.output+c.tokens() > x.output || !x.isRerun && state.used > x.worst+x.paid {
		return true, x.cutStream(t, &c, state)
	}
	state.output += c.tokens()
	if len(c.Choices) == 0 && !x.keepUsage {
		return false, nil
	}
	if len(state.held) > 0 || c.finishes() || len(c.Choices) == 0 {
		state.held = append(state.held, data)
		return false, nil
	}
	return false, x.writeEvent(data)
}

// completeStream settles a whole answer and then passes its end on.
func (x *exchange) completeStream(t target, state *relay) *failure {
	used := max(state.used, state.output)
	if state.used == 0 {
		used = max(x.askUsed(t), state.output)
	}
	return x.endStream(state, used, false)
}

// cutStream ends a stream that runs past the reservation. It charges what the
// upstream says that it used, but never more than was reserved.
func (x *exchange) cutStream(t target, last *chunk, state *relay) *failure {
	x.h.counters.event("streams_cut")
	reserved := x.worst + x.paid
	used, known := x.cancel(t)
	if !known || used <= 0 {
		used = reserved
	}
	state.held = append(state.held, cutEvent(last))
	return x.endStream(state, min(used, reserved), true)
}

// endStream commits the charge and writes the events that were held for it.
func (x *exchange) endStream(state *relay, used int64, partial bool) *failure {
	if err := x.settle(used, nil, partial); err != nil {
		return &failure{reason: reasonError, final: settleRefusal(err), text: err.Error()}
	}
	for _, data := range append(state.held, doneMarker) {
		if f := x.writeEvent(data); f != nil {
			return nil
		}
	}
	return nil
}

// settleRefusal returns the error for an answer that can't be given because
// its charge is not committed. The work ran.
func settleRefusal(err error) *errkind.Error {
	return errkind.From(err).WithOutcome(errkind.Ran).WithRetryAfter(controlRetry)
}

// breakOff ends a stream that can't be completed: a crash is reported, what was
// used is charged, and the caller is told that the answer is not whole.
func (x *exchange) breakOff(f *failure, t target, state *relay) *failure {
	e := f.final
	if f.broken {
		_ = x.reportCrash(t)
	}
	if e == nil {
		x.brokenOff = true
		used, known := x.cancel(t)
		if !known {
			used = max(state.used, state.output)
		}
		_ = x.settle(used, nil, true)
		e = errkind.New(errkind.UpstreamFailed, "the stream broke off: %s", f.reason).
			WithOutcome(errkind.Ran).WithRetryAfter(upstreamRetry)
	}
	x.h.counters.refusal(e.Kind)
	_ = x.writeEvent(errorEvent(e, x.requestID))
	return nil
}

// writeEvent passes one event on to the caller, with the header before the first.
func (x *exchange) writeEvent(data []byte) *failure {
	if !x.started {
		x.started = true
		x.firstByte = x.h.Now().Sub(x.tried)
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-cache")
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.allowWrite(x.w)
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := x.w.Write(line)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		return &failure{reason: reasonBroken, callerGone: true, text: "the caller has gone"}
	}
	return nil
}

// readFailure classifies an error in the middle of an answer.
func (x *exchange) readFailure(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, errEventTooLarge):
		return &failure{reason: reasonError, text: err.Error()}
	case errors.Is(err, io.EOF):
		return &failure{reason: reasonTruncated, text: "the stream ended without its end marker"}
	default:
		return x.transportFailure(ctx, err, false)
	}
}

// callerLeft ends the work of a caller that has gone and charges what was used.
func (x *exchange) callerLeft(t target, output int64) {
	x.h.counters.event("callers_gone")
	used, known := x.cancel(t)
	if !known {
		used = output
	}
	if used == 0 && !x.started {
		_ = x.release(x.mayHaveRun)
		return
	}
	_ = x.settle(used, nil, true)
}

// askUsed returns the tokens that the upstream counts for the call, or 0.
func (x *exchange) askUsed(t target) int64 {
	if !t.asks {
		return 0
	}
	state, err := x.h.upstreams.ask(context.WithoutCancel(x.ctx), http.MethodGet, t.address, x.requestID)
	if err != nil {
		return 0
	}
	return state.Tokens
}
