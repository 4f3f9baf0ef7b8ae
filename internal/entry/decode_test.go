package entry

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestEventReader(t *testing.T) {
	tests := map[string]struct {
		stream string
		events []string
		end    error
	}{
		"events":             {"data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		"CRLF":               {"data: a\r\n\r\n", []string{"a"}, io.EOF},
		"lines of one event": {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"comments and names": {": ping\n\nevent: x\ndata: a\n\n", []string{"a"}, io.EOF},
		"cut in a line":      {"data: a\n\ndata: b", []string{"a"}, io.ErrUnexpectedEOF},
		"cut in an event":    {"data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		"too large":          {"data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", nil, errEventTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := newEventReader(strings.NewReader(test.stream), nil)
			var events []string
			for {
				data, err := r.next()
				if err != nil {
					g.Expect(errors.Is(err, test.end)).To(BeTrue(), "%v", err)
					break
				}
				events = append(events, string(data))
			}
			g.Expect(events).To(Equal(test.events))
		})
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("data: a\n\ndata: [DONE]\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		r := newEventReader(strings.NewReader(stream), nil)
		read := 0
		for {
			data, err := r.next()
			if err != nil {
				return
			}
			if read += len(data); read > len(stream) {
				t.Fatalf("read %d bytes of %d", read, len(stream))
			}
		}
	})
}

func FuzzParseChat(f *testing.F) {
	f.Add(nonStreamingBody)
	f.Add(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":5,"n":2}`)
	f.Fuzz(func(t *testing.T, body string) {
		req, err := parseChat([]byte(body))
		if err != nil {
			return
		}
		limit := req.outputLimit(0, defaultOutputTokens)
		if limit < 1 || limit > maxOutputTokens || req.choices() < 1 {
			t.Fatalf("limit %d, choices %d", limit, req.choices())
		}
		sent, err := applyOutputLimit([]byte(body), req, limit)
		if err != nil {
			return
		}
		again, err := parseChat(sent)
		if err != nil || again.outputLimit(0, 0) != limit || promptTokenBound(sent) < int64(len(req.prompt()))/4 {
			t.Fatalf("sent on %q: %v", sent, err)
		}
		if !json.Valid(sent) {
			t.Fatalf("sent on %q", sent)
		}
	})
}
