package controlnode

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/notice"
)

// addNotices records what upstreams said in answers to a host. The caller holds n.mu.
func (n *Node) addNotices(req *SyncRequest, now time.Time) {
	for _, r := range req.Notices {
		n.notices.Apply(r, now)
	}
}

// noticeList returns the limits for a host that knows those with the given digest; nil if it lacks
// none.
func noticeList(s notice.Snapshot, known uint64, now time.Time) *NoticeList {
	if s.Digest == known {
		return nil
	}
	return &NoticeList{Digest: s.Digest, Reports: s.Reports(now)}
}
