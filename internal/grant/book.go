// Package grant records standby grants: tokens of a budget that a host may spend while
// the control group is unreachable. A grant counts against its budget until the host's
// journal is merged and the remainder is returned, or an operator writes it off.
package grant

import (
	"cmp"
	"maps"
	"slices"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Grant is the grant of one budget to one session. All amounts are in whole tokens and
// never decrease, so a command that states a new total may be repeated.
type Grant struct {
	Budget string `cbor:"1,keyasint"`
	// Granted is the total ever granted.
	Granted int64 `cbor:"2,keyasint,omitempty"`
	// Returned is the total returned unused.
	Returned int64 `cbor:"3,keyasint,omitempty"`
	// Charged is the total charged by merged journals.
	Charged int64 `cbor:"4,keyasint,omitempty"`
}

// Outstanding returns the number of tokens that the session may still spend.
func (g *Grant) Outstanding() int64 { return g.Granted - g.Returned - g.Charged }

// Holder is a session and its grants.
type Holder struct {
	Session string  `cbor:"1,keyasint"`
	Grants  []Grant `cbor:"2,keyasint,omitempty"`
	// Merged is the number of journal entries merged.
	Merged uint64 `cbor:"3,keyasint,omitempty"`
	// Ended means that the session has ended, so that only its journal shows what it spent.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Book holds the grants of all sessions.
type Book struct {
	holders map[string]*Holder
}

// NewBook returns a book without grants.
func NewBook() *Book { return &Book{holders: make(map[string]*Holder)} }

// Load restores the holders of a snapshot.
func (b *Book) Load(holders []*Holder) {
	for _, h := range holders {
		b.holders[h.Session] = h
	}
}

// Holders returns all holders, ordered by session.
func (b *Book) Holders() []*Holder {
	return slices.SortedFunc(maps.Values(b.holders), func(x, y *Holder) int { return cmp.Compare(x.Session, y.Session) })
}

// HoldersForSessions returns the holders of those sessions that have grants.
func (b *Book) HoldersForSessions(sessions []string) []*Holder {
	var holders []*Holder
	for _, session := range sessions {
		if h, ok := b.holders[session]; ok {
			holders = append(holders, h)
		}
	}
	return holders
}

// Holder returns the holder of a session, or NotFound.
func (b *Book) Holder(session string) (*Holder, error) {
	h, ok := b.holders[session]
	if !ok {
		return nil, errkind.New(errkind.NotFound, "session %s holds no grant", session)
	}
	return h, nil
}

// MissingTokens returns the number of tokens to grant so that the session's total for the
// budget reaches total; 0 if it already has.
func (b *Book) MissingTokens(session, budget string, total int64) int64 {
	if h, ok := b.holders[session]; ok {
		return max(0, total-h.grant(budget).Granted)
	}
	return max(0, total)
}

// Add increases the session's grant of the budget by tokens and returns the grant.
func (b *Book) Add(session, budget string, tokens int64) Grant {
	h, ok := b.holders[session]
	if !ok {
		h = &Holder{Session: session}
		b.holders[session] = h
	}
	i := h.index(budget)
	if i < 0 {
		h.Grants = append(h.Grants, Grant{Budget: budget})
		i = len(h.Grants) - 1
	}
	h.Grants[i].Granted += tokens
	return h.Grants[i]
}

// EndSession marks the holder of an ended session, and removes it if nothing is
// outstanding.
func (b *Book) EndSession(session string) {
	if h, ok := b.holders[session]; ok {
		h.Ended = true
		b.removeIfSpent(h)
	}
}

// Return raises the total of returned tokens to total. It returns the grant and the
// number of tokens returned by this call.
func (b *Book) Return(h *Holder, budget string, total int64) (Grant, int64, error) {
	i := h.index(budget)
	if i < 0 {
		return Grant{}, 0, errkind.New(errkind.NotFound, "session %s has no grant of budget %s", h.Session, budget)
	}
	g := &h.Grants[i]
	tokens := max(0, total-g.Returned)
	if tokens > g.Outstanding() {
		return Grant{}, 0, errkind.New(errkind.InvalidRequest, "cannot return %d tokens: %d tokens are outstanding", tokens, g.Outstanding())
	}
	g.Returned += tokens
	b.removeIfSpent(h)
	return *g, tokens, nil
}

// Charge charges at most tokens to the holder's grant of the budget and returns the
// number charged.
func (b *Book) Charge(h *Holder, budget string, tokens int64) int64 {
	i := h.index(budget)
	if i < 0 {
		return 0
	}
	charged := min(tokens, h.Grants[i].Outstanding())
	h.Grants[i].Charged += charged
	return charged
}

// RemoveIfSpent removes an ended holder that has nothing outstanding.
func (b *Book) RemoveIfSpent(h *Holder) { b.removeIfSpent(h) }

// WriteOff removes an ended holder and returns its grants.
func (b *Book) WriteOff(h *Holder) []Grant {
	delete(b.holders, h.Session)
	return h.Grants
}

// BudgetsOfEndedSessions returns the budgets of which ended sessions have outstanding
// tokens; nil if there are none.
func (b *Book) BudgetsOfEndedSessions() map[string]bool {
	var budgets map[string]bool
	for _, h := range b.holders {
		if !h.Ended {
			continue
		}
		for i := range h.Grants {
			if h.Grants[i].Outstanding() == 0 {
				continue
			}
			if budgets == nil {
				budgets = make(map[string]bool)
			}
			budgets[h.Grants[i].Budget] = true
		}
	}
	return budgets
}

// Outstanding returns the number of outstanding tokens of each budget.
func (b *Book) Outstanding() map[string]int64 {
	totals := make(map[string]int64)
	for _, h := range b.holders {
		for i := range h.Grants {
			totals[h.Grants[i].Budget] += h.Grants[i].Outstanding()
		}
	}
	return totals
}

func (b *Book) removeIfSpent(h *Holder) {
	outstanding := slices.ContainsFunc(h.Grants, func(g Grant) bool { return g.Outstanding() > 0 })
	if h.Ended && !outstanding {
		delete(b.holders, h.Session)
	}
}

func (h *Holder) index(budget string) int {
	return slices.IndexFunc(h.Grants, func(g Grant) bool { return g.Budget == budget })
}

func (h *Holder) grant(budget string) *Grant {
	if i := h.index(budget); i >= 0 {
		return &h.Grants[i]
	}
	return &Grant{}
}
