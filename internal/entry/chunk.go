package entry

import (
	"encoding/json"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// chunk is the part of a stream's event, or of a whole answer, that the router reads.
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

// finishes tells whether the event ends a choice.
func (c *chunk) finishes() bool {
	for i := range c.Choices {
		if c.Choices[i].FinishReason != nil {
			return true
		}
	}
	return false
}

// tokens returns the least number of output tokens that the event carries.
func (c *chunk) tokens() int64 {
	var n int64
	for i := range c.Choices {
		if c.Choices[i].carries() {
			n++
		}
	}
	return n
}

// carries tells whether the choice brings output beside its role.
func (c *chunkChoice) carries() bool {
	for name, value := range c.Delta {
		empty := string(value) == `""` || string(value) == "null"
		if name != "role" && !empty {
			return true
		}
	}
	return false
}

// cutEvent returns the event that ends a stream at its output limit.
func cutEvent(last *chunk) []byte {
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

// errorEvent returns the event that ends a stream that can't be completed.
func errorEvent(e *errkind.Error, requestID string) []byte {
	event, _ := json.Marshal(newErrorBody(e, requestID))
	return event
}
