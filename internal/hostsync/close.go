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
	minCloseTime       = 100 * time.Millisecond
	closeRetryInterval = 50 * time.Millisecond
)

// Seal ends the spending of this host, and returns what no request has reserved with a call that begins at once.
func (c *Client) Seal() {
	c.allowance.Seal()
	c.requestSync()
}

// ReportLastUse reports that the host is sealed, and returns once that is acknowledged. If its process is killed afterwards it is
// charged for what it has reported and for the most that its requests in flight may use.
func (c *Client) ReportLastUse(ctx context.Context) error {
	for !c.allowance.SealAcknowledged() {
		select {
		case <-c.sessionLost:
			return errSessionLost
		default:
		}
		if !c.AwaitSync(ctx) {
			return eris.Wrap(ctx.Err(), "report the last use")
		}
	}
	return nil
}

// Close reports the final use and closes the session, so that no tokens are written off. While no leader answers it
// tries again until the given time, but for minCloseTime in any case.
// It must be called after Run has returned and the last request has ended.
func (c *Client) Close(until time.Time) error {
	c.allowance.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Until(until), minCloseTime))
	defer cancel()
	for reported := c.allowance.LastUseAcknowledged(); ; reported = false {
		err := c.closeSession(ctx, reported)
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

// closeSession reports the final use, unless that was reported to the control host that answered last, and closes the session there.
func (c *Client) closeSession(ctx context.Context, reported bool) error {
	// The first call finds the leader, and may have to resend an unacknowledged report; the second one sends the use
	// since that report.
	for range 2 {
		if reported && c.servedBy != "" {
			break
		}
		if err := c.syncWithLeader(ctx); err != nil {
			return eris.Wrap(err, "report the final use")
		}
		reported = c.allowance.LastUseAcknowledged()
	}
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout.Timeout())
	defer cancel()
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
