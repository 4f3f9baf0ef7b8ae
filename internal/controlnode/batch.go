package controlnode

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// batchDelayPerHost is the time, for each gateway, for which reports are gathered
	// into one log entry, and maxBatchDelay the most: each entry costs a message to and
	// from every control host.
	batchDelayPerHost = 500 * time.Microsecond
	maxBatchDelay     = 25 * time.Millisecond
	// maxBatchedReports bounds the reports of one log entry.
	maxBatchedReports = 256
	// commitTimeout bounds the commit of a batch.
	commitTimeout = 700 * time.Millisecond
)

// reportBatcher commits the reports of many hosts as one command, so that the
// log grows by the rate of batches and not by that of calls.
type reportBatcher struct {
	node  *Node
	queue chan *submission
}

// submission is one host's part of a batch.
type submission struct {
	req *SyncRequest
	// arrived is the time of day in Unix ns.
	arrived int64
	done    chan submitted
}

type submitted struct {
	reply     *prepaid.Reply
	questions []prepaid.CeilingQuery
	err       error
}

func newReportBatcher(n *Node) *reportBatcher {
	return &reportBatcher{node: n, queue: make(chan *submission, maxBatchedReports)}
}

// submit commits the opening and the report of req.
func (b *reportBatcher) submit(ctx context.Context, req *SyncRequest) (submitted, error) {
	if req.Opening == nil && req.Report == nil {
		return submitted{}, nil
	}
	s := &submission{req: req, arrived: time.Now().UnixNano(), done: make(chan submitted, 1)}
	select {
	case b.queue <- s:
	case <-ctx.Done():
		return submitted{}, ctx.Err()
	}
	select {
	case out := <-s.done:
		return out, out.err
	case <-ctx.Done():
		return submitted{}, ctx.Err()
	}
}

func (b *reportBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			timing.Sleep(ctx, b.delay())
			b.commit(ctx, b.collect(first))
		}
	}
}

func (b *reportBatcher) delay() time.Duration {
	b.node.mu.Lock()
	defer b.node.mu.Unlock()
	return min(time.Duration(len(b.node.hosts.hosts))*batchDelayPerHost, maxBatchDelay)
}

func (b *reportBatcher) collect(first *submission) []*submission {
	batch := []*submission{first}
	for len(batch) < maxBatchedReports {
		select {
		case s := <-b.queue:
			batch = append(batch, s)
		default:
			return batch
		}
	}
	return batch
}

func (b *reportBatcher) commit(ctx context.Context, batch []*submission) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	command := &fleetstate.Command{}
	for _, s := range batch {
		if s.req.Opening != nil {
			opening := *s.req.Opening
			opening.ArrivalTime = s.arrived
			command.Openings = append(command.Openings, opening)
		}
		for _, statement := range s.req.Statements {
			statement.Witness = s.req.Peer.Session
			command.Statements = append(command.Statements, statement)
		}
		if s.req.Report != nil {
			command.Reports = append(command.Reports, fleetstate.HostReport{
				Host: s.req.Host, Report: *s.req.Report, Stamp: s.arrived,
			})
		}
	}
	r := b.node.replica.Load()
	if r == nil {
		answerAll(batch, nil, &replica.NotLeaderError{})
		return
	}
	result, err := propose(ctx, r, command)
	answerAll(batch, result, err)
	if err == nil {
		logSettled(result)
	}
}

func answerAll(batch []*submission, result *fleetstate.Result, err error) {
	next := 0
	for _, s := range batch {
		var out submitted
		switch {
		case err != nil:
			out.err = err
		case s.req.Report != nil:
			out.reply, out.questions = &result.Replies[next], result.Questions[next]
			next++
		}
		s.done <- out
	}
}

func logSettled(result *fleetstate.Result) {
	if result.Recovered > 0 {
		klog.InfoS("tokens of a dead process recovered: its witnesses have noted less", "tokens", result.Recovered)
	}
	for _, e := range result.Ended {
		klog.InfoS("session of a dead process settled", "gateway", e.Host, "gap_ms", e.Gap.Milliseconds(),
			"bounded", e.Bounded, "charged", e.Charged, "written_off", e.WrittenOff, "doubtful", e.Provisional)
	}
}
