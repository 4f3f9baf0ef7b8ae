package admission

import "context"

// AllowAll admits every request immediately.
type AllowAll struct{}

// Acquire implements entry.Admission.
func (AllowAll) Acquire(context.Context, Ticket) (func(), error) { return func() {}, nil }
