package control

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/containment"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/grant"
	"github.com/godwitbend/godwitbend/internal/request"
)

// maxJournalEntries bounds the entries of one merge.
const maxJournalEntries = 10_000

// mergeJournal bills the requests that a host served while it was cut off,
// each once, whether it was served on the other side too or not.
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

// checkJournal refuses a journal with a gap before an entry that is not merged yet.
func checkJournal(h *grant.Holder, entries []controlapi.JournalEntry) *errkind.Error {
	if len(entries) > maxJournalEntries {
		return errkind.New(errkind.InvalidRequest, "%d journal entries, at most %d are allowed", len(entries), maxJournalEntries)
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

// mergeEntry charges one request to the grant unless its record is charged already.
func (m *Machine) mergeEntry(h *grant.Holder, e *controlapi.JournalEntry, reply *controlapi.MergeReply) {
	id := e.RequestID
	r := m.requests.Get(id)
	if r != nil && r.BodyHash != e.BodyHash {
		// The key was used for another body on the other side: two requests ran.
		id = e.RequestID + "/" + e.BodyHash
		r = m.requests.Get(id)
	}
	if r != nil && r.State == request.Settled && r.Partial && !e.Partial {
		m.mergeRest(h, e, r, reply)
		return
	}
	if r != nil && (r.State == request.Settled || r.State == request.Unknown) {
		reply.AlreadyCharged++
		return
	}
	price := m.priceOf(e.Completes, e.Tokens)
	charged := m.chargeGrant(h, e.Budget, price, reply)
	m.recordMerged(id, h.Session, e, charged, r)
	m.noteCompletion(m.requests.Get(id))
}

// chargeGrant charges at most the outstanding grant and returns the charge.
func (m *Machine) chargeGrant(h *grant.Holder, budget string, tokens int64, reply *controlapi.MergeReply) int64 {
	charged := m.grants.Charge(h, budget, tokens)
	if charged > 0 {
		must(m.accounts[budget].EndGrant(charged, charged))
	}
	reply.Charged += charged
	reply.Overrun += tokens - charged
	return charged
}

// mergeRest charges what a request that was served whole used beyond the
// charges of its earlier runs, which were cut off.
func (m *Machine) mergeRest(h *grant.Holder, e *controlapi.JournalEntry, r *request.Record, reply *controlapi.MergeReply) {
	rest := max(e.Tokens-r.Charged-r.ChargedByCompletions, 0)
	charged := m.chargeGrant(h, e.Budget, rest, reply)
	r.ChargedByCompletions += charged
	r.Partial = false
	m.requests.Retain(r, m.nowMS)
}

// recordMerged makes the record of a merged request a settled one. The
// reservation of an open record is freed; its owner's Settle gets this result.
func (m *Machine) recordMerged(id, session string, e *controlapi.JournalEntry, charged int64, r *request.Record) {
	switch {
	case r == nil:
		m.requests.AddClosed(request.NewSettled(id, session, e, charged), m.nowMS)
	case r.State == request.Open:
		r.Partial = e.Partial
		dispatches := r.Dispatches
		must(m.accounts[r.Budget].Release(r.SettleFromGrant(charged, e.Tokens)))
		m.requests.Close(r, m.nowMS)
		m.bodies.EndDispatches(r.BodyHash, dispatches, containment.EndUnknown, m.nowMS)
	default:
		r.Partial = e.Partial
		r.SettleFromGrant(charged, e.Tokens)
		m.requests.Retain(r, m.nowMS)
	}
}
