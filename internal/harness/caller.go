package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	maxEventBytes        = 1 << 20
	headerIdempotencyKey = "Idempotency-Key"
	eventPrefix          = "data: "
	endOfStream          = "[DONE]"
)

// Caller sends requests with the credentials of one caller.
type Caller struct {
	// Key is the caller's bearer key.
	Key string
	// HTTP sends the requests. If nil, http.DefaultClient is used.
	HTTP *http.Client
}

// Answer is the response to a call, as received by the caller.
type Answer struct {
	Status    int
	RequestID string
	// Refusal is the refusal in the body of a response with an error status, or in an event of
	// a stream.
	Refusal *errkind.Error
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	// Body is the complete body of an answer that is not a stream.
	Body []byte
	// Text is the text of a chat answer, and Events the number of its stream events.
	Text   string
	Events int
	// Model and Usage are the model and the token usage that a chat answer states.
	Model string
	Usage *Usage
	// Complete means that the answer was received to its end.
	Complete bool
	// TimeToFirstToken is the time from sending the call to the first text of the answer, and
	// Total the time to its end. Both are nearly equal if the answer is not a stream.
	TimeToFirstToken time.Duration
	Total            time.Duration
}

// Usage is the token usage that a chat answer states.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chatAnswer is a complete chat answer or one event of a streamed one.
type chatAnswer struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// text returns the text of all choices.
func (a *chatAnswer) text() string {
	var b strings.Builder
	for _, c := range a.Choices {
		b.WriteString(c.Delta.Content)
		b.WriteString(c.Message.Content)
	}
	return b.String()
}

// Call is one request of a caller.
type Call struct {
	Method string
	// URL is the base URL of the server, and Path the path below it.
	URL  string
	Path string
	// IdempotencyKey is optional.
	IdempotencyKey string
	Body           []byte
	// RequestID is optional. It is set on calls that go directly to a stand-in.
	RequestID string
}

// PathChat is the path of chat requests.
const PathChat = "/v1/chat/completions"

// chatRequest is the body of a streamed chat request.
type chatRequest struct {
	Model         string        `json:"model"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	MaxTokens     int64         `json:"max_tokens"`
	Messages      []chatMessage `json:"messages"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody returns the body of a streamed chat request that has one message and asks for the
// token usage.
func ChatBody(model string, maxTokens int64, text string) []byte {
	body, err := json.Marshal(chatRequest{
		Model:         model,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		MaxTokens:     maxTokens,
		Messages:      []chatMessage{{Role: "user", Content: text}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// Do sends call and reads the answer. An error means that the answer was lost or aborted. The
// returned answer then holds what was received.
func (c *Caller) Do(ctx context.Context, call Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return &Answer{}, eris.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	if call.RequestID != "" {
		req.Header.Set(announce.HeaderRequestID, call.RequestID)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	sent := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return &Answer{}, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	a := &Answer{
		Status:     resp.StatusCode,
		RequestID:  resp.Header.Get(announce.HeaderRequestID),
		RetryAfter: resp.Header.Get("Retry-After"),
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readStream(resp.Body, sent)
	} else {
		err = a.readBody(resp.Body, sent)
	}
	a.Total = time.Since(sent)
	return a, err
}

func (a *Answer) readBody(body io.Reader, sent time.Time) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	a.Body = data
	a.TimeToFirstToken = time.Since(sent)
	a.Complete = true
	var chat chatAnswer
	if json.Unmarshal(data, &chat) != nil {
		return nil
	}
	if a.Status >= http.StatusBadRequest {
		return a.readRefusal(chat.Error)
	}
	a.Model = chat.Model
	a.Text = chat.text()
	a.Usage = chat.Usage
	return nil
}

func (a *Answer) readRefusal(data json.RawMessage) error {
	var e errkind.Error
	if err := json.Unmarshal(data, &e); err != nil {
		return eris.Wrap(err, "decode refusal")
	}
	a.Refusal = &e
	return nil
}

func (a *Answer) readStream(body io.Reader, sent time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !isData {
			continue
		}
		a.Events++
		if data == endOfStream {
			a.Complete = true
			continue
		}
		var event chatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "decode event")
		}
		if len(event.Error) > 0 {
			return a.readRefusal(event.Error)
		}
		a.Model = event.Model
		if event.Usage != nil {
			a.Usage = event.Usage
		}
		if delta := event.text(); delta != "" {
			if text.Len() == 0 {
				a.TimeToFirstToken = time.Since(sent)
			}
			text.WriteString(delta)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read stream")
	}
	if !a.Complete {
		return eris.New("stream aborted: no end marker")
	}
	return nil
}
