package fake

import (
	"bytes"
	"time"
)

// Faults tells a stand-in how to fail. The zero value is a faultless stand-in.
type Faults struct {
	// CrashMarker crashes the stand-in when a request body contains it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// ExtraTokens is the number of tokens by which answers run past their limit.
	ExtraTokens int64 `json:"extra_tokens,omitempty"`
	// TruncateAfter ends a stream without its last events after this many tokens, if positive.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
	// ForeignID answers under the request id of another request.
	ForeignID string `json:"foreign_id,omitempty"`
	// AnswerDelayMS holds each answer back after the work was done, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// ExtraTokenTimeMS slows each token down, in milliseconds.
	ExtraTokenTimeMS int64 `json:"extra_token_time_ms,omitempty"`
	// Refuse closes every connection that brings work, before the work runs.
	Refuse bool `json:"refuse,omitempty"`
	// DropAnswers runs the work and closes the connection instead of answering.
	DropAnswers bool `json:"drop_answers,omitempty"`
}

func (f Faults) crashes(body []byte) bool {
	return f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker))
}

func (f Faults) answerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMS) * time.Millisecond
}

func (f Faults) extraTokenTime() time.Duration {
	return time.Duration(f.ExtraTokenTimeMS) * time.Millisecond
}
