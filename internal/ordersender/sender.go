// Package ordersender sends the pending orders to upstreams while this host's replica is the
// leader of the control group.
package ordersender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

const (
	// pollInterval is the interval at which the pending orders are checked.
	pollInterval = 200 * time.Millisecond
	// retryBackoff is the delay before an order is sent again.
	retryBackoff = time.Second
	// maxReplyBytes bounds how much of an upstream's reply is read.
	maxReplyBytes = 4 << 10
)

// Leader is the control replica of this host.
type Leader interface {
	// Leadership returns the current leadership; false if this replica is not the leader.
	Leadership() (Leadership, bool)
	// Confirm has a quorum confirm the leadership and returns its term.
	Confirm(ctx context.Context) (term uint64, err error)
	// Orders returns a copy of all orders.
	Orders(ctx context.Context) ([]*controlapi.OrderStatus, error)
}

// Options configures a Sender.
type Options struct {
	Leader Leader
	// ControlGroup executes the commands that finish orders.
	ControlGroup controlapi.Client
	// Lookup returns an upstream by ID; false if it does not announce itself.
	Lookup func(id string) (Target, bool)
	Client *http.Client
	Limits Limits
}

// Sender sends the pending orders while this replica is the leader.
type Sender struct {
	options Options
	planner *planner
	results chan sendResult
}

// sendResult is the result of sending an order once. finish is nil if the order is still
// pending.
type sendResult struct {
	order  *controlapi.OrderStatus
	finish *controlapi.FinishOrder
}

// New returns a sender that is not running.
func New(o Options) *Sender {
	return &Sender{options: o, planner: newPlanner(o.Limits), results: make(chan sendResult)}
}

// Run sends orders until ctx ends. It returns once no send is in progress.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	inProgress := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-s.results:
			inProgress--
			s.recordResult(r)
		case <-ticker.C:
			inProgress += s.startDueSends(ctx)
		}
	}
	for range inProgress {
		<-s.results
	}
}

// recordResult passes the end of a send to the planner, with a backoff if the order is still
// pending.
func (s *Sender) recordResult(r sendResult) {
	backoff := retryBackoff
	if r.finish != nil {
		backoff = 0
	}
	s.planner.sendEnded(r.order, backoff, time.Now())
}

// startDueSends starts sending the due orders and returns their number.
func (s *Sender) startDueSends(ctx context.Context) int {
	leadership, ok := s.options.Leader.Leadership()
	if !ok {
		return 0
	}
	list, err := s.options.Leader.Orders(ctx)
	if err != nil {
		return 0
	}
	due := s.planner.dueOrders(list, s.options.Lookup, leadership, time.Now())
	for _, o := range due {
		go func() { s.results <- sendResult{order: o, finish: s.sendAndFinish(ctx, o, leadership.Term)} }()
	}
	return len(due)
}

// sendAndFinish sends an order once and commits its outcome; it returns nil if the order is
// still pending.
func (s *Sender) sendAndFinish(ctx context.Context, o *controlapi.OrderStatus, term uint64) *controlapi.FinishOrder {
	finish, err := s.sendConfirmed(ctx, o, term)
	if err != nil {
		klog.InfoS("failed to send order, will retry", "order", o.Order.ID, "upstream", o.Upstream, "error", err.Error())
		return nil
	}
	result, err := s.options.ControlGroup.Execute(ctx, &controlapi.Command{FinishOrder: finish})
	if err != nil || result.Err != nil {
		return nil
	}
	klog.InfoS("order finished", "order", o.Order.ID, "upstream", o.Upstream, "state", finish.State)
	return finish
}

// sendConfirmed confirms the leadership and sends an order. Both must complete within the
// lease, so that an order of a deposed leader does not arrive after the next leader has
// started to send orders.
func (s *Sender) sendConfirmed(ctx context.Context, o *controlapi.OrderStatus, term uint64) (*controlapi.FinishOrder, error) {
	sendCtx, cancel := context.WithTimeout(ctx, s.options.Limits.Lease)
	defer cancel()
	confirmed, err := s.options.Leader.Confirm(sendCtx)
	if err != nil {
		return nil, err
	}
	if confirmed != term {
		return nil, errkind.New(errkind.StaleFencing, "term %d has ended", term)
	}
	target, ok := s.options.Lookup(o.Upstream)
	if !ok {
		return nil, errkind.New(errkind.NoUpstream, "upstream %s is not announced", o.Upstream)
	}
	order := o.Order
	order.FencingNumber = term
	status, detail, err := s.post(sendCtx, target.Address, order)
	if err != nil {
		return nil, err
	}
	return interpretReply(order, status, detail)
}

func (s *Sender) post(ctx context.Context, address string, order announce.Order) (int, string, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+announce.PathOrders, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.options.Client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, string(detail), err
}

// interpretReply returns the outcome of an order from the upstream's reply. An error means
// that the order is sent again.
func interpretReply(order announce.Order, status int, detail string) (*controlapi.FinishOrder, error) {
	f := &controlapi.FinishOrder{ID: order.ID, FencingNumber: order.FencingNumber}
	switch {
	case status < http.StatusMultipleChoices:
		f.State = controlapi.OrderDone
		return f, nil
	case status == http.StatusConflict:
		return nil, errkind.New(errkind.StaleFencing, "the upstream has a later fencing number than %d", order.FencingNumber)
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return nil, errkind.New(errkind.UpstreamFailed, "the upstream replied with HTTP status %d", status)
	}
	f.State = controlapi.OrderFailed
	f.Detail = fmt.Sprintf("%d %s", status, detail)
	return f, nil
}
