package prepaid

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The sums that the book keeps are those of its sessions, in every state that
// random failures lead to.
func TestSumsFollowTheSessions(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(20) {
		s := newSimulation(seed, mechanisms{})
		for step := range 600 {
			s.step()
			if step%50 != 0 {
				continue
			}
			kept := map[string]total{}
			for name := range s.book.Accounts {
				kept[name] = *s.book.total(name)
			}
			s.book.totals = nil
			for name, want := range kept {
				g.Expect(*s.book.total(name)).To(Equal(want), "seed %d, step %d, %s", seed, step, name)
			}
		}
	}
}
