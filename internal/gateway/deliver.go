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
	"github.com/godwitbend/godwitbend/internal/runmove"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// writeAnswer sends a buffered answer to the caller.
func (a *attempt) writeAnswer(w http.ResponseWriter, buffered *bufferedAnswer) {
	maps.Copy(w.Header(), buffered.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	a.handler.closeIfStopping(w)
	w.WriteHeader(buffered.status)
	a.recordFirstEvent()
	a.recordStart()
	if err := a.timeWrite(func() error { _, err := w.Write(buffered.body); return err }); err != nil {
		klog.InfoS("write to the caller failed", append(a.logFields(), "error", err.Error())...)
		return
	}
	a.outcome = gotAnswer
	a.handler.served.Inc(1)
	klog.InfoS("request answered", append(a.logFields(), "status", buffered.status)...)
}

// streamAnswer forwards the events of an answer as they arrive. Events that the caller
// already received from an earlier upstream are skipped.
func (a *attempt) streamAnswer(w http.ResponseWriter, answer *upstreamhttp.Answer) attemptResult {
	events := upstreamhttp.NewEventReader(answer.Body)
	a.releaseContinued()
	a.unacked = answer.Unacknowledged
	a.moveOpenStream()
	defer a.leaveRun()
	var watch *silenceWatch
	defer func() { watch.stop() }()
	for {
		event, err := events.Next()
		if err != nil && (answer.Unframed() || !errors.Is(err, io.EOF)) {
			switch place := a.awaitMove(); {
			case place.Stopped():
				return a.runMoved()
			case place == runmove.Nowhere:
				return a.exchangeBroken(failureBroken, err)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && answer.Unframed() && (!a.begun || a.upstreamTimeIsUp()):
			return a.exchangeBroken(failureBroken, err) // a crash and the deadline end the connection too
		case errors.Is(err, io.EOF):
			a.reportOutcome(placement.Served)
			a.recordComplete()
			a.writeHeader(w, answer) // also if the host has just stopped, as nothing more is awaited
			a.outcome = gotAnswer
			a.handler.served.Inc(1)
			klog.InfoS("request answered", append(a.logFields(), "status", answer.StatusCode, "events", a.eventsSent)...)
			return resultAnswered
		case err != nil:
			return a.exchangeBroken(failureBroken, err)
		}
		a.handler.Pool.MarkPrefilled(a.target, time.Now())
		a.recordBegun()
		if event.HasID && a.eventsSent > 0 && event.ID <= a.lastEventID {
			continue
		}
		if a.eventsSent == 0 {
			a.recordOrigin()
		}
		a.reviewOrigin()
		if !a.beginStream() {
			<-a.ctx.Done() // the deadline or the stop has ended the request, and cancels it next
			return a.exchangeBroken(failureBroken, nil)
		}
		a.writeHeader(w, answer)
		a.noteRun(answer, event.HasID)
		switch {
		case !event.HasID:
			answer.KeepOpen() // the stream can't go on elsewhere
		case watch == nil:
			watch = a.watchSilence(answer)
		}
		if !a.writeEvent(w, event) {
			return resultAnswered
		}
		a.noteWritten()
	}
}

// writeHeader sends the answer's header, unless an event was sent before.
func (a *attempt) writeHeader(w http.ResponseWriter, answer *upstreamhttp.Answer) {
	if a.eventsSent > 0 {
		return
	}
	maps.Copy(w.Header(), a.handler.Dialect.AnswerHeader(answer.Header))
	w.Header().Del("Content-Length")
	a.handler.closeIfStopping(w)
	w.WriteHeader(answer.StatusCode)
	a.addOpenStream()
	a.recordFirstEvent()
	a.recordStart()
}

func (q *request) recordFirstEvent() {
	q.timeToFirstEvent = time.Since(q.arrived)
	q.handler.timeToFirstEvent.RecordDuration(q.timeToFirstEvent)
}

// writeEvent sends one event and reports whether the caller is still connected.
func (a *attempt) writeEvent(w http.ResponseWriter, event *upstreamhttp.Event) bool {
	now := time.Now()
	if a.eventsSent > 0 {
		a.longestGap = max(a.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.openStream.noteEvent(now)
	a.eventsSent++
	a.resumable = event.HasID
	if event.HasID {
		a.lastEventID = event.ID
	}
	err := a.timeWrite(func() error {
		if _, err := w.Write(event.Raw); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	})
	if err != nil {
		a.reportOutcome(placement.Abandoned)
		a.endedBy = a.writeEnd()
		klog.InfoS("caller disconnected", append(append(a.logFields(), "error", err.Error()), a.countEndedEarly()...)...)
		return false
	}
	return true
}

// timeWrite calls write, which sends a part of the answer to the caller, and records how long it took.
func (q *request) timeWrite(write func() error) error {
	started := time.Now()
	err := write()
	q.longestWrite = max(q.longestWrite, time.Since(started))
	return err
}
