// Package ordersender sends the pending orders to upstreams while this host's
// replica leads the control group.
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
	// planInterval is the time between two looks at the pending orders.
	planInterval = 200 * time.Millisecond
	// retryBackoff is the time between two tries of an order.
	retryBackoff = time.Second
	// maxReplyBytes bounds what is read of an upstream's answer.
	maxReplyBytes = 4 << 10
)

// Leader is the control replica of this host.
type Leader interface {
	// Leadership returns the present leadership; false if this replica does not lead.
	Leadership() (Leadership, bool)
	// Confirm returns the term after a quorum has confirmed the leadership.
	Confirm(ctx context.Context) (term uint64, err error)
	// Orders returns a copy of all orders.
	Orders(ctx context.Context) ([]*controlapi.OrderStatus, error)
}

// Options configure a Sender.
type Options struct {
	Leader Leader
	// Group executes the commands that end orders.
	Group controlapi.Client
	// Lookup returns an upstream that announces itself.
	Lookup func(id string) (Target, bool)
	Client *http.Client
	Limits Limits
}

// Sender sends the pending orders while this replica leads.
type Sender struct {
	o       Options
	planner *planner
	ended   chan trial
}

// trial is the end of one try of an order.
type trial struct {
	order  *controlapi.OrderStatus
	finish *controlapi.FinishOrder
}

// New returns a sender that is not running.
func New(o Options) *Sender {
	return &Sender{o: o, planner: newPlanner(o.Limits), ended: make(chan trial)}
}

// Run sends orders until ctx ends, and returns when no try is in progress.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	open := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case t := <-s.ended:
			open--
			s.note(t)
		case <-ticker.C:
			open += s.plan(ctx)
		}
	}
	for range open {
		<-s.ended
	}
}

func (s *Sender) note(t trial) {
	backoff := retryBackoff
	if t.finish != nil {
		backoff = 0
	}
	s.planner.ended(t.order, backoff, time.Now())
}

// plan starts the tries that are due and returns their number.
func (s *Sender) plan(ctx context.Context) int {
	leadership, ok := s.o.Leader.Leadership()
	if !ok {
		return 0
	}
	list, err := s.o.Leader.Orders(ctx)
	if err != nil {
		return 0
	}
	due := s.planner.next(list, s.o.Lookup, leadership, time.Now())
	for _, o := range due {
		go func() { s.ended <- trial{order: o, finish: s.try(ctx, o, leadership.Term)} }()
	}
	return len(due)
}

// try sends an order once and commits its end; nil if it is still pending.
func (s *Sender) try(ctx context.Context, o *controlapi.OrderStatus, term uint64) *controlapi.FinishOrder {
	finish, err := s.send(ctx, o, term)
	if err != nil {
		klog.InfoS("order not carried out yet", "order", o.Order.ID, "upstream", o.Upstream, "error", err.Error())
		return nil
	}
	result, err := s.o.Group.Execute(ctx, &controlapi.Command{FinishOrder: finish})
	if err != nil || result.Err != nil {
		return nil
	}
	klog.InfoS("order ended", "order", o.Order.ID, "upstream", o.Upstream, "state", finish.State)
	return finish
}

// send delivers an order under a leadership that was confirmed just before. The
// whole try ends within the lease, so a deposed leader's order does not arrive
// after the next leader has begun to give orders.
func (s *Sender) send(ctx context.Context, o *controlapi.OrderStatus, term uint64) (*controlapi.FinishOrder, error) {
	arrival, cancel := context.WithTimeout(ctx, s.o.Limits.Lease)
	defer cancel()
	confirmed, err := s.o.Leader.Confirm(arrival)
	if err != nil {
		return nil, err
	}
	if confirmed != term {
		return nil, errkind.New(errkind.StaleFencing, "term %d has passed", term)
	}
	target, ok := s.o.Lookup(o.Upstream)
	if !ok {
		return nil, errkind.New(errkind.NoUpstream, "upstream %s does not announce itself", o.Upstream)
	}
	order := o.Order
	order.FencingNumber = term
	status, detail, err := s.post(arrival, target.Address, order)
	if err != nil {
		return nil, err
	}
	return finishOf(order, status, detail)
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
	resp, err := s.o.Client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	return resp.StatusCode, string(detail), err
}

// finishOf reads an upstream's answer; an error means that the order is sent again.
func finishOf(order announce.Order, status int, detail string) (*controlapi.FinishOrder, error) {
	f := &controlapi.FinishOrder{ID: order.ID, FencingNumber: order.FencingNumber}
	switch {
	case status < http.StatusMultipleChoices:
		f.State = controlapi.OrderDone
		return f, nil
	case status == http.StatusConflict:
		return nil, errkind.New(errkind.StaleFencing, "the upstream knows a later fencing number than %d", order.FencingNumber)
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return nil, errkind.New(errkind.UpstreamFailed, "the upstream answered %d", status)
	}
	f.State = controlapi.OrderFailed
	f.Detail = fmt.Sprintf("%d %s", status, detail)
	return f, nil
}
