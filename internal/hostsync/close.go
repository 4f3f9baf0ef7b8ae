package hostsync

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// minCloseTime is the least time taken to report the last use and close the session, and closeRetryInterval the
	// delay before that is tried again.
	minCloseTime       = 500 * time.Millisecond
	closeRetryInterval = 50 * time.Millisecond
)

// Seal ends the spending of this host, and returns what no request has reserved with a call that begins at once.
func (c *Client) Seal() {
	c.allowance.Seal()
	c.requestSync()
}

// Close reports the final use and closes the session, so that no tokens are written off. While no leader answers it
// tries again until the given time, but for minCloseTime in any case.
// It must be called after Run has returned and the last request has ended.
func (c *Client) Close(until time.Time) error {
	c.allowance.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Until(until), minCloseTime))
	defer cancel()
	for {
		err := c.closeSession(ctx)
		if err == nil || c.sessionEnded() || !timing.Sleep(ctx, closeRetryInterval) {
			return err
		}
	}
}

// sessionEnded reports whether there is no session to close.
func (c *Client) sessionEnded() bool {
	select {
	case <-c.sessionLost:
		return true
	default:
		return !c.sessionOpened
	}
}

func (c *Client) closeSession(ctx context.Context) error {
	// The first call may have to resend an unacknowledged report; the second one sends the
	// use since that report.
	for range 2 {
		if err := c.syncWithLeader(ctx); err != nil {
			return eris.Wrap(err, "report the final use")
		}
	}
	req := &controlnode.CloseRequest{Host: c.options.Host, Session: c.opening.Session}
	reply, err := rpc.Call[controlnode.CloseRequest, controlnode.CloseReply](ctx, c.rpc, c.servedBy, controlnode.MethodClose, req)
	if err != nil {
		return err
	}
	if reply.NotLeader {
		return eris.New("the leader has changed")
	}
	return nil
}
