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

// maxReasonBytes bounds what is passed on of an upstream's reason for a refusal.
const maxReasonBytes = 512

// tryWhole passes the whole answer of an engine on.
func (x *exchange) tryWhole(t target) *failure {
	ctx, watch := newWatch(x.work, x.untilDeadline())
	defer watch.stop()
	resp, f := x.sendCall(ctx, t)
	if f != nil {
		return f
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return x.chatStatus(resp)
	}
	body, f := x.readAnswer(resp)
	if f != nil {
		return f
	}
	var c chunk
	if err := json.Unmarshal(body, &c); err != nil || len(c.Choices) == 0 {
		return &failure{reason: reasonTruncated, text: "the answer is not a whole completion"}
	}
	used := int64(0)
	if c.Usage != nil {
		used = c.Usage.TotalTokens
	}
	if used <= 0 {
		used = x.askUsed(t)
	}
	answer := &controlapi.StoredAnswer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}
	return x.deliver(answer, used)
}

// readAnswer reads a whole answer. An answer that is cut short is a failure.
func (x *exchange) readAnswer(resp *http.Response) ([]byte, *failure) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, x.h.Limits.AnswerBytes+1))
	if err != nil {
		return nil, x.transportFailure(resp.Request.Context(), err, false)
	}
	if int64(len(body)) > x.h.Limits.AnswerBytes {
		return nil, &failure{reason: reasonError, text: "the answer is too large"}
	}
	return body, nil
}

// deliver commits the charge and then gives the whole answer.
func (x *exchange) deliver(answer *controlapi.StoredAnswer, used int64) *failure {
	x.firstByte = x.h.Now().Sub(x.tried)
	if err := x.settle(used, answer, false); err != nil {
		return &failure{reason: reasonError, final: settleRefusal(err), text: err.Error()}
	}
	x.write(answer)
	return nil
}

// write gives an answer to the caller.
func (x *exchange) write(answer *controlapi.StoredAnswer) {
	x.started = true
	if answer.ContentType != "" {
		x.w.Header().Set("Content-Type", answer.ContentType)
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	x.h.allowWrite(x.w)
	x.w.WriteHeader(answer.Status)
	_, _ = x.w.Write(answer.Body)
}

// chatStatus classifies an engine's answer that is not a completion. By the
// upstream protocol an engine that answers 409, 429 or another 4xx, or 503, has
// not run the request.
func (x *exchange) chatStatus(resp *http.Response) *failure {
	code := resp.StatusCode
	// The reason may repeat the prompt, so only the caller gets it.
	text := "status " + strconv.Itoa(code)
	switch {
	case code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge || code == http.StatusUnprocessableEntity:
		return &failure{reason: reasonRefused, notRun: true, text: text,
			final: errkind.New(errkind.InvalidRequest, "the engine refuses the request: %s", readReason(resp))}
	case code == http.StatusServiceUnavailable || code >= http.StatusBadRequest && code < http.StatusInternalServerError:
		return &failure{reason: reasonRefused, notRun: true, text: text}
	default:
		return &failure{reason: reasonError, text: text}
	}
}

func readReason(resp *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
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

// tryPlain passes the answer of a plain service on.
func (x *exchange) tryPlain(t target) *failure {
	ctx, watch := newWatch(x.work, max(x.untilDeadline(), minPlainTime))
	defer watch.stop()
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
		return &failure{reason: reasonRefused, text: "status " + strconv.Itoa(resp.StatusCode) + " without the request's id"}
	}
	return x.deliver(&controlapi.StoredAnswer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
	}, x.worst)
}

// minPlainTime is the least time that a call of a plain service is given.
const minPlainTime = 100 * time.Millisecond
