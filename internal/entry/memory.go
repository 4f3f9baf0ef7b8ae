package entry

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/membudget"
)

const (
	// MaxAnswerHeadBytes bounds the header of an upstream's answer, including those of interim answers.
	MaxAnswerHeadBytes = 16 << 10
	// answerAllowance is the memory of each answer that doesn't count against the budget, in bytes.
	answerAllowance = 128 << 10
	// answerCopies is how often a whole answer is in memory while it is committed and written.
	answerCopies = 3
	// eventMemoryFactor is the memory that an event takes for each byte while it is decoded, at most. It is the largest
	// if its lists and fields are as short as possible.
	eventMemoryFactor = 16
	// maxHeldBytes bounds the final events that are held back, and heldEventMemory is the memory of one besides its text,
	// in bytes.
	maxHeldBytes    = 4 << 20
	heldEventMemory = 64
)

// newMemoryBudget returns the budget of the answers in flight. One answer of any size allowed fits into it.
func newMemoryBudget(l Limits) *membudget.Budget {
	largest := max(answerCopies*l.AnswerBytes, eventMemoryFactor*maxEventBytes+2*maxHeldBytes)
	return membudget.New(max(membudget.ProcessShare(), largest), largest, answerAllowance)
}

// hold returns the memory in use for the answer to the current dispatch.
func (x *exchange) hold() *membudget.Hold {
	if x.memory == nil {
		x.memory = x.h.memory.Hold()
	}
	return x.memory
}

// releaseMemory returns the memory in use for an answer.
func (x *exchange) releaseMemory() {
	if x.hold().Waited() {
		x.h.counters.event("answers_waited_for_memory")
	}
	_ = x.memory.Resize(nil, 0) // never waits
	x.memory = nil
}

// reserveEvent returns a function that makes an event of a number of bytes the memory in use, besides the events that are
// held back.
func (x *exchange) reserveEvent(ctx context.Context, state *relayState) func(bytes int) error {
	return func(bytes int) error {
		return eris.Wrap(x.hold().Resize(ctx.Done(), state.heldMemory+int64(bytes)*eventMemoryFactor), "read an event")
	}
}
