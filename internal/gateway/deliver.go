package gateway

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// deliver passes a whole answer on.
func (a *attempt) deliver(w http.ResponseWriter, held *heldAnswer) {
	maps.Copy(w.Header(), held.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(held.body)))
	w.WriteHeader(held.status)
	a.noteFirst()
	if _, err := w.Write(held.body); err != nil {
		klog.InfoS("answer not delivered", append(a.logFields(), "error", err.Error())...)
		return
	}
	a.handler.served.Inc(1)
	klog.InfoS("request answered", append(a.logFields(), "status", held.status)...)
}

// stream passes on the events of an answer as they come.
func (a *attempt) stream(w http.ResponseWriter, answer *upstreamhttp.Answer) step {
	events := upstreamhttp.NewEventReader(answer.Body)
	for {
		event, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			a.observe(placement.Served)
			a.begin(w, answer)
			a.handler.served.Inc(1)
			klog.InfoS("request answered", append(a.logFields(), "status", answer.StatusCode, "events", a.events)...)
			return finished
		case err != nil:
			return a.lost(failureBroken)
		}
		a.handler.Pool.MarkPrefilled(a.target, time.Now())
		if event.HasID && a.events > 0 && event.ID <= a.lastEvent {
			continue
		}
		a.begin(w, answer)
		if !a.pass(w, event) {
			return finished
		}
	}
}

// begin sends the header before the first event.
func (a *attempt) begin(w http.ResponseWriter, answer *upstreamhttp.Answer) {
	if a.events > 0 {
		return
	}
	maps.Copy(w.Header(), a.handler.Dialect.AnswerHeader(answer.Header))
	w.Header().Del("Content-Length")
	w.WriteHeader(answer.StatusCode)
	a.noteFirst()
}

func (q *request) noteFirst() {
	q.first = time.Since(q.arrived)
	q.handler.first.RecordDuration(q.first)
}

// pass writes one event; false means that the caller has left.
func (a *attempt) pass(w http.ResponseWriter, event *upstreamhttp.Event) bool {
	now := time.Now()
	if a.events > 0 {
		a.longest = max(a.longest, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.events++
	a.resumable = event.HasID
	if event.HasID {
		a.lastEvent = event.ID
	}
	_, err := w.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		a.observe(placement.Abandoned)
		klog.InfoS("caller left", append(a.logFields(), "events", a.events, "error", err.Error())...)
		return false
	}
	return true
}
