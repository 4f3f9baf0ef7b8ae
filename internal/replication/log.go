package replication

// entryLog is the part of the log held in memory. Entry i is at position
// i-base-1 of entries.
//
// Invariant: base <= applied <= committed <= last, stable <= last, and
// applied <= stable.
type entryLog struct {
	base      uint64 // index of the last compacted entry
	baseTerm  uint64
	entries   []Entry
	stable    uint64 // last entry known to be synced on this replica
	committed uint64
	applied   uint64 // last entry handed to the caller for applying
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false if it is compacted
// or absent.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// slice returns the entries in (after, to]. The result shares memory with the
// log and must not be changed; a truncation allocates anew before it writes.
func (l *entryLog) slice(after, to uint64) []Entry {
	if after >= to {
		return nil
	}
	return l.entries[after-l.base : to-l.base : to-l.base]
}

// limited returns the entries after index up to maxBytes, at least one if any.
func (l *entryLog) limited(after uint64, maxBytes int) []Entry {
	to, size := after, 0
	for to < l.last() {
		size += len(l.entries[to-l.base].Data) + entryOverhead
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
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index)
}

// conflict returns the first position in entries that the log lacks or holds
// with another term; len(entries) if there is none.
func (l *entryLog) conflict(entries []Entry) int {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i
		}
	}
	return len(entries)
}

// upToDate tells whether a log that ends at (index, term) is at least as recent.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}

// hint returns the largest index, at most index, whose term is at most term.
func (l *entryLog) hint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.base {
		if have, ok := l.term(index); ok && have <= term {
			break
		}
		index--
	}
	return index
}

func (l *entryLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term, _ := l.term(index)
	rest := l.slice(index, l.last())
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.base, l.baseTerm = index, term
}

// reset replaces the whole log by the position of a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{base: index, baseTerm: term, stable: index, committed: index, applied: index}
}
