// Package admission limits the requests in flight per service and decides which waiting
// request is granted a slot next, by worth, deadline and organisation.
package admission

import "time"

// Ticket describes a request that asks for a slot.
type Ticket struct {
	// Service is the requested model or plain service.
	Service      string
	Organisation string
	// Class is the name of the priority class.
	Class string
	// Worth orders the classes; requests of higher worth are granted first.
	Worth int
	// QueueLimit bounds the waiting requests of the class; 0 means the default.
	QueueLimit int
	// Arrived is the time of arrival.
	Arrived time.Time
	// Deadline is the time by which the first byte of the answer is due.
	Deadline time.Time
}
