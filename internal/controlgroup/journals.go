package controlgroup

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

const (
	// quietAfter is the time without a heartbeat after which a host may serve from
	// its standby grants. A host begins to do so later than this.
	quietAfter = time.Second
	// awaitedAge is the time for which a look at the grants is used.
	awaitedAge = 100 * time.Millisecond
)

// awaited is the latest look at the grants.
type awaited struct {
	at      time.Time
	holders []controlapi.GrantStatus
}

// journalsAwaited tells whether a host other than that of session may have
// served requests from a grant that the state machine does not know of: its
// session has ended with tokens outstanding, it is quiet, or it says so itself.
func (s *Server) journalsAwaited(ctx context.Context, session string) bool {
	holders, err := s.grantHolders(ctx)
	if err != nil {
		return true
	}
	now := s.o.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range holders {
		if g.Session == session || g.Outstanding <= 0 {
			continue
		}
		if g.Ended || s.leases.mayServeAlone(g.Session, now) {
			return true
		}
	}
	return false
}

func (s *Server) grantHolders(ctx context.Context) ([]controlapi.GrantStatus, error) {
	now := s.o.Now()
	s.mu.Lock()
	last := s.awaited
	s.mu.Unlock()
	if now.Sub(last.at) < awaitedAge {
		return last.holders, nil
	}
	next := awaited{at: now}
	err := s.Replica().LocalRead(ctx, func() {
		next.holders = s.o.Machine.Query(&controlapi.QueryRequest{Grants: true}).Grants
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited = next
	return next.holders, nil
}

// mayServeAlone tells whether a session's host may be serving from its grants,
// or have done so since its journal was last merged.
func (t *leaseTable) mayServeAlone(session string, now time.Time) bool {
	l, ok := t.leases[session]
	return !ok || l.unmerged || now.Sub(l.renewed) > quietAfter
}
