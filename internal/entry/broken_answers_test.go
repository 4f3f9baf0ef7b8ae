package entry

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// errorText is the body of errors that no caller may find in an answer of another status.
const errorText = "the model is out of order"

// errorsAfterBreak are the answers to everything that is asked after an answer broke off.
var errorsAfterBreak = map[string]func(id string) []byte{
	"failure": func(id string) []byte { return rawAnswer(http.StatusInternalServerError, []byte(errorText), "", id) },
	"refusal": func(id string) []byte {
		return rawAnswer(http.StatusServiceUnavailable, []byte(errorText), "Retry-After: 1\r\n", id)
	},
	"unknown": func(id string) []byte { return rawAnswer(http.StatusNotFound, []byte(errorText), "", id) },
	"error as a stream": func(id string) []byte {
		return rawAnswer(http.StatusBadGateway, []byte("data: "+errorText+"\n\ndata: [DONE]\n\n"), "Content-Type: text/event-stream\r\n", id)
	},
	"success without an id": func(string) []byte {
		return rawAnswer(http.StatusOK, []byte(errorText), "Content-Type: text/plain\r\n")
	},
}

// wholeAnswerLength is the number of bytes of a whole answer to a call.
func wholeAnswerLength(t *testing.T, call func(s *simulation) answer) (length int) {
	inSimulation(t, 10_000, func(s *simulation) {
		s.addRepeatingUpstream(0, &repeatingUpstream{respond: func(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
			answer := u.answerTruly(r)
			if _, isQuery := requestIDOf(r); !isQuery {
				length = len(answer)
			}
			return answer, true
		}})
		s.Expect(call(s).status).To(Equal(http.StatusOK))
	})
	return length
}

// Guards against an error's text in a stream that broke off, and against a part of an answer that looks whole,
// wherever the upstream stopped.
func TestAnswersThatUpstreamsBreakOffNeverLookWhole(t *testing.T) {
	for callName, call := range callsOfAllKinds {
		length := wholeAnswerLength(t, call)
		for errorName, errorAnswer := range errorsAfterBreak {
			t.Run(callName+", "+errorName, func(t *testing.T) {
				t.Parallel()
				for after := range length {
					inSimulation(t, 10_000, func(s *simulation) { s.breakAnswer(call, after, errorAnswer) })
				}
			})
		}
	}
}

// breakAnswer makes a call whose answer stops after a number of bytes, and checks what the caller gets.
func (s *simulation) breakAnswer(call func(s *simulation) answer, after int, errorAnswer func(id string) []byte) {
	broken := false
	respond := func(u *repeatingUpstream, r *http.Request, _ bool) ([]byte, bool) {
		id, isQuery := requestIDOf(r)
		if broken || isQuery {
			return errorAnswer(id), true
		}
		broken = true
		return u.answerTruly(r)[:after], false
	}
	var upstreams []*repeatingUpstream
	for i := range 2 {
		upstreams = append(upstreams, s.addRepeatingUpstream(i, &repeatingUpstream{respond: respond}))
	}
	a := call(s)
	s.Expect(broken).To(BeTrue())
	s.expectTruth(a, upstreams)
	if a.status != http.StatusOK {
		return
	}
	s.Expect(a.body).NotTo(ContainSubstring(errorText), "after %d bytes", after)
	id := a.header.Get(announce.HeaderRequestID)
	isStream := strings.HasPrefix(a.header.Get("Content-Type"), "text/event-stream")
	s.Expect(isStream).To(BeTrue(), "after %d bytes: %q, %v", after, a.body, a.err)
	s.Expect(wholeStream(id)).To(HavePrefix(a.text()), "after %d bytes", after)
	if a.err == nil && a.complete() {
		s.Expect(a.text()).To(Equal(wholeStream(id)), "after %d bytes", after)
	}
}
