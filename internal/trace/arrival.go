package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

const maxLineBytes = 1 << 16

// Arrival is one request of a trace. Its prompt is generated from seeds and lengths.
type Arrival struct {
	// AtMS is the time since the start of the trace, in milliseconds.
	AtMS         int64  `json:"at_ms"`
	Key          string `json:"key"`
	Organisation string `json:"organisation"`
	Class        string `json:"class"`
	Service      string `json:"service"`
	// Method and Path describe a call of a plain service; they are empty for a chat request.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// PrefixBytes is the length of the prompt prefix shared within the organisation; TextBytes
	// is the length of the rest of the prompt.
	PrefixBytes int   `json:"prefix_bytes,omitempty"`
	TextBytes   int   `json:"text_bytes,omitempty"`
	MaxTokens   int64 `json:"max_tokens,omitempty"`
	// ResendMS is the time after which the caller sends the request again without waiting
	// for its answer, in milliseconds; 0 means never.
	ResendMS int64 `json:"resend_ms,omitempty"`
}

// Caller returns the name of the caller. There is one caller per organisation and class.
func (a *Arrival) Caller() string { return CallerName(a.Organisation, a.Class) }

// CallerName returns the name of the caller of the given organisation and class.
func CallerName(organisation, class string) string { return organisation + "-" + class }

// Prompt returns the prompt of a chat request.
func (a *Arrival) Prompt() string {
	return seededText("prefix "+a.Organisation, a.PrefixBytes) + seededText(a.Key, a.TextBytes)
}

// seededText returns n pseudo-random letters and spaces, generated from seed.
func seededText(seed string, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz aeiou"
	var b strings.Builder
	b.Grow(n)
	x := xxhash.Sum64String(seed)
	for range n {
		x = x*6364136223846793005 + 1442695040888963407
		b.WriteByte(letters[x>>59])
	}
	return b.String()
}

// Read decodes a trace of JSON lines.
func Read(r io.Reader) ([]Arrival, error) {
	var all []Arrival
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var a Arrival
		if err := json.Unmarshal(scanner.Bytes(), &a); err != nil {
			return nil, eris.Wrapf(err, "line %d", len(all)+1)
		}
		all = append(all, a)
	}
	return all, eris.Wrap(scanner.Err(), "read trace")
}

// Write encodes arrivals as JSON lines.
func Write(w io.Writer, arrivals []Arrival) error {
	for i := range arrivals {
		line, err := json.Marshal(&arrivals[i])
		if err != nil {
			return eris.Wrap(err, "encode arrival")
		}
		if _, err := fmt.Fprintf(w, "%s\n", line); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	return nil
}
