// Package grant holds the standby grants: tokens of a budget that a host may
// spend while it is cut off from the control group. A grant counts against its
// budget until the host's journal is merged and the rest is returned, or an
// operator writes it off.
package grant

import (
	"cmp"
	"maps"
	"slices"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Grant is what one session holds of one budget. All figures are whole tokens
// and never fall, so a command that names the new sum may be sent again.
type Grant struct {
	Budget string `cbor:"1,keyasint"`
	// Granted is the sum of all that was ever granted.
	Granted int64 `cbor:"2,keyasint,omitempty"`
	// Returned is the sum of all that was given back unused.
	Returned int64 `cbor:"3,keyasint,omitempty"`
	// Charged is the sum of all that merged journals charged.
	Charged int64 `cbor:"4,keyasint,omitempty"`
}

// Outstanding returns the tokens that the session may still spend.
func (g *Grant) Outstanding() int64 { return g.Granted - g.Returned - g.Charged }

// Holder is a session with its grants.
type Holder struct {
	Session string  `cbor:"1,keyasint"`
	Grants  []Grant `cbor:"2,keyasint,omitempty"`
	// Merged is the number of journal entries that were merged.
	Merged uint64 `cbor:"3,keyasint,omitempty"`
	// Ended tells that the session has ended, so that only its journal tells what it spent.
	Ended bool `cbor:"4,keyasint,omitempty"`
}

// Book holds the grants of all sessions.
type Book struct {
	holders map[string]*Holder
}

// NewBook returns a book without grants.
func NewBook() *Book { return &Book{holders: make(map[string]*Holder)} }

// Load takes in the holders of a snapshot.
func (b *Book) Load(holders []*Holder) {
	for _, h := range holders {
		b.holders[h.Session] = h
	}
}

// Holders returns all holders in the order of their sessions.
func (b *Book) Holders() []*Holder {
	return slices.SortedFunc(maps.Values(b.holders), func(x, y *Holder) int { return cmp.Compare(x.Session, y.Session) })
}

// HoldersOf returns the holders among the sessions.
func (b *Book) HoldersOf(sessions []string) []*Holder {
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

// Missing returns how many tokens are to be granted so that the sum of all
// grants of the session for the budget becomes total; 0 if it already is.
func (b *Book) Missing(session, budget string, total int64) int64 {
	if h, ok := b.holders[session]; ok {
		return max(0, total-h.grant(budget).Granted)
	}
	return max(0, total)
}

// Add grants tokens more of the budget to the session.
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

// End marks the holder of an ended session.
func (b *Book) End(session string) {
	if h, ok := b.holders[session]; ok {
		h.Ended = true
		b.forgetIfSpent(h)
	}
}

// Return raises the sum of the returned tokens to total and gives the grant
// and the tokens that come back by it.
func (b *Book) Return(h *Holder, budget string, total int64) (Grant, int64, error) {
	i := h.index(budget)
	if i < 0 {
		return Grant{}, 0, errkind.New(errkind.NotFound, "session %s holds no grant of budget %s", h.Session, budget)
	}
	g := &h.Grants[i]
	tokens := max(0, total-g.Returned)
	if tokens > g.Outstanding() {
		return Grant{}, 0, errkind.New(errkind.InvalidRequest, "return of %d tokens, %d are outstanding", tokens, g.Outstanding())
	}
	g.Returned += tokens
	b.forgetIfSpent(h)
	return *g, tokens, nil
}

// Charge charges at most tokens to the holder's grant of the budget and
// returns how many were charged.
func (b *Book) Charge(h *Holder, budget string, tokens int64) int64 {
	i := h.index(budget)
	if i < 0 {
		return 0
	}
	charged := min(tokens, h.Grants[i].Outstanding())
	h.Grants[i].Charged += charged
	return charged
}

// Settle drops an ended holder that has nothing outstanding.
func (b *Book) Settle(h *Holder) { b.forgetIfSpent(h) }

// WriteOff drops an ended holder and returns its grants.
func (b *Book) WriteOff(h *Holder) []Grant {
	delete(b.holders, h.Session)
	return h.Grants
}

// Stranded returns the budgets of which a session that has ended holds tokens;
// nil if there are none.
func (b *Book) Stranded() map[string]bool {
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

// Outstanding returns the outstanding tokens of each budget.
func (b *Book) Outstanding() map[string]int64 {
	sums := make(map[string]int64)
	for _, h := range b.holders {
		for i := range h.Grants {
			sums[h.Grants[i].Budget] += h.Grants[i].Outstanding()
		}
	}
	return sums
}

func (b *Book) forgetIfSpent(h *Holder) {
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
