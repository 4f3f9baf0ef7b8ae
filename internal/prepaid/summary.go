package prepaid

import (
	"maps"
	"slices"
)

// Summary is the state of one organisation's budget over all hosts, in tokens.
type Summary struct {
	Organisation string
	Prepaid      int64
	// Charged is the number of tokens charged to ended sessions, and WrittenOff the part of
	// it that they had not reported as used.
	Charged, WrittenOff int64
	// Used, Reserved and Free are sums over the open sessions.
	Used, Reserved, Free int64
	// Undistributed is the number of tokens that no host holds.
	Undistributed int64
}

// Summaries returns the state of each limited budget, ordered by organisation.
func (b *Book) Summaries() []Summary {
	var list []Summary
	for _, name := range slices.Sorted(maps.Keys(b.Accounts)) {
		a := b.Accounts[name]
		if !a.Limited {
			continue
		}
		s := Summary{Organisation: name, Prepaid: a.Prepaid, Charged: a.Charged, WrittenOff: a.WrittenOff, Undistributed: a.Prepaid - a.Charged}
		for _, session := range b.Sessions {
			if h := session.Holdings[name]; h != nil {
				s.Used += h.Used
				s.Reserved += h.Reserved
				s.Free += h.free()
				s.Undistributed -= h.held()
			}
		}
		list = append(list, s)
	}
	return list
}
