package control

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// executions runs operations and counts those that were executed.
type executions struct {
	*operations
	count int64
}

func (e *executions) run(id string, nowMS int64) *controlapi.Result {
	return e.once(id, id, nowMS, func() *controlapi.Result {
		e.count++
		return &controlapi.Result{Settled: e.count}
	})
}

func TestFullStoreOfPaymentsRefusesNewOnes(t *testing.T) {
	g := NewWithT(t)
	e := &executions{operations: newOperations(2, 100, refuseNew)}
	e.run("a", 1)
	e.run("b", 1)
	g.Expect(e.run("c", 1).Err.Kind).To(Equal(errkind.Overloaded))
	g.Expect(e.run("a", 1).Settled).To(Equal(int64(1)))
	e.expire(101)
	g.Expect(e.run("c", 101).Err).To(BeNil())
	g.Expect(e.count).To(Equal(int64(3)))
}

func TestFullStoreOfChangesDropsTheOldest(t *testing.T) {
	g := NewWithT(t)
	e := &executions{operations: newOperations(2, 100, displaceOldest)}
	for i := range 3 {
		e.run(fmt.Sprint(i), 1)
	}
	g.Expect(e.run("2", 1).Settled).To(Equal(int64(3)))
	g.Expect(e.run("0", 1).Settled).To(Equal(int64(4)))
}

func TestResultOfAnOperationIsNotChangedByItsReader(t *testing.T) {
	g := NewWithT(t)
	o := newOperations(2, 100, displaceOldest)
	run := func() *controlapi.Result {
		return o.once("a", "a", 1, func() *controlapi.Result {
			return &controlapi.Result{Configure: &controlapi.ConfigureReply{Revision: 1}}
		})
	}
	run().Configure.Accepted = true
	g.Expect(run().Configure.Accepted).To(BeFalse())
}
