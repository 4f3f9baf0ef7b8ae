package entry

import (
	"sync"
	"time"
)

const (
	// retryShare is the number of retries that each request adds to the budget of its class.
	retryShare = 0.2
	// retryBurst bounds the budget of a class, and is its size at the start.
	retryBurst = 20
	// maxTries bounds the upstreams that one request is sent to.
	maxTries = 6
	// backoffBase and backoffMax bound the time before a retry.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 500 * time.Millisecond
)

// retryBudgets holds the retries that each class may still make, so that
// retries stay a small share of the work while upstreams fail.
type retryBudgets struct {
	mu   sync.Mutex
	left map[string]float64
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{left: map[string]float64{}} }

// earn adds the share of one request.
func (b *retryBudgets) earn(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[class] = min(b.present(class)+retryShare, retryBurst)
}

// spend takes one retry; it returns false if none is left.
func (b *retryBudgets) spend(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.present(class)
	if left < 1 {
		return false
	}
	b.left[class] = left - 1
	return true
}

func (b *retryBudgets) present(class string) float64 {
	left, ok := b.left[class]
	if !ok {
		return retryBurst
	}
	return left
}

// backoff returns the time to wait before the retry of number n, counted from
// 1: a random part of a time that doubles with each retry.
func (h *Handler) backoff(n int) time.Duration {
	limit := min(backoffBase<<min(n, 10), backoffMax)
	return limit/2 + time.Duration(h.Random.IntN(int(limit/2)))
}
