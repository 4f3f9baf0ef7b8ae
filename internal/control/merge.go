package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/grant"
	"github.com/godwitbend/godwitbend/internal/request"
)

// maxJournalEntries is the maximum number of entries in a merge.
const maxJournalEntries = 10_000

// mergeJournal charges the requests that a host served while the control group was
// unreachable. Each request is charged once, even if it was also served on the other
// side of the partition.
func (m *Machine) mergeJournal(j *controlapi.MergeJournalRequest) *controlapi.Result {
	h, err := m.grants.Holder(j.Session)
	if err != nil {
		return refuse(err)
	}
	if err := checkJournal(h, j.Entries); err != nil {
		return refuse(err)
	}
	reply := &controlapi.MergeReply{Merged: h.Merged}
	for i := range j.Entries {
		if e := &j.Entries[i]; e.Sequence > h.Merged {
			m.mergeEntry(h, e, reply)
			h.Merged = e.Sequence
		}
	}
	reply.Merged = h.Merged
	m.grants.RemoveIfSpent(h)
	return &controlapi.Result{Merge: reply}
}

// checkJournal refuses a journal with invalid entries, or with a gap before an entry
// that is not merged yet.
func checkJournal(h *grant.Holder, entries []controlapi.JournalEntry) *errkind.Error {
	if len(entries) > maxJournalEntries {
		return errkind.New(errkind.InvalidRequest, "journal has %d entries, at most %d are allowed", len(entries), maxJournalEntries)
	}
	last := h.Merged
	for i := range entries {
		e := &entries[i]
		if e.Sequence > last+1 {
			return errkind.New(errkind.Conflict, "journal entry %d does not follow %d", e.Sequence, last)
		}
		last = max(last, e.Sequence)
		if e.Tokens < 0 || e.Tokens > config.MaxRequestTokens || e.RequestID == "" || len(e.RequestID) > maxIDBytes || len(e.BodyHash) > maxIDBytes {
			return errkind.New(errkind.InvalidRequest, "journal entry %d is out of range", e.Sequence)
		}
	}
	return nil
}

// mergeEntry charges one request to the grant unless its record is already charged.
func (m *Machine) mergeEntry(h *grant.Holder, e *controlapi.JournalEntry, reply *controlapi.MergeReply) {
	id := e.RequestID
	r := m.requests.Get(id)
	if r != nil && r.BodyHash != e.BodyHash {
		// The key was used for another body on the other side of the partition: two
		// different requests ran.
		id = e.RequestID + "/" + e.BodyHash
		r = m.requests.Get(id)
	}
	if r != nil && r.State == request.Settled && r.Partial && !e.Partial {
		m.chargeRemainder(h, e, r, reply)
		return
	}
	if r != nil && (r.State == request.Settled || r.State == request.Unknown) {
		reply.AlreadyCharged++
		return
	}
	tokens := m.tokensToCharge(e.Completes, e.Tokens)
	charged := m.chargeGrant(h, e.Budget, tokens, reply)
	m.settleMerged(id, h.Session, e, charged, r)
	m.recordCompletion(m.requests.Get(id))
}

// chargeGrant charges tokens, at most the outstanding grant, and returns the charge.
// The excess is added to the reply's overrun.
func (m *Machine) chargeGrant(h *grant.Holder, budget string, tokens int64, reply *controlapi.MergeReply) int64 {
	charged := m.grants.Charge(h, budget, tokens)
	if charged > 0 {
		must(m.accounts[budget].EndGrant(charged, charged))
	}
	reply.Charged += charged
	reply.Overrun += tokens - charged
	return charged
}

// chargeRemainder charges a completely served request for the tokens beyond those
// charged for its earlier partial runs.
func (m *Machine) chargeRemainder(h *grant.Holder, e *controlapi.JournalEntry, r *request.Record, reply *controlapi.MergeReply) {
	remainder := max(e.Tokens-r.Charged-r.ChargedByCompletions, 0)
	charged := m.chargeGrant(h, e.Budget, remainder, reply)
	r.ChargedByCompletions += charged
	r.Partial = false
	m.requests.Retain(r, m.nowMS)
}

// settleMerged stores the settled record of a merged request. The reservation of an
// open record is freed; a later Settle of its owner gets this result.
func (m *Machine) settleMerged(id, session string, e *controlapi.JournalEntry, charged int64, r *request.Record) {
	switch {
	case r == nil:
		m.requests.AddClosed(request.NewSettled(id, session, e, charged), m.nowMS)
	case r.State == request.Open:
		r.Partial = e.Partial
		dispatches := r.Dispatches
		must(m.accounts[r.Budget].Release(r.SettleFromGrant(charged, e.Tokens)))
		m.requests.Close(r, m.nowMS)
		m.containment.EndDispatches(r.BodyHash, dispatches, containment.EndUnknown, m.nowMS)
	default:
		r.Partial = e.Partial
		r.SettleFromGrant(charged, e.Tokens)
		m.requests.Retain(r, m.nowMS)
	}
}
