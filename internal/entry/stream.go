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

// maxResumes bounds how often one stream is resumed from its upstream.
const maxResumes = 5

// relayState is the state of a stream relayed to the caller.
type relayState struct {
	// eventsRead is the number of events read from the upstream.
	eventsRead int
	// outputTokens is a lower bound on the output tokens read from the upstream.
	outputTokens int64
	// usedTokens is the total token count reported by the upstream, or 0.
	usedTokens int64
	// answerID is the id in the events, which must be the same in all of them.
	answerID string
	// heldEvents are the final events, which are held back until the charge is committed.
	heldEvents [][]byte
	// heldMemory is the memory of heldEvents, in bytes.
	heldMemory int64
}

// dispatchStream sends the call to t and streams the answer to the caller.
func (x *exchange) dispatchStream(t target) *failure {
	ctx, wd := newWatchdog(x.workCtx, x.timeToDeadline())
	defer wd.stop()
	resp, f := x.sendCall(ctx, t)
	if f != nil {
		return f
	}
	return x.relayStream(ctx, wd, t, resp)
}

// relayStream relays a stream to its end and resumes it after interruptions.
func (x *exchange) relayStream(ctx context.Context, wd *watchdog, t target, resp *http.Response) *failure {
	state := &relayState{}
	f := x.relayResponse(ctx, wd, t, resp, state)
	for resumes := 0; f != nil && x.resumable(f, t, state) && resumes < maxResumes; resumes++ {
		x.h.counters.retry(reasonResume)
		f = x.resumeStream(t, state, resumes)
	}
	if f == nil || !x.responseStarted {
		return f
	}
	if f.callerDisconnected {
		x.handleCallerDisconnect(t, state.outputTokens)
		return nil
	}
	return x.abortStream(f, t, state)
}

// resumable reports whether an interrupted stream can be resumed from t.
func (x *exchange) resumable(f *failure, t target, state *relayState) bool {
	if f.callerDisconnected || f.finalError != nil || !t.servesRequestState || t.terminated() {
		return false
	}
	interrupted := f.reason == reasonBroken || f.reason == reasonTruncated || f.reason == reasonTimeout
	return interrupted && (state.eventsRead > 0 || x.responseStarted)
}

func (x *exchange) resumeStream(t target, state *relayState, resumes int) *failure {
	ctx, wd := newWatchdog(x.workCtx, streamIdleTimeout)
	defer wd.stop()
	if resumes > 0 {
		timing.Sleep(ctx, x.h.backoff(resumes))
	}
	resp, f := x.resume(ctx, t, state.eventsRead)
	if f != nil {
		return f
	}
	return x.relayResponse(ctx, wd, t, resp, state)
}

// relayResponse relays the events of one response.
func (x *exchange) relayResponse(ctx context.Context, wd *watchdog, t target, resp *http.Response, state *relayState) *failure {
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return x.classifyChatStatus(resp)
	}
	events := newEventReader(resp.Body, x.reserveEvent(ctx, state))
	for first := true; ; first = false {
		data, err := events.next()
		if err != nil {
			return x.classifyReadError(ctx, err)
		}
		if first {
			wd.reset()
		}
		state.eventsRead++
		x.recordBegun()
		if bytes.Equal(data, doneMarker) {
			wd.reset()
			return x.completeStream(t, state)
		}
		done, f := x.relayEvent(wd, t, data, state)
		if done || f != nil {
			return f
		}
	}
}

// relayEvent relays one event, or holds it back from the first finish reason or usage event on.
func (x *exchange) relayEvent(wd *watchdog, t target, data []byte, state *relayState) (done bool, f *failure) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return false, &failure{reason: reasonError, detail: "an event is not valid JSON"}
	}
	if c.Error != nil {
		return false, &failure{reason: reasonError, detail: "the upstream ended the stream with an error event"}
	}
	if state.answerID == "" {
		state.answerID = c.ID
	}
	if c.ID != state.answerID {
		return false, &failure{reason: reasonForeign, detail: "an event carries the id of another answer"}
	}
	if c.Usage != nil {
		state.usedTokens = max(state.usedTokens, c.Usage.TotalTokens)
	}
	if state.outputTokens+c.minOutputTokens() > x.outputLimit || !x.isRerun && state.usedTokens > x.maxCharge+x.alreadyCharged {
		return true, x.cutStream(t, &c, state)
	}
	output := c.minOutputTokens()
	state.outputTokens += output
	isFirstFinal := len(state.heldEvents) == 0 && (c.hasFinishReason() || len(c.Choices) == 0 && x.includeUsage)
	if output > 0 || isFirstFinal {
		wd.reset() // others must not keep the call for ever
	}
	if len(c.Choices) == 0 && !x.includeUsage {
		return false, nil
	}
	if isFirstFinal || len(state.heldEvents) > 0 {
		return false, x.holdEvent(data, state)
	}
	return false, x.writeEvent(data)
}

