package replication

// entryLog is the part of the log after the last compaction, held in memory. The
// entry with index i is at position i-compactedIndex-1 of entries.
//
// Invariant: compactedIndex <= applied <= committed <= lastIndex(),
// stable <= lastIndex(), and applied <= stable.
type entryLog struct {
	compactedIndex uint64 // index of the last compacted entry
	compactedTerm  uint64
	entries        []Entry
	stable         uint64 // index of the last entry synced on this replica
	committed      uint64
	applied        uint64 // index of the last entry returned to the caller for applying
}

func (l *entryLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index; ok is false if it is compacted
// or absent.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.compactedIndex:
		return l.compactedTerm, true
	case index < l.compactedIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

func (l *entryLog) matchTerm(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// slice returns the entries in (after, to]. The result shares memory with the
// log and must not be modified; an append after truncate reallocates.
func (l *entryLog) slice(after, to uint64) []Entry {
	if after >= to {
		return nil
	}
	return l.entries[after-l.compactedIndex : to-l.compactedIndex : to-l.compactedIndex]
}

// entriesAfter returns the entries after the given index, limited to maxBytes but
// at least one if there is any.
func (l *entryLog) entriesAfter(after uint64, maxBytes int) []Entry {
	to, size := after, 0
	for to < l.lastIndex() {
		size += len(l.entries[to-l.compactedIndex].Data) + entryOverheadBytes
		if size > maxBytes && to > after {
			break
		}
		to++
	}
	return l.slice(after, to)
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries after index.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.compactedIndex
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index)
}

// findConflict returns the position of the first of entries that the log lacks
// or has with another term, or len(entries) if there is none.
func (l *entryLog) findConflict(entries []Entry) int {
	for i, e := range entries {
		if !l.matchTerm(e.Index, e.Term) {
			return i
		}
	}
	return len(entries)
}

// isUpToDate reports whether a log that ends at (index, term) is at least as
// up-to-date as this one.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	lastTerm := l.lastTerm()
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}

// findConflictByTerm returns the largest index, at most the given one, whose term
// is at most the given term. A follower returns it as the hint of a rejection.
func (l *entryLog) findConflictByTerm(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.compactedIndex {
		if have, ok := l.term(index); ok && have <= term {
			break
		}
		index--
	}
	return index
}

func (l *entryLog) compact(index uint64) {
	if index <= l.compactedIndex {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.compactedIndex, l.compactedTerm = index, term
}

// reset discards all entries and starts the log after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{compactedIndex: index, compactedTerm: term, stable: index, committed: index, applied: index}
}
