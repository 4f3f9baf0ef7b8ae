package controlgroup

import (
	"context"
	"time"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

const (
	// unresponsiveAfter is the time without a heartbeat after which a host is assumed
	// to serve from its standby grants. Hosts start doing so later than this.
	unresponsiveAfter = time.Second
	// grantCacheTTL is the time for which a query of the grants is cached.
	grantCacheTTL = 100 * time.Millisecond
)

// grantCache holds the result of the last query of the standby grants.
type grantCache struct {
	fetchedAt time.Time
	grants    []controlapi.GrantStatus
}

// journalsAwaited reports whether a host other than that of session may have served
// requests from a standby grant that are not merged into the state machine yet: its
// session has ended with tokens outstanding, it is unresponsive, or its heartbeat
// reported unmerged charges. It returns true if the grants cannot be read.
func (s *Server) journalsAwaited(ctx context.Context, session string) bool {
	grants, err := s.standbyGrants(ctx)
	if err != nil {
		return true
	}
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range grants {
		if g.Session == session || g.Outstanding <= 0 {
			continue
		}
		if g.Ended || s.leases.mayServeFromGrants(g.Session, now) {
			return true
		}
	}
	return false
}

// standbyGrants returns the standby grants, which are at most grantCacheTTL old.
func (s *Server) standbyGrants(ctx context.Context) ([]controlapi.GrantStatus, error) {
	now := s.options.Now()
	s.mu.Lock()
	cached := s.grantCache
	s.mu.Unlock()
	if now.Sub(cached.fetchedAt) < grantCacheTTL {
		return cached.grants, nil
	}
	fetched := grantCache{fetchedAt: now}
	err := s.Replica().LocalRead(ctx, func() {
		fetched.grants = s.options.Machine.Query(&controlapi.QueryRequest{Grants: true}).Grants
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantCache = fetched
	return fetched.grants, nil
}

// mayServeFromGrants reports whether a session's host may be serving from its standby
// grants, or may have done so since its journal was last merged.
func (t *leaseTable) mayServeFromGrants(session string, now time.Time) bool {
	l, ok := t.leases[session]
	return !ok || l.unmerged || now.Sub(l.renewedAt) > unresponsiveAfter
}
