package control

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// maxHistoryEntries is the maximum number of configuration changes that are retained.
const maxHistoryEntries = 4096

// history holds the most recent configuration changes, oldest first.
type history struct {
	entries []controlapi.HistoryEntry
	// trimmedRevision is the revision of the newest change that was removed.
	trimmedRevision uint64
}

// add appends an entry and removes the oldest one beyond the limit.
func (h *history) add(e controlapi.HistoryEntry) {
	h.entries = append(h.entries, e)
	if len(h.entries) > maxHistoryEntries {
		h.trimmedRevision = h.entries[0].Revision
		h.entries = h.entries[1:]
	}
}

// after returns the retained changes with a revision greater than the given one.
func (h *history) after(revision uint64) []controlapi.HistoryEntry {
	first := len(h.entries)
	for first > 0 && h.entries[first-1].Revision > revision {
		first--
	}
	return slices.Clone(h.entries[first:])
}

// RecordsAfter returns the records that changed after revision, deleted ones
// included, and the current revision. If the history no longer reaches back to
// revision, it returns the whole configuration and sets full.
func (m *Machine) RecordsAfter(revision uint64) (records []config.Record, full bool, current uint64) {
	if revision < m.history.trimmedRevision {
		return m.store.Records(), true, m.revision
	}
	seen := make(map[config.ID]bool)
	changes := m.history.after(revision)
	for _, change := range slices.Backward(changes) {
		id := config.ID{Kind: change.Kind, Name: change.Name}
		if seen[id] {
			continue
		}
		seen[id] = true
		r, ok := m.store.Get(id)
		if !ok {
			r = config.Record{Kind: id.Kind, Name: id.Name, SchemaVersion: m.schema, Revision: change.Revision, Deleted: true}
		}
		records = append(records, r)
	}
	slices.Reverse(records)
	return records, false, m.revision
}
