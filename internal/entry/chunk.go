package entry

import (
	"encoding/json"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// chunk holds the fields of a stream event, or of a non-streaming completion, that this package reads.
type chunk struct {
	ID      string        `json:"id"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type chunkChoice struct {
	Index        int                        `json:"index"`
	Delta        map[string]json.RawMessage `json:"delta"`
	FinishReason *string                    `json:"finish_reason"`
}

type chunkUsage struct {
	TotalTokens int64 `json:"total_tokens"`
}

// hasFinishReason reports whether the event ends a choice.
func (c *chunk) hasFinishReason() bool {
	for i := range c.Choices {
		if c.Choices[i].FinishReason != nil {
			return true
		}
	}
	return false
}

// minOutputTokens returns a lower bound on the output tokens in the event: one per choice with output.
func (c *chunk) minOutputTokens() int64 {
	var n int64
	for i := range c.Choices {
		if c.Choices[i].hasOutput() {
			n++
		}
	}
	return n
}

// hasOutput reports whether the delta contains output other than the role.
func (c *chunkChoice) hasOutput() bool {
	for name, value := range c.Delta {
		empty := string(value) == `""` || string(value) == "null"
		if name != "role" && !empty {
			return true
		}
	}
	return false
}

// outputLimitEvent returns the event that ends a stream with finish reason "length".
func outputLimitEvent(last *chunk) []byte {
	type choice struct {
		Index        int      `json:"index"`
		Delta        struct{} `json:"delta"`
		FinishReason string   `json:"finish_reason"`
	}
	event, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{last.ID, "chat.completion.chunk", last.Created, last.Model, []choice{{FinishReason: "length"}}})
	return event
}

// errorEvent returns the error event that ends an aborted stream.
func errorEvent(e *errkind.Error, requestID string) []byte {
	event, _ := json.Marshal(newErrorBody(e, requestID))
	return event
}
