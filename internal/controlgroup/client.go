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
	// perTryTimeout bounds one try of a call to one replica.
	perTryTimeout = 2 * time.Second
	// totalTimeout bounds a call over all its tries, unless the context ends earlier.
	totalTimeout = 5 * time.Second
	// retryDelay is the time between two tries, except after a redirect to a new
	// leader, which is followed at once.
	retryDelay = 20 * time.Millisecond
)

// ClientOptions configure a Client.
type ClientOptions struct {
	RPC *rpc.Client
	// Replicas returns the addresses of the control replicas.
	Replicas func() []string
	// Relays returns the addresses of hosts that can relay a call to the leader
	// when no replica is reachable directly.
	Relays func() []string
}

// Client calls the control group from a host. It implements controlapi.Client.
type Client struct {
	options ClientOptions
	mu      sync.Mutex
	// preferred is the target that served the last call, or the leader that a
	// replica redirected to.
	preferred target
	// failures counts the unsuccessful tries since the last served call; it selects
	// the next target.
	failures int
}

// target is a host to call: a control replica or a relay.
type target struct {
	address string
	relay   bool
}

var _ controlapi.Client = (*Client)(nil)

// NewClient returns a client. The leader is unknown until the first call.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o}
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

// Heartbeat renews a session at the leader. The caller must count the lease from the
// time before the call.
func (c *Client) Heartbeat(ctx context.Context, req *controlapi.Heartbeat) (*controlapi.HeartbeatReply, error) {
	reply, err := call[controlapi.Heartbeat, HeartbeatReply](ctx, c, MethodHeartbeat, req)
	if err != nil {
		return nil, err
	}
	return &reply.Reply, nil
}

// redirectable is a reply that may redirect to another replica.
type redirectable interface{ redirection() redirect }

func (r redirect) redirection() redirect { return r }

// call tries the preferred target, then the replicas and relays in turn, until one
// serves the call or the deadline passes.
func call[Req any, Resp redirectable](ctx context.Context, c *Client, method string, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	var lastErr error
	for {
		to := c.nextTarget()
		reply, err := callOnce[Req, Resp](ctx, c, to, method, req)
		if isFinal(err) {
			return nil, err
		}
		hinted := false
		switch {
		case err != nil:
			lastErr = err
			c.recordFailure()
		case (*reply).redirection().NotLeader:
			lastErr = errkind.New(errkind.ControlUnavailable, "%s is not the leader", to.address)
			hinted = c.followRedirect((*reply).redirection().Leader)
		default:
			c.recordSuccess(to)
			return reply, nil
		}
		if err := waitBeforeRetry(ctx, hinted); err != nil {
			return nil, unavailableError(lastErr)
		}
	}
}

func callOnce[Req any, Resp redirectable](ctx context.Context, c *Client, to target, method string, req *Req) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, perTryTimeout)
	defer cancel()
	if to.relay {
		method = relayPrefix + method
	}
	reply, err := rpc.Call[Req, Resp](ctx, c.options.RPC, to.address, method, req)
	if err == nil && reply == nil {
		err = errkind.New(errkind.ControlUnavailable, "empty reply from %s", to.address)
	}
	return reply, err
}

// isFinal reports whether err is the control group's own error rather than a failure
// to reach it.
func isFinal(err error) bool {
	var e *errkind.Error
	return errors.As(err, &e) && e.Kind != errkind.ControlUnavailable
}

func unavailableError(cause error) error {
	return errkind.New(errkind.ControlUnavailable, "control group unreachable: %v", cause).WithRetryAfter(time.Second)
}

// waitBeforeRetry waits between tries; a redirect to a new leader is followed at once.
func waitBeforeRetry(ctx context.Context, hinted bool) error {
	if !hinted {
		timing.Sleep(ctx, retryDelay)
	}
	return ctx.Err()
}

// recordSuccess makes the target of a served call the preferred one.
func (c *Client) recordSuccess(to target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = to
	c.failures = 0
}

// recordFailure clears the preferred target.
func (c *Client) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = target{}
	c.failures++
}

// followRedirect makes the leader named by a replica the preferred target, and
// reports whether it differs from the previous one. Redirects do not reset failures,
// so the client still reaches the other replicas if two replicas redirect to each
// other or to a terminated leader.
func (c *Client) followRedirect(leader string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := leader != "" && leader != c.preferred.address
	c.preferred = target{address: leader}
	c.failures++
	return fresh
}

// nextTarget returns the preferred target, or else the next one in turn. Relays are
// used only after as many failures as there are replicas.
func (c *Client) nextTarget() target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred.address != "" {
		return c.preferred
	}
	replicas := c.options.Replicas()
	var relays []string
	if c.failures >= len(replicas) && c.options.Relays != nil {
		relays = c.options.Relays()
	}
	i := c.failures % (len(replicas) + len(relays))
	if i < len(replicas) {
		return target{address: replicas[i]}
	}
	return target{address: relays[i-len(replicas)], relay: true}
}
