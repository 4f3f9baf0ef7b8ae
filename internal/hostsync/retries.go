package hostsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// methodLendRetries is the RPC method with which a gateway host asks another one for a part of a retry.
const methodLendRetries = "/fleet/LendRetries"

const (
	// maxRetryLenders is the number of hosts that are asked for one retry.
	maxRetryLenders = 63
	// lendTimeout bounds one request to a host, and borrowTimeout all of them for one retry.
	lendTimeout   = maxTransferTimeout
	borrowTimeout = time.Second
	// minBorrowInterval is the least time between two searches for parts of a retry that were in vain.
	minBorrowInterval = 500 * time.Millisecond
)

// lendRequest asks for a part of a retry, in the unit of retrylimit.WholeRetry.
type lendRequest struct {
	Service string `cbor:"1,keyasint"`
	Want    int    `cbor:"2,keyasint"`
	// Hosts is the number of gateway hosts that the asking one knows.
	Hosts int `cbor:"3,keyasint"`
	// Lacking is what is lacking to one retry; 0 if the asking host takes nothing that others have lent.
	Lacking int `cbor:"4,keyasint,omitempty"`
}

// lendReply holds the part that is lent, and the part that others have lent, which may be used for the time Usable from the reply on.
type lendReply struct {
	Lent   int           `cbor:"1,keyasint,omitempty"`
	Passed int           `cbor:"2,keyasint,omitempty"`
	Usable time.Duration `cbor:"3,keyasint,omitempty"`
}

// retryLoans holds, by service, when a retry was last borrowed in vain.
type retryLoans struct {
	mu       sync.Mutex
	services map[string]*retryLoan
}

type retryLoan struct {
	// searching holds a value while a retry is looked for, and guards failed.
	searching chan struct{}
	failed    time.Time
}

// begin waits until no other search is in progress; false if ctx ends first.
func (l *retryLoan) begin(ctx context.Context) bool {
	select {
	case l.searching <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *retryLoan) end() { <-l.searching }

func (r *retryLoans) of(service string) *retryLoan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*retryLoan{}
	}
	if r.services[service] == nil {
		r.services[service] = &retryLoan{searching: make(chan struct{}, 1)}
	}
	return r.services[service]
}

// handleLendRetries serves methodLendRetries.
func (c *Client) handleLendRetries(_ context.Context, req *lendRequest) (*lendReply, error) {
	view := c.View()
	if c.options.Retries == nil || view == nil || view.Index.Service(req.Service) == nil {
		return &lendReply{}, nil
	}
	hosts := max(view.Hosts, req.Hosts) // the larger number allows less
	now := time.Now()
	reply := &lendReply{Lent: c.options.Retries.Lend(req.Service, hosts, min(req.Want, retrylimit.WholeRetry), now)}
	if lacking := req.Lacking - reply.Lent; lacking > 0 {
		reply.Passed, reply.Usable = c.options.Retries.PassOn(req.Service, lacking, now)
	}
	return reply, nil
}

// BorrowRetry reports whether a retry of the service that this host's share of the bound does not allow is allowed with what other
// hosts lend, and uses it if so. It may be returned until the returned time.
func (c *Client) BorrowRetry(ctx context.Context, service string) (until time.Time, allowed bool) {
	limiter, view := c.options.Retries, c.View()
	if limiter == nil {
		return time.Time{}, false
	}
	loan := c.retryLoans.of(service)
	if !loan.begin(ctx) {
		return time.Time{}, false
	}
	defer loan.end()
	if until, allowed = limiter.AllowBorrowedRetry(service, time.Now()); allowed || view == nil || time.Since(loan.failed) < minBorrowInterval {
		return until, allowed
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	began, lenders := time.Now(), c.retryLenders()
	known, lacking := len(lenders), 0
	for wave := 1; ctx.Err() == nil; wave *= 2 {
		lacking = limiter.Lacking(service, view.Hosts, time.Now())
		if lacking <= 0 || len(lenders) == 0 {
			break
		}
		asked := min(wave, len(lenders))
		c.askForRetries(ctx, lenders[:asked], &lendRequest{Service: service, Hosts: view.Hosts, Want: (lacking + asked - 1) / asked, Lacking: lacking})
		lenders = lenders[asked:]
	}
	if until, allowed = limiter.AllowBorrowedRetry(service, time.Now()); !allowed {
		loan.failed = time.Now()
	}
	klog.InfoS("asked other hosts for a retry", "service", service, "allowed", allowed, "hosts", known-len(lenders),
		"lacking_permille", max(lacking, 0), "took_ms", time.Since(began).Milliseconds())
	return until, allowed
}

// askForRetries asks hosts at the same time, and records what they lend.
func (c *Client) askForRetries(ctx context.Context, lenders []string, req *lendRequest) {
	asked, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	began := time.Now() // it is lent later
	var asking sync.WaitGroup
	for _, address := range lenders {
		asking.Go(func() {
			reply, err := rpc.Call[lendRequest, lendReply](asked, c.rpc, address, methodLendRetries, req)
			switch {
			case err != nil && ctx.Err() != nil: // the search was given up, which tells nothing of the host
			case err != nil:
				c.markUnreachable(address)
			default:
				c.options.Retries.Borrow(req.Service, reply.Lent, began.Add(c.options.Retries.LoanTime()), time.Now())
				c.options.Retries.Borrow(req.Service, reply.Passed, began.Add(reply.Usable), time.Now())
			}
		})
	}
	asking.Wait()
}

// retryLenders returns the hosts to ask, in random order. Those that were unreachable recently come last.
func (c *Client) retryLenders() []string {
	addresses := c.OtherHosts()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	c.mu.Lock()
	defer c.mu.Unlock()
	var reachable, unreachable []string
	for _, address := range addresses {
		if time.Since(c.unreachable[address]) < unreachableRetention {
			unreachable = append(unreachable, address)
		} else {
			reachable = append(reachable, address)
		}
	}
	addresses = append(reachable, unreachable...)
	return addresses[:min(len(addresses), maxRetryLenders)]
}
