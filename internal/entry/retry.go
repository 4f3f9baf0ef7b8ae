package entry

import (
	"sync"
	"time"
)

const (
	// retryRatio is the number of retries that each request adds to the budget of its class.
	retryRatio = 0.2
	// retryBurst is the maximum and the initial retry budget of a class.
	retryBurst = 20
	// maxDispatches bounds how often one request is sent to upstreams.
	maxDispatches = 6
	// backoffBase and backoffMax bound the backoff before a retry.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// retryBudgets holds the retry budget of each priority class. It keeps retries a
// small share of all dispatches while upstreams fail.
type retryBudgets struct {
	mu       sync.Mutex
	balances map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{balances: map[string]float64{}} }

// deposit adds retryRatio for one request.
func (b *retryBudgets) deposit(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[class] = min(b.balance(class)+retryRatio, retryBurst)
}

// tryWithdraw takes one retry from the budget; it returns false if less than one is left.
func (b *retryBudgets) tryWithdraw(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.balance(class)
	if left < 1 {
		return false
	}
	b.balances[class] = left - 1
	return true
}

func (b *retryBudgets) balance(class string) float64 {
	left, ok := b.balances[class]
	if !ok {
		return retryBurst
	}
	return left
}

// backoff returns the delay before retry n, counted from 1: exponential backoff
// with jitter over the upper half of the interval.
func (h *Handler) backoff(n int) time.Duration {
	limit := min(backoffBase<<min(n, 10), backoffMax)
	return limit/2 + time.Duration(h.Random.IntN(int(limit/2)))
}
