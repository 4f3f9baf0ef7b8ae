package entry

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// chunk holds the fields of a stream event that this package reads.
type chunk struct {
	ID      string      `json:"id"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices choiceList  `json:"choices"`
	Usage   *chunkUsage `json:"usage"`
	Error   *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// completion holds the fields of a non-streaming completion that this package reads. Its choices are not decoded, as they
// may be many.
type completion struct {
	Choices nonEmptyList `json:"choices"`
	Usage   *chunkUsage  `json:"usage"`
}

// nonEmptyList reports whether a JSON value is a list with elements.
type nonEmptyList bool

// UnmarshalJSON implements json.Unmarshaler.
func (l *nonEmptyList) UnmarshalJSON(value []byte) error {
	elements, isList := bytes.CutPrefix(value, []byte("["))
	*l = nonEmptyList(isList && !bytes.HasPrefix(bytes.TrimSpace(elements), []byte("]")))
	return nil
}

// maxEventChoices bounds the choices in one event.
const maxEventChoices = 1024

// choiceList holds the choices in one event.
type choiceList []chunkChoice

// UnmarshalJSON implements json.Unmarshaler.
func (l *choiceList) UnmarshalJSON(value []byte) error {
	*l = nil
	return decodeElements(value, '[', func(decoder *json.Decoder) error {
		if len(*l) == maxEventChoices {
			return errTooManyChoices
		}
		*l = append(*l, chunkChoice{})
		return decoder.Decode(&(*l)[len(*l)-1])
	})
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// delta tells whether a choice has output other than the role. Its fields are not kept, as they may be many.
type delta struct{ hasOutput bool }

// UnmarshalJSON implements json.Unmarshaler.
func (d *delta) UnmarshalJSON(value []byte) error {
	d.hasOutput = false
	return decodeElements(value, '{', func(decoder *json.Decoder) error {
		name, err := decoder.Token()
		if err != nil {
			return err
		}
		var field json.RawMessage
		if err := decoder.Decode(&field); err != nil {
			return err
		}
		empty := string(field) == `""` || string(field) == "null"
		d.hasOutput = d.hasOutput || name != "role" && !empty
		return nil
	})
}

var (
	errTooManyChoices = eris.New("an event has too many choices")
	errUnexpectedType = eris.New("a field has an unexpected type")
)

// decodeElements calls decode for each element of a JSON list or object, whose first character is opening, and does
// nothing for null.
func decodeElements(value []byte, opening json.Delim, decode func(*json.Decoder) error) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	first, err := decoder.Token()
	if err != nil || first == nil {
		return err
	}
	if first != opening {
		return errUnexpectedType
	}
	for decoder.More() {
		if err := decode(decoder); err != nil {
			return err
		}
	}
	return nil
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
		if c.Choices[i].Delta.hasOutput {
			n++
		}
	}
	return n
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
