package controlgroup

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// callTimeout bounds one try of a call to one replica.
	callTimeout = 2 * time.Second
	// commandTimeout bounds a call over all its tries where the context sets no earlier end.
	commandTimeout = 5 * time.Second
	// retryDelay is the time between two rounds over the replicas.
	retryDelay = 20 * time.Millisecond
)

// ClientOptions configure a Client.
type ClientOptions struct {
	RPC *rpc.Client
	// Replicas returns the addresses of the control replicas.
	Replicas func() []string
	// Relays returns the addresses of hosts that may pass a call on to the
	// leader when no replica can be reached directly.
	Relays func() []string
}

// Client is the control group as a host sees it. It implements controlapi.Client.
type Client struct {
	o  ClientOptions
	mu sync.Mutex
	// known is where the last call was served, or where a replica said the leader is.
	known target
	// failures counts the tries since a call was served; it selects the next target.
	failures int
}

// target is a host that may serve a call: a control replica, or a relay.
type target struct {
	address string
	relay   bool
}

var _ controlapi.Client = (*Client)(nil)

// NewClient returns a client that knows no leader yet.
func NewClient(o ClientOptions) *Client {
	return &Client{o: o}
}

// Execute implements controlapi.Client.
func (c *Client) Execute(ctx context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	reply, err := call[ExecuteRequest, ExecuteReply](ctx, c, MethodExecute, &ExecuteRequest{Command: *cmd})
	if err != nil {
		return nil, err
	}
	return &reply.Result, nil
}

// Query implements controlapi.Client.
func (c *Client) Query(ctx context.Context, req *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	reply, err := call[controlapi.QueryRequest, QueryReply](ctx, c, MethodQuery, req)
	if err != nil {
		return nil, err
	}
	return &reply.Reply, nil
}

// Heartbeat renews a session at the leader. The lease counts from before the call.
func (c *Client) Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*controlapi.HeartbeatReply, error) {
	reply, err := call[controlapi.Heartbeat, HeartbeatReply](ctx, c, MethodHeartbeat, req)
	if err != nil {
		return nil, err
	}
	return &reply.Reply, nil
}

// redirected is a reply that may point to another replica.
type redirected interface{ moved() redirect }

func (r redirect) moved() redirect { return r }

// call tries the known target, then the replicas and relays in turn, until one
// serves the call or the time is up.
func call[Req any, Resp redirected](ctx context.Context, c *Client, method string, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var last error
	for {
		to := c.target()
		reply, err := try[Req, Resp](ctx, c, to, method, req)
		if final(err) {
			return nil, err
		}
		hinted := false
		switch {
		case err != nil:
			last = err
			c.failed()
		case (*reply).moved().NotLeader:
			last = errkind.New(errkind.ControlUnavailable, "%s is not the leader", to.address)
			hinted = c.redirected((*reply).moved().Leader)
		default:
			c.served(to)
			return reply, nil
		}
		if err := pause(ctx, hinted); err != nil {
			return nil, unavailable(last)
		}
	}
}

func try[Req any, Resp redirected](ctx context.Context, c *Client, to target, method string, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if to.relay {
		method = relayPrefix + method
	}
	reply, err := rpc.Call[Req, Resp](ctx, c.o.RPC, to.address, method, req)
	if err == nil && reply == nil {
		err = errkind.New(errkind.ControlUnavailable, "empty reply from %s", to.address)
	}
	return reply, err
}

// final tells whether err is the group's own answer rather than a failure to reach it.
func final(err error) bool {
	var e *errkind.Error
	return errors.As(err, &e) && e.Kind != errkind.ControlUnavailable
}

func unavailable(last error) error {
	return errkind.New(errkind.ControlUnavailable, "control group not reached: %v", last).WithRetryAfter(time.Second)
}

// pause waits between tries; a hint of a leader is followed at once.
func pause(ctx context.Context, hinted bool) error {
	if !hinted {
		timing.Sleep(ctx, retryDelay)
	}
	return ctx.Err()
}

// served remembers the target of a served call.
func (c *Client) served(to target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = to
	c.failures = 0
}

// failed forgets the known target.
func (c *Client) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = target{}
	c.failures++
}

// redirected takes a replica's hint, and tells whether there was a new one.
// Hints do not reset failures, so two replicas that point at each other or at a
// dead leader do not keep the client from the others.
func (c *Client) redirected(leader string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := leader != "" && leader != c.known.address
	c.known = target{address: leader}
	c.failures++
	return fresh
}

// target returns the known target, or the next one in turn. Relays come behind
// the replicas, after a try of each replica has failed.
func (c *Client) target() target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known.address != "" {
		return c.known
	}
	replicas := c.o.Replicas()
	var relays []string
	if c.failures >= len(replicas) && c.o.Relays != nil {
		relays = c.o.Relays()
	}
	i := c.failures % (len(replicas) + len(relays))
	if i < len(replicas) {
		return target{address: replicas[i]}
	}
	return target{address: relays[i-len(replicas)], relay: true}
}
