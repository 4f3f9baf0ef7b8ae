package controlnode

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// batchDelayPerHost times the number of gateways, at most maxBatchDelay, is the time
	// for which reports are collected into one log entry. Each entry costs one message to
	// and one from every control host.
	batchDelayPerHost = 500 * time.Microsecond
	maxBatchDelay     = 25 * time.Millisecond
	// maxBatchedReports is the maximum number of reports in one log entry.
	maxBatchedReports = 256
	// commitTimeout limits the commit of one batch.
	commitTimeout = 700 * time.Millisecond
)

// reportBatcher commits the reports of many hosts as one command, so that the log grows
// with the rate of batches rather than with the rate of calls.
type reportBatcher struct {
	node  *Node
	queue chan *submission
	// tickets is used only by the goroutine of run.
	tickets openingTickets
}

// submission is one host's call in a batch.
type submission struct {
	req *SyncRequest
	// arrivalTime is the wall clock when the call arrived, in Unix ns.
	arrivalTime int64
	// arrival is this host's clock when the call arrived.
	arrival prepaid.ClockReading
	done    chan submitResult
}

// submitResult is the result of one submission.
type submitResult struct {
	reply          *prepaid.Reply
	ceilingQueries []prepaid.CeilingQuery
	// ticket is set if the submission had no effect, as its opening needs this ticket.
	ticket uint64
	err    error
}

func newReportBatcher(n *Node) *reportBatcher {
	return &reportBatcher{node: n, queue: make(chan *submission, maxBatchedReports)}
}

// submit commits the session openings, reports and answers of calls as parts of batches, and
// waits for all results. An error means that some may not be committed.
func (b *reportBatcher) submit(ctx context.Context, calls ...*SyncRequest) ([]submitResult, error) {
	now, arrival := time.Now().UnixNano(), b.node.clock()
	submissions := make([]*submission, len(calls))
	for i, req := range calls {
		if req.Opening == nil && req.Report == nil {
			continue
		}
		s := &submission{req: req, arrivalTime: cmp.Or(req.ArrivalTime, now), arrival: arrival, done: make(chan submitResult, 1)}
		select {
		case b.queue <- s:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		submissions[i] = s
	}
	results := make([]submitResult, len(calls))
	for i, s := range submissions {
		if s == nil {
			continue
		}
		select {
		case results[i] = <-s.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if results[i].err != nil {
			return nil, results[i].err
		}
	}
	return results, nil
}

// run collects and commits batches until ctx ends.
func (b *reportBatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			timing.Sleep(ctx, b.batchDelay())
			b.commit(ctx, b.collect(first))
		}
	}
}

func (b *reportBatcher) batchDelay() time.Duration {
	b.node.mu.Lock()
	defer b.node.mu.Unlock()
	return min(time.Duration(b.node.hosts.size())*batchDelayPerHost, maxBatchDelay)
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
	r := b.node.replica.Load()
	if r == nil {
		deliverResults(batch, nil, &replica.NotLeaderError{})
		return
	}
	status := r.Status()
	b.tickets.enter(status.ID, status.Term)
	command := &fleetstate.Command{}
	var admitted, refused []*submission
	var tickets []uint64
	for _, s := range batch {
		opens, ticket := b.tickets.admit(s.req)
		if ticket != 0 {
			if s.req.Ticket != 0 {
				klog.InfoS("session not opened: the ticket of the call is void", "gateway", s.req.Host)
			}
			refused, tickets = append(refused, s), append(tickets, ticket)
			continue
		}
		admitted = append(admitted, s)
		s.addTo(command, opens)
	}
	if len(admitted) == 0 {
		_, err := r.Barrier(ctx)
		deliverTickets(refused, tickets, err)
		return
	}
	result, err := proposeInTerm(ctx, r, status.Term, command)
	deliverResults(admitted, result, err)
	deliverTickets(refused, tickets, err)
	if err == nil {
		b.tickets.recordOpened(command.Openings)
		logSettlements(result)
	}
}

// addTo adds a submission to a command, its opening only if opens is set.
func (s *submission) addTo(command *fleetstate.Command, opens bool) {
	if opens {
		opening := *s.req.Opening
		opening.ArrivalTime, opening.Arrival = s.arrivalTime, s.arrival
		command.Openings = append(command.Openings, opening)
	}
	for _, answer := range s.req.CeilingAnswers {
		answer.Witness = s.req.Peer.Session
		command.CeilingAnswers = append(command.CeilingAnswers, answer)
	}
	if s.req.Report != nil {
		report := *s.req.Report
		report.Arrival = s.arrival
		command.Reports = append(command.Reports, fleetstate.HostReport{Host: s.req.Host, Report: report, ArrivalTime: s.arrivalTime})
	}
}

// deliverResults sends each submission its part of the result. The result holds one reply
// for each submission with a report, in the order of the batch.
func deliverResults(batch []*submission, result *fleetstate.Result, err error) {
	nextReply := 0
	for _, s := range batch {
		var out submitResult
		switch {
		case err != nil:
			out.err = err
		case s.req.Report != nil:
			out.reply, out.ceilingQueries = &result.Replies[nextReply], result.CeilingQueries[nextReply]
			nextReply++
		}
		s.done <- out
	}
}

// deliverTickets answers submissions that had no effect. err is that of the confirmation that this host leads.
func deliverTickets(batch []*submission, tickets []uint64, err error) {
	for i, s := range batch {
		if err != nil {
			s.done <- submitResult{err: err}
			continue
		}
		s.done <- submitResult{ticket: tickets[i]}
	}
}

func logSettlements(result *fleetstate.Result) {
	if result.Recovered > 0 {
		klog.InfoS("tokens of a terminated process recovered: its witnesses recorded lower ceilings", "tokens", result.Recovered)
	}
	for _, settlement := range result.Settlements {
		klog.InfoS("session of a terminated process settled", "gateway", settlement.Host, "gap_ms", settlement.Gap.Milliseconds(),
			"gap_measured", settlement.Measured, "bounded", settlement.Bounded, "charged", settlement.Charged, "written_off", settlement.WrittenOff, "doubtful", settlement.Provisional)
	}
}