// holdEvent holds a final event back.
func (x *exchange) holdEvent(data []byte, state *relayState) *failure {
	state.heldMemory += int64(len(data) + heldEventMemory)
	if state.heldMemory > maxHeldBytes {
		x.h.counters.event("answers_over_limit")
		return &failure{reason: reasonError, detail: "the final events exceed the size limit"}
	}
	state.heldEvents = append(state.heldEvents, data)
	return nil
}

// completeStream settles a complete answer and then relays the held events.
func (x *exchange) completeStream(t target, state *relayState) *failure {
	used := max(state.usedTokens, state.outputTokens)
	if state.usedTokens == 0 {
		used = max(x.queryUsedTokens(t), state.outputTokens)
	}
	return x.endStream(state, used, false)
}

// cutStream ends a stream that exceeds its output limit or reservation. It charges
// the usage reported by the upstream, but at most the reservation.
func (x *exchange) cutStream(t target, last *chunk, state *relayState) *failure {
	x.h.counters.event("streams_cut")
	reserved := x.maxCharge + x.alreadyCharged
	used, known := x.cancel(t)
	if !known || used <= 0 {
		used = reserved
	}
	state.heldEvents = append(state.heldEvents, outputLimitEvent(last))
	return x.endStream(state, min(used, reserved), true)
}

// endStream commits the charge and writes the held events and the end marker.
func (x *exchange) endStream(state *relayState, used int64, partial bool) *failure {
	if err := x.settle(used, nil, partial); err != nil {
		return &failure{reason: reasonError, finalError: settlementError(err), detail: err.Error()}
	}
	for _, data := range append(state.heldEvents, doneMarker) {
		if f := x.writeEvent(data); f != nil {
			return nil
		}
	}
	return nil
}

// settlementError returns the error for an answer that is withheld because its
// charge could not be committed. The call has run.
func settlementError(err error) *errkind.Error {
	return errkind.From(err).WithOutcome(errkind.Ran).WithRetryAfter(controlRetryAfter)
}

// abortStream ends a stream that can't be completed: it reports a crash, charges
// the tokens used, and sends an error event so that the caller sees the answer
// as incomplete.
func (x *exchange) abortStream(f *failure, t target, state *relayState) *failure {
	e := f.finalError
	if f.connectionBroken {
		_ = x.reportCrash(t)
	}
	if e == nil {
		x.aborted = true
		used, known := x.cancel(t)
		if !known {
			used = max(state.usedTokens, state.outputTokens)
		}
		_ = x.settle(used, nil, true)
		e = errkind.New(errkind.UpstreamFailed, "the stream was interrupted: %s", f.reason).
			WithOutcome(errkind.Ran).WithRetryAfter(upstreamRetryAfter)
	}
	x.h.counters.refusal(e.Kind)
	_ = x.writeEvent(errorEvent(e, x.requestID))
	return nil
}

// writeEvent writes one event to the caller, preceded by the response header if it is the first.
func (x *exchange) writeEvent(data []byte) *failure {
	if !x.responseStarted {
		x.responseStarted = true
		x.timeToFirstEvent = x.h.Now().Sub(x.dispatchedAt)
		x.w.Header().Set("Content-Type", "text/event-stream")
		x.w.Header().Set("Cache-Control", "no-cache")
		x.w.WriteHeader(http.StatusOK)
	}
	x.h.extendWriteDeadline(x.w)
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	_, err := x.w.Write(line)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		return &failure{reason: reasonBroken, callerDisconnected: true, detail: "the caller has disconnected"}
	}
	return nil
}

// classifyReadError classifies an error while reading an answer.
func (x *exchange) classifyReadError(ctx context.Context, err error) *failure {
	switch {
	case errors.Is(err, errEventTooLarge):
		x.h.counters.event("answers_over_limit")
		return &failure{reason: reasonError, detail: err.Error()}
	case errors.Is(err, io.EOF):
		return &failure{reason: reasonTruncated, detail: "the stream ended without its end marker"}
	default:
		return x.classifyTransportError(ctx, err, false)
	}
}

// handleCallerDisconnect cancels the call of a disconnected caller and charges the tokens used.
func (x *exchange) handleCallerDisconnect(t target, output int64) {
	x.h.counters.event("callers_gone")
	used, known := x.cancel(t)
	if !known {
		used = output
	}
	if used == 0 && !x.responseStarted {
		_ = x.release(x.mayHaveRun)
		return
	}
	_ = x.settle(used, nil, true)
}

// queryUsedTokens returns the token count that the upstream reports for the call, or 0.
func (x *exchange) queryUsedTokens(t target) int64 {
	if !t.servesRequestState {
		return 0
	}
	state, err := x.h.upstreams.requestState(context.WithoutCancel(x.ctx), http.MethodGet, t.address, x.requestID)
	if err != nil {
		return 0
	}
	return state.Tokens
}
