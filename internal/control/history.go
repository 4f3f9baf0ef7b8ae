package control

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// maxHistory bounds the configuration changes that are kept.
const maxHistory = 4096

// history holds the latest configuration changes, oldest first.
type history struct {
	entries []controlapi.HistoryEntry
	// trimmed is the revision of the last change that was dropped.
	trimmed uint64
}

func (h *history) add(e controlapi.HistoryEntry) {
	h.entries = append(h.entries, e)
	if len(h.entries) > maxHistory {
		h.trimmed = h.entries[0].Revision
		h.entries = h.entries[1:]
	}
}

// after returns the changes with a revision above revision, of those that are kept.
func (h *history) after(revision uint64) []controlapi.HistoryEntry {
	first := len(h.entries)
	for first > 0 && h.entries[first-1].Revision > revision {
		first--
	}
	return slices.Clone(h.entries[first:])
}

// RecordsAfter returns the records that changed after revision, deleted ones
// included, and the present revision. It returns the whole configuration, and
// full, if the changes are no longer all known.
func (m *Machine) RecordsAfter(revision uint64) (records []config.Record, full bool, now uint64) {
	if revision < m.history.trimmed {
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
