package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// refusingDialect refuses each request as it is decoded.
type refusingDialect struct{ Dialect }

func (refusingDialect) Decode(*http.Request) (*Call, *errkind.Error) { return nil, errDraining() }

func (refusingDialect) Refuse(w http.ResponseWriter, _ *Call, _ *errkind.Error) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against closing idle connections while callers still send requests on others of them.
func TestStopWaitsUntilNoRequestIsRefusedEither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet, refusals, interval = 500 * time.Millisecond, 40, 53 * time.Millisecond
		h := &Handler{stop: newStop(tally.NoopScope), Options: Options{Dialect: refusingDialect{}, Scope: tally.NoopScope}}
		started := time.Now()
		var refusing sync.WaitGroup
		refusing.Go(func() {
			for range refusals {
				time.Sleep(interval)
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
			}
		})
		h.AwaitRequests(t.Context(), quiet)
		quietAt := time.Now()
		refusing.Wait()
		last := started.Add(refusals * interval)
		NewWithT(t).Expect(quietAt).To(BeTemporally(">=", last.Add(quiet)), "the last refusal is %v after the start", last.Sub(started))
	})
}
