package hostsync

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/controlnode"
)

// newLeaderTime is the time in which a new leader learns the limits of upstreams from the hosts.
const newLeaderTime = 3 * time.Second

// addNotices adds to a request what upstreams said of themselves.
func (c *Client) addNotices(req *controlnode.SyncRequest, now time.Time) {
	c.noticesSentAt = now
	req.Notices, req.NoticesDigest = c.options.Pool.NoticeReports(now), c.noticesDigest
}

// applyNotices applies the limits of upstreams that the leader knows. A new leader is told of those
// that this host knows.
func (c *Client) applyNotices(reply *controlnode.SyncReply, now time.Time) {
	pool := c.options.Pool
	pool.AcknowledgeNotices(c.noticesSentAt)
	if epoch := peersEpoch(reply); epoch != c.noticesEpoch {
		c.noticesEpoch, c.noticesEpochSince = epoch, now
		pool.ReportNotices()
	}
	if reply.Notices == nil {
		return
	}
	c.noticesDigest = reply.Notices.Digest
	pool.ApplyNotices(reply.Notices.Reports, now.Sub(c.noticesEpochSince) < newLeaderTime, now)
}
