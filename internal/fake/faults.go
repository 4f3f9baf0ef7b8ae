package fake

import (
	"bytes"
	"time"
)

// Faults configures the fault injection of a stand-in. The zero value injects none.
type Faults struct {
	// CrashMarker is a text that crashes the stand-in if it occurs in a request body.
	CrashMarker string `json:"crash_marker,omitempty"`
	// ExtraTokens is the number of tokens by which answers exceed their output limit.
	ExtraTokens int64 `json:"extra_tokens,omitempty"`
	// TruncateAfter, if positive, aborts streams after this number of tokens, without the final events.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
	// ForeignID, if not empty, replaces the request id in answers, as if they belonged to
	// another request.
	ForeignID string `json:"foreign_id,omitempty"`
	// AnswerDelayMS delays each answer after the request has run, in milliseconds.
	AnswerDelayMS int64 `json:"answer_delay_ms,omitempty"`
	// ExtraTokenTimeMS delays each output token, in milliseconds.
	ExtraTokenTimeMS int64 `json:"extra_token_time_ms,omitempty"`
	// Refuse closes the connection of each request before the request runs.
	Refuse bool `json:"refuse,omitempty"`
	// DropAnswers closes the connection of each request after it has run, without an answer.
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
