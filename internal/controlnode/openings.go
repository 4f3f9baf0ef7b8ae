package controlnode

import (
	"math/rand/v2"

	"github.com/godwitbend/godwitbend/internal/prepaid"
)

// openingTickets keeps calls of ended processes from opening sessions. A process opens its session in two steps: the leader gives it
// a ticket, with which it sends the opening again. Any opening of the host makes the ticket void, and so does a change of the
// leader. So whatever a process has sent has no effect once a process that was started after its end has a session, however late
// it arrives. The zero value is ready for use.
type openingTickets struct {
	// replica and term are those in which the tickets were given.
	replica, term uint64
	hosts         map[string]*hostTicket
}

// hostTicket is what the leader of a term knows of the openings of one host.
type hostTicket struct {
	// ticket is the number that the next opening of the host has to name.
	ticket uint64
	// opened is the session that was opened last in this term, if that is known to be committed.
	opened uint64
}

// enter makes all tickets void that were given in another term.
func (t *openingTickets) enter(replica, term uint64) {
	if t.hosts == nil || t.replica != replica || t.term != term {
		t.replica, t.term, t.hosts = replica, term, map[string]*hostTicket{}
	}
}

// admit reports whether the opening of a call, if it has one, is to be committed in this term. If the call must have no
// effect, it returns the ticket that its sender needs.
func (t *openingTickets) admit(req *SyncRequest) (opens bool, ticket uint64) {
	if req.Opening == nil {
		return false, 0
	}
	h := t.hosts[req.Host]
	if h == nil {
		h = &hostTicket{ticket: newTicket()}
		t.hosts[req.Host] = h
	}
	switch {
	case h.opened == req.Opening.Session && h.opened != 0:
		return false, 0 // a resend
	case req.AwaitsTicket && req.Ticket != h.ticket:
		return false, h.ticket
	}
	h.ticket, h.opened = newTicket(), 0
	return true, 0
}

// recordOpened records that openings which were admitted in this term are committed.
func (t *openingTickets) recordOpened(openings []prepaid.SessionOpening) {
	for i := range openings {
		t.hosts[openings[i].Host].opened = openings[i].Session
	}
}

// newTicket returns a random number other than 0.
func newTicket() uint64 {
	for {
		if ticket := rand.Uint64(); ticket != 0 {
			return ticket
		}
	}
}
