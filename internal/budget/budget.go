// Package budget implements the aggregate of one prepaid token budget.
package budget

import (
	"math"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxTokens bounds each amount of a budget, in tokens. The sum of two such amounts
// cannot overflow.
const MaxTokens = math.MaxInt64 / 4

// State holds the amounts of a budget, in whole tokens.
type State struct {
	PaidIn   int64 `cbor:"1,keyasint,omitempty"`
	Charged  int64 `cbor:"2,keyasint,omitempty"`
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	Granted  int64 `cbor:"4,keyasint,omitempty"`
}

// Budget is a prepaid budget. Its invariant is charged + reserved + granted ≤ paid in,
// with no negative amount. An operation that returns an error changes nothing.
type Budget struct {
	state State
}

// FromState returns the budget with state s, or an Internal error if s violates the
// invariant.
func FromState(s State) (Budget, error) {
	b := Budget{state: s}
	if err := b.Check(); err != nil {
		return Budget{}, err
	}
	return b, nil
}

// State returns the state of the budget.
func (b *Budget) State() State { return b.state }

// Available returns the number of tokens that may be reserved or granted.
func (b *Budget) Available() int64 {
	return b.state.PaidIn - b.state.Charged - b.state.Reserved - b.state.Granted
}

// TopUp adds tokens to the amount paid in. It returns InvalidRequest if tokens is not
// positive or the total would exceed MaxTokens.
func (b *Budget) TopUp(tokens int64) error {
	if tokens <= 0 || tokens > MaxTokens-b.state.PaidIn {
		return errkind.New(errkind.InvalidRequest, "top-up of %d tokens is out of range", tokens)
	}
	b.state.PaidIn += tokens
	return nil
}

// Reserve reserves tokens for a request. On a lack of tokens it returns BudgetReserved if
// open reservations or grants may still free enough, and BudgetExhausted otherwise.
func (b *Budget) Reserve(tokens int64) error {
	if err := b.checkAvailable(tokens); err != nil {
		return err
	}
	b.state.Reserved += tokens
	return nil
}

// Settle ends a reservation of reserved tokens and charges charged of them.
func (b *Budget) Settle(reserved, charged int64) error {
	if reserved < 0 || reserved > b.state.Reserved {
		return errkind.New(errkind.Internal, "cannot settle a reservation of %d tokens: %d tokens are reserved", reserved, b.state.Reserved)
	}
	if charged < 0 || charged > reserved {
		return errkind.New(errkind.Internal, "cannot charge %d tokens to a reservation of %d tokens", charged, reserved)
	}
	b.state.Reserved -= reserved
	b.state.Charged += charged
	return nil
}

// Release ends a reservation without a charge.
func (b *Budget) Release(reserved int64) error { return b.Settle(reserved, 0) }

// Grant reserves tokens for spending by a host. It returns the same errors as Reserve.
func (b *Budget) Grant(tokens int64) error {
	if err := b.checkAvailable(tokens); err != nil {
		return err
	}
	b.state.Granted += tokens
	return nil
}

// EndGrant removes tokens from the granted amount and charges charged of them.
func (b *Budget) EndGrant(tokens, charged int64) error {
	if tokens < 0 || tokens > b.state.Granted {
		return errkind.New(errkind.Internal, "cannot end a grant of %d tokens: %d tokens are granted", tokens, b.state.Granted)
	}
	if charged < 0 || charged > tokens {
		return errkind.New(errkind.Internal, "cannot charge %d tokens to a grant of %d tokens", charged, tokens)
	}
	b.state.Granted -= tokens
	b.state.Charged += charged
	return nil
}

// Check returns an Internal error if the invariant is violated.
func (b *Budget) Check() error {
	s := b.state
	for _, amount := range []int64{s.PaidIn, s.Charged, s.Reserved, s.Granted} {
		if amount < 0 || amount > MaxTokens {
			return errkind.New(errkind.Internal, "budget amount out of range: %+v", s)
		}
	}
	if b.Available() < 0 {
		return errkind.New(errkind.Internal, "budget overspent: %+v", s)
	}
	return nil
}

func (b *Budget) checkAvailable(tokens int64) error {
	if tokens < 0 {
		return errkind.New(errkind.InvalidRequest, "token amount %d is negative", tokens)
	}
	if tokens <= b.Available() {
		return nil
	}
	if tokens <= b.state.PaidIn-b.state.Charged {
		return errkind.New(errkind.BudgetReserved, "%d tokens requested, %d available, others are reserved or granted", tokens, b.Available())
	}
	return errkind.New(errkind.BudgetExhausted, "%d tokens requested, %d remaining", tokens, b.state.PaidIn-b.state.Charged)
}
