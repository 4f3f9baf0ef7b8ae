package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/registry"
)

// Guards against reporting an instance as not run after it refused the first
// dispatch but may have run a later one.
func TestInstanceThatMayHaveRunNotReportedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	x := &exchange{}
	u := target{entry: &registry.Entry{ID: "u1"}, incarnation: 1}
	x.recordRunState(&failure{notRun: true}, u)
	g.Expect(x.notRunOn).To(HaveLen(1))
	x.recordRunState(&failure{}, u)
	g.Expect(x.notRunOn).To(BeEmpty())
	x.recordRunState(&failure{notRun: true}, u)
	g.Expect(x.notRunOn).To(BeEmpty())
}
