package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	chatPath = "/v1/chat/completions"
	// maxOutputTokens is the largest output limit that a caller may request.
	maxOutputTokens = 1 << 24
	// maxChoices is the largest number of choices that a request may ask for.
	maxChoices = 8
	// maxPrefixBlocks is the largest number of prompt blocks that are hashed for routing.
	maxPrefixBlocks = 64
	// chatTemplateTokens covers the tokens that an engine's chat template adds to a prompt.
	chatTemplateTokens = 16
)

// chatRequest holds the fields of a chat completion request that this package reads.
type chatRequest struct {
	Model               string   `json:"model"`
	Messages            messages `json:"messages"`
	Stream              bool     `json:"stream"`
	MaxTokens           *int64   `json:"max_tokens"`
	MaxCompletionTokens *int64   `json:"max_completion_tokens"`
	N                   *int64   `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// messages are decoded one by one, so that a list of messages without content, which take many times their text, is refused at
// the first of them.
type messages []message

var errNoRole = errors.New("a message has no role")

// UnmarshalJSON implements json.Unmarshaler.
func (l *messages) UnmarshalJSON(data []byte) error {
	*l = nil
	if string(data) == "null" {
		return nil
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if first, err := decoder.Token(); err != nil || first != json.Delim('[') {
		return errors.New("messages must be a list")
	}
	for decoder.More() {
		var m message
		if err := decoder.Decode(&m); err != nil {
			return err
		}
		if m.Role == "" {
			return errNoRole
		}
		*l = append(*l, m)
	}
	return nil
}

// chatRequestFields are the JSON names of chatRequest's fields. Case variants of
// them are rejected, because encoding/json matches names without regard to case
// while an engine may not, so the two could read different values.
var chatRequestFields = []string{"model", "messages", "stream", "max_tokens", "max_completion_tokens", "n", "stream_options"}

// parseChat decodes and validates the body of a chat request.
func parseChat(body []byte) (*chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not a valid chat request: %v", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "model and messages are required")
	}
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > maxOutputTokens) {
			return nil, errkind.New(errkind.InvalidRequest, "the output limit must be between 1 and %d", maxOutputTokens)
		}
	}
	if req.N != nil && (*req.N < 1 || *req.N > maxChoices) {
		return nil, errkind.New(errkind.InvalidRequest, "n must be between 1 and %d", maxChoices)
	}
	return &req, nil
}

// outputLimit returns the output limit per choice. The limits of the service and
// of the host apply, in this order, to a request that sets none.
func (r *chatRequest) outputLimit(service, host int64) int64 {
	switch {
	case r.MaxCompletionTokens != nil && r.MaxTokens != nil:
		return min(*r.MaxCompletionTokens, *r.MaxTokens)
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	case service > 0:
		return service
	default:
		return host
	}
}

func (r *chatRequest) choices() int64 {
	if r.N == nil {
		return 1
	}
	return *r.N
}

// prompt returns the concatenated roles and contents of the messages.
func (r *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			b.WriteString(text)
		} else {
			b.Write(m.Content)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// promptTokenBound returns an upper bound on the prompt tokens of a body: a token
// represents at least one byte, and the JSON syntax around a message is longer
// than what a chat template inserts per message.
func promptTokenBound(body []byte) int64 {
	return int64(len(body)) + chatTemplateTokens
}

// applyOutputLimit returns body with the output limit set and, for a stream, with usage reporting enabled.
func applyOutputLimit(body []byte, req *chatRequest, limit int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not a JSON object: %v", err)
	}
	for name := range fields {
		if lower := strings.ToLower(name); lower != name && slices.Contains(chatRequestFields, lower) {
			return nil, errkind.New(errkind.InvalidRequest, "the field %q must be spelled %q", name, lower)
		}
	}
	value := json.RawMessage(strconv.FormatInt(limit, 10))
	fields["max_tokens"] = value
	if req.MaxCompletionTokens != nil {
		fields["max_completion_tokens"] = value
	}
	if req.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	return json.Marshal(fields)
}

// serveChat serves POST /v1/chat/completions.
func (h *Handler) serveChat(w http.ResponseWriter, r *http.Request) error {
	in, err := h.receive(w, r)
	if err != nil {
		return err
	}
	req, err := parseChat(in.body)
	if err != nil {
		return err
	}
	spec, err := in.service(req.Model, config.ServiceModel)
	if err != nil {
		return h.resolveOutcome(r.Context(), w, in.idempotencyKey, true, err)
	}
	limit := req.outputLimit(spec.MaxOutputTokens, h.Limits.OutputTokens)
	body, err := applyOutputLimit(in.body, req, limit)
	if err != nil {
		return err
	}
	output := limit * req.choices()
	promptBound := promptTokenBound(body)
	if output > math.MaxInt64-promptBound {
		return errkind.New(errkind.InvalidRequest, "the output limit is too large")
	}
	c := call{
		service:      req.Model,
		kind:         callChatNonStreaming,
		method:       http.MethodPost,
		path:         chatPath,
		contentType:  "application/json",
		body:         body,
		bodyHash:     controlapi.BodyHash(req.Model, chatPath, in.body),
		repeatable:   true,
		maxCharge:    promptBound + output,
		outputLimit:  output,
		includeUsage: req.StreamOptions.IncludeUsage,
		prefix:       announce.PrefixHashes(req.Model, req.prompt(), maxPrefixBlocks),
	}
	if req.Stream {
		c.kind = callChatStream
	}
	return h.serveCall(w, r, in, c)
}
