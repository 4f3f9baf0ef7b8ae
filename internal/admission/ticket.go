// Package admission decides which waiting request gets a place next.
package admission

import "time"

// Ticket describes a request that asks for a place.
type Ticket struct {
	// Service is the model or plain service asked for.
	Service      string
	Organisation string
	// Class is the name of the priority class.
	Class string
	// Worth orders the classes; work of higher worth goes first.
	Worth int
	// QueueLimit bounds the waiting requests of the class; 0 means the default.
	QueueLimit int
	// Arrived is the time of arrival.
	Arrived time.Time
	// Deadline is the time by which the first byte of the answer is due.
	Deadline time.Time
}
