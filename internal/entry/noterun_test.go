package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// An upstream refuses the call first and may run it at the second try.
func TestInstanceThatMayHaveRunIsNotNamedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	x := &exchange{}
	u := target{entry: &registry.Entry{ID: "u1"}, incarnation: 1}
	x.noteRun(&failure{notRun: true}, u)
	g.Expect(x.notRun).To(HaveLen(1))
	x.noteRun(&failure{}, u)
	g.Expect(x.notRun).To(BeEmpty())
	x.noteRun(&failure{notRun: true}, u)
	g.Expect(x.notRun).To(BeEmpty())
}
