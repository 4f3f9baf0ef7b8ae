// Package budget holds the aggregate of one prepaid token budget.
package budget

import (
	"math"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// MaxTokens bounds each figure of a budget, in tokens. Sums of two figures
// below it cannot overflow.
const MaxTokens = math.MaxInt64 / 4

// State is the content of a budget, in whole tokens.
type State struct {
	PaidIn   int64 `cbor:"1,keyasint,omitempty"`
	Charged  int64 `cbor:"2,keyasint,omitempty"`
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	Granted  int64 `cbor:"4,keyasint,omitempty"`
}

// Budget is a prepaid budget. After every operation
// charged + reserved + granted ≤ paid in, and no figure is negative. An
// operation that returns an error changes nothing.
type Budget struct {
	state State
}

// FromState returns the budget with the content s, or an Internal error if s
// breaks the invariant.
func FromState(s State) (Budget, error) {
	b := Budget{state: s}
	if err := b.Check(); err != nil {
		return Budget{}, err
	}
	return b, nil
}

// State returns the content of the budget.
func (b *Budget) State() State { return b.state }

// Available returns the tokens that may be reserved or granted now.
func (b *Budget) Available() int64 {
	return b.state.PaidIn - b.state.Charged - b.state.Reserved - b.state.Granted
}

// TopUp pays tokens in. It returns InvalidRequest if tokens is not positive or
// the total would pass MaxTokens.
func (b *Budget) TopUp(tokens int64) error {
	if tokens <= 0 || tokens > MaxTokens-b.state.PaidIn {
		return errkind.New(errkind.InvalidRequest, "top-up of %d tokens is out of range", tokens)
	}
	b.state.PaidIn += tokens
	return nil
}

// Reserve sets tokens aside for a request. It returns BudgetReserved if open
// reservations or grants may still free enough, else BudgetExhausted.
func (b *Budget) Reserve(tokens int64) error {
	if err := b.take(tokens); err != nil {
		return err
	}
	b.state.Reserved += tokens
	return nil
}

// Settle ends a reservation of reserved tokens and charges charged of them.
func (b *Budget) Settle(reserved, charged int64) error {
	if reserved < 0 || reserved > b.state.Reserved {
		return errkind.New(errkind.Internal, "settle frees %d of %d reserved tokens", reserved, b.state.Reserved)
	}
	if charged < 0 || charged > reserved {
		return errkind.New(errkind.Internal, "settle charges %d of a reservation of %d tokens", charged, reserved)
	}
	b.state.Reserved -= reserved
	b.state.Charged += charged
	return nil
}

// Release ends a reservation without a charge.
func (b *Budget) Release(reserved int64) error { return b.Settle(reserved, 0) }

// Grant sets tokens aside for a host. Its errors are those of Reserve.
func (b *Budget) Grant(tokens int64) error {
	if err := b.take(tokens); err != nil {
		return err
	}
	b.state.Granted += tokens
	return nil
}

// EndGrant takes tokens out of the granted ones and charges charged of them.
func (b *Budget) EndGrant(tokens, charged int64) error {
	if tokens < 0 || tokens > b.state.Granted {
		return errkind.New(errkind.Internal, "grant of %d tokens ends, %d are granted", tokens, b.state.Granted)
	}
	if charged < 0 || charged > tokens {
		return errkind.New(errkind.Internal, "%d tokens charged to a grant of %d", charged, tokens)
	}
	b.state.Granted -= tokens
	b.state.Charged += charged
	return nil
}

// Check returns an Internal error if the invariant is broken.
func (b *Budget) Check() error {
	s := b.state
	for _, figure := range []int64{s.PaidIn, s.Charged, s.Reserved, s.Granted} {
		if figure < 0 || figure > MaxTokens {
			return errkind.New(errkind.Internal, "budget figure out of range: %+v", s)
		}
	}
	if b.Available() < 0 {
		return errkind.New(errkind.Internal, "budget overspent: %+v", s)
	}
	return nil
}

func (b *Budget) take(tokens int64) error {
	if tokens < 0 {
		return errkind.New(errkind.InvalidRequest, "negative amount of %d tokens", tokens)
	}
	if tokens <= b.Available() {
		return nil
	}
	if tokens <= b.state.PaidIn-b.state.Charged {
		return errkind.New(errkind.BudgetReserved, "%d tokens wanted, %d available, the rest is reserved", tokens, b.Available())
	}
	return errkind.New(errkind.BudgetExhausted, "%d tokens wanted, %d left", tokens, b.state.PaidIn-b.state.Charged)
}
