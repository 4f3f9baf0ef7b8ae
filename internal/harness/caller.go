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

// Caller sends requests as one caller does.
type Caller struct {
	// Key is the caller's bearer key.
	Key string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Answer is what a caller received.
type Answer struct {
	Status    int
	RequestID string
	// Refusal is set if the status is not a success and the body is an error of the system.
	Refusal *errkind.Error
	// RetryAfter is the Retry-After header.
	RetryAfter string
	// Body is a whole answer that is not a stream.
	Body []byte
	// Text is the text of a chat answer, and Events the number of its events.
	Text   string
	Events int
	// Model and Usage are those of a chat answer.
	Model string
	Usage *Usage
	// Whole tells that the answer came to its end.
	Whole bool
	// FirstToken is the time from sending to the first text, and Total that to the end.
	FirstToken time.Duration
	Total      time.Duration
}

// Usage is the usage of a chat answer in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// chatAnswer is a whole chat answer or one event of it.
type chatAnswer struct {
	Model   string `json:"model"`
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

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
	// URL is the base URL of an entry host, and Path the path below it.
	URL  string
	Path string
	// Key is the idempotency key, if any.
	Key  string
	Body []byte
	// RequestID is sent to stand-ins that are called directly.
	RequestID string
}

// PathChat is the path of chat requests.
const PathChat = "/v1/chat/completions"

// chatRequest is a streamed chat request.
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

// ChatBody returns the body of a streamed chat request with one message, whose usage is told.
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

// Do sends call and reads the whole answer. An error tells that the answer was
// lost or cut off; what arrived before is in the answer.
func (c *Caller) Do(ctx context.Context, call Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, call.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return &Answer{}, eris.Wrap(err, "call")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		req.Header.Set(headerIdempotencyKey, call.Key)
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
		return &Answer{}, eris.Wrap(err, "call")
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
		err = a.readWhole(resp.Body, sent)
	}
	a.Total = time.Since(sent)
	return a, err
}

func (a *Answer) readWhole(body io.Reader, sent time.Time) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return eris.Wrap(err, "read the answer")
	}
	a.Body = data
	a.FirstToken = time.Since(sent)
	a.Whole = true
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
		return eris.Wrap(err, "decode the refusal")
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
		data, isEvent := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !isEvent {
			continue
		}
		a.Events++
		if data == endOfStream {
			a.Whole = true
			continue
		}
		var event chatAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return eris.Wrap(err, "decode an event")
		}
		if len(event.Error) > 0 {
			return a.readRefusal(event.Error)
		}
		a.Model = event.Model
		if event.Usage != nil {
			a.Usage = event.Usage
		}
		if part := event.text(); part != "" {
			if text.Len() == 0 {
				a.FirstToken = time.Since(sent)
			}
			text.WriteString(part)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "read the stream")
	}
	if !a.Whole {
		return eris.New("the stream ended before its end marker")
	}
	return nil
}
