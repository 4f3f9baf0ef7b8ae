package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// maxRefusalReasonBytes bounds how much of an upstream's error body is read for its reason.
const maxRefusalReasonBytes = 512

// dispatchNonStreaming sends the call to an engine and delivers its non-streaming answer.
func (x *exchange) dispatchNonStreaming(t target) *failure {
	ctx, wd := newWatchdog(x.workCtx, x.timeToDeadline())
	defer wd.stop()
	resp, f := x.sendCall(ctx, t)
	if f != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return x.classifyChatStatus(resp)
	}
	body, f := x.readAnswer(resp)
	if f != nil {
		return f
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil || !bool(c.Choices) {
		return &failure{reason: reasonTruncated, detail: "the answer is not a complete chat completion"}
	}
	used := int64(0)
	if c.Usage != nil {
		used = c.Usage.TotalTokens
	}
	if used <= 0 {
		used = x.queryUsedTokens(t)
	}
	answer := &controlapi.StoredAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	return x.deliver(answer, used)
}

// readAnswer reads a response body up to Limits.AnswerBytes. A truncated body is a failure.
func (x *exchange) readAnswer(resp *http.Response) ([]byte, *failure) {
	ctx, limit := resp.Request.Context(), x.h.Limits.AnswerBytes
	body, err := x.hold().ReadAll(ctx.Done(), resp.Body, 0, resp.ContentLength, limit)
	if err == nil && int64(len(body)) > limit {
		x.h.counters.event("answers_over_limit")
		return nil, &failure{reason: reasonError, detail: "the answer exceeds the size limit"}
	}
	if err == nil {
		err = x.hold().Resize(ctx.Done(), int64(answerCopies*len(body)))
	}
	if err != nil {
		return nil, x.classifyTransportError(ctx, err, false)
	}
	return body, nil
}

// deliver commits the charge and then writes the answer to the caller.
func (x *exchange) deliver(answer *controlapi.StoredAnswer, used int64) *failure {
	x.timeToFirstEvent = x.h.Now().Sub(x.dispatchedAt)
	if err := x.settle(used, answer, false); err != nil {
		return &failure{reason: reasonError, finalError: settlementError(err), detail: err.Error()}
	}
	x.write(answer)
	return nil
}

// write writes an answer to the caller.
func (x *exchange) write(answer *controlapi.StoredAnswer) {
	x.responseStarted = true
	if answer.ContentType != "" {
		x.w.Header().Set("Content-Type", answer.ContentType)
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	x.h.extendWriteDeadline(x.w)
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
}

// classifyChatStatus classifies an engine's response with a status other than 200.
// By the upstream protocol an engine that answers with 409, 429 or another 4xx
// status, or with 503, has not run the request.
func (x *exchange) classifyChatStatus(resp *http.Response) *failure {
	code := resp.StatusCode
	// The engine's reason may quote the prompt, so it is returned to the caller but not logged.
	text := "status " + strconv.Itoa(code)
	switch {
	case code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge || code == http.StatusUnprocessableEntity:
		return &failure{reason: reasonRefused, notRun: true, detail: text,
			finalError: errkind.New(errkind.InvalidRequest, "the engine rejected the request: %s", readRefusalReason(resp))}
	case code == http.StatusServiceUnavailable || code >= http.StatusBadRequest && code < http.StatusInternalServerError:
		return &failure{reason: reasonRefused, notRun: true, detail: text}
	default:
		return &failure{reason: reasonError, detail: text}
	}
}

func readRefusalReason(resp *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalReasonBytes))
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) == nil && body.Error.Message != "" {
		return body.Error.Message
	}
	return http.StatusText(resp.StatusCode)
}

// dispatchPlain sends the call to a plain service and delivers its answer.
func (x *exchange) dispatchPlain(t target) *failure {
	ctx, wd := newWatchdog(x.workCtx, max(x.timeToDeadline(), minPlainTimeout))
	defer wd.stop()
	resp, f := x.sendCall(ctx, t)
	if f != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	body, f := x.readAnswer(resp)
	if f != nil {
		return f
	}
	if resp.Header.Get(announce.HeaderRequestID) != x.requestID {
		return &failure{reason: reasonRefused, detail: "status " + strconv.Itoa(resp.StatusCode) + " without the request id"}
	}
	return x.deliver(&controlapi.StoredAnswer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, x.maxCharge)
}

// minPlainTimeout is the minimum timeout of a call to a plain service.
const minPlainTimeout = 100 * time.Millisecond
