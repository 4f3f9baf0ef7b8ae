package entry

import (
	"encoding/json"
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
	// maxOutputTokens bounds the output limit that a caller may ask for.
	maxOutputTokens = 1 << 24
	// maxChoices bounds the answers that one request may ask for.
	maxChoices = 8
	// maxPrefixBlocks bounds the blocks of the prompt that routing looks at.
	maxPrefixBlocks = 64
	// templateTokens covers what an engine's template adds around a prompt.
	templateTokens = 16
)

// chatRequest is the part of a chat request that the router reads.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Stream              bool   `json:"stream"`
	MaxTokens           *int64 `json:"max_tokens"`
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	N                   *int64 `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// readFields are the names of chatRequest's fields. An engine must not read one
// of them from another spelling than the router does.
var readFields = []string{"model", "messages", "stream", "max_tokens", "max_completion_tokens", "n", "stream_options"}

// parseChat decodes and checks the body of a chat request.
func parseChat(body []byte) (*chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not a chat request: %v", err)
	}
	if req.Model == "" || len(req.Messages) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "model and messages are required")
	}
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > maxOutputTokens) {
			return nil, errkind.New(errkind.InvalidRequest, "the output limit must be 1 to %d", maxOutputTokens)
		}
	}
	if req.N != nil && (*req.N < 1 || *req.N > maxChoices) {
		return nil, errkind.New(errkind.InvalidRequest, "n must be 1 to %d", maxChoices)
	}
	return &req, nil
}

// limit returns the output limit per choice.
func (r *chatRequest) limit(service, host int64) int64 {
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

// prompt returns the roles and contents of the messages as one text.
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

// promptBound returns an upper bound on the prompt tokens of a body: a token
// stands for at least one byte, and the JSON around a message is longer than
// what a template puts there.
func promptBound(body []byte) int64 {
	return int64(len(body)) + templateTokens
}

// limitOutput returns body with the output limit set, and usage asked for in a stream.
func limitOutput(body []byte, req *chatRequest, limit int64) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "the body is not a JSON object: %v", err)
	}
	for name := range fields {
		if lower := strings.ToLower(name); lower != name && slices.Contains(readFields, lower) {
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
		return h.truthful(r.Context(), w, in.key, true, err)
	}
	limit := req.limit(spec.MaxOutputTokens, h.Limits.OutputTokens)
	body, err := limitOutput(in.body, req, limit)
	if err != nil {
		return err
	}
	output := limit * req.choices()
	bound := promptBound(body)
	if output > math.MaxInt64-bound {
		return errkind.New(errkind.InvalidRequest, "the output limit is too large")
	}
	c := call{
		service:     req.Model,
		kind:        callChatWhole,
		method:      http.MethodPost,
		path:        chatPath,
		contentType: "application/json",
		body:        body,
		bodyHash:    controlapi.BodyHash(req.Model, chatPath, in.body),
		repeatable:  true,
		worst:       bound + output,
		output:      output,
		keepUsage:   req.StreamOptions.IncludeUsage,
		prefix:      announce.PrefixHashes(req.Model, req.prompt(), maxPrefixBlocks),
	}
	if req.Stream {
		c.kind = callChatStream
	}
	return h.serveCall(w, r, in, c)
}
