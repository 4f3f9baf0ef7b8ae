package errkind_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestEveryKindHasRow(t *testing.T) {
	g := NewWithT(t)
	for _, k := range errkind.Kinds() {
		row := errkind.Lookup(k)
		g.Expect(row.Status).To(BeNumerically(">=", 400), string(k))
		g.Expect(row.Outcome).NotTo(BeEmpty(), string(k))
	}
}

func TestWithRetryAfterReturnsCopy(t *testing.T) {
	g := NewWithT(t)
	first := errkind.New(errkind.Overloaded, "queue full")
	second := first.WithRetryAfter(2 * time.Second)
	g.Expect(first.RetryAfterMS).To(BeZero())
	g.Expect(second.RetryAfterMS).To(Equal(int64(2000)))
	g.Expect(second.Outcome()).To(Equal(errkind.NotRun))
}

func TestRetryAfterHeaderRoundsUp(t *testing.T) {
	g := NewWithT(t)
	w := httptest.NewRecorder()
	e := errkind.New(errkind.Overloaded, "queue full").WithRetryAfter(1001 * time.Millisecond)
	e.WriteHeader(w)
	g.Expect(w.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("2"))
	g.Expect(e.Body().Retryable).To(BeTrue())
	g.Expect(e.Body().Outcome).To(Equal(errkind.NotRun))
}

func TestErrorWithoutKindIsInternal(t *testing.T) {
	g := NewWithT(t)
	e := errkind.From(errors.New("unexpected"))
	g.Expect(e.Kind).To(Equal(errkind.Internal))
	g.Expect(e.Outcome()).To(Equal(errkind.Unknown))
	g.Expect(errkind.Lookup("no such kind")).To(Equal(errkind.Lookup(errkind.Internal)))
}
