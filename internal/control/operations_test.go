package control

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// countingOperations counts the operations that are executed rather than answered
// from a retained result.
type countingOperations struct {
	*operations
	count int64
}

func (e *countingOperations) run(id string, nowMS int64) *controlapi.Result {
	return e.executeOnce(id, id, nowMS, func() *controlapi.Result {
		e.count++
		return &controlapi.Result{Settled: e.count}
	})
}

func TestFullOperationsRefuseNew(t *testing.T) {
	g := NewWithT(t)
	e := &countingOperations{operations: newOperations(2, 100, refuseNew)}
	e.run("a", 1)
	e.run("b", 1)
	g.Expect(e.run("c", 1).Err.Kind).To(Equal(errkind.Overloaded))
	g.Expect(e.run("a", 1).Settled).To(Equal(int64(1)))
	e.expire(101)
	g.Expect(e.run("c", 101).Err).To(BeNil())
	g.Expect(e.count).To(Equal(int64(3)))
}

func TestFullOperationsEvictOldest(t *testing.T) {
	g := NewWithT(t)
	e := &countingOperations{operations: newOperations(2, 100, evictOldest)}
	for i := range 3 {
		e.run(fmt.Sprint(i), 1)
	}
	g.Expect(e.run("2", 1).Settled).To(Equal(int64(3)))
	g.Expect(e.run("0", 1).Settled).To(Equal(int64(4)))
}

func TestStoredResultNotMutated(t *testing.T) {
	g := NewWithT(t)
	o := newOperations(2, 100, evictOldest)
	run := func() *controlapi.Result {
		return o.executeOnce("a", "a", 1, func() *controlapi.Result {
			return &controlapi.Result{Configure: &controlapi.ConfigureReply{Revision: 1}}
		})
	}
	run().Configure.Accepted = true
	g.Expect(run().Configure.Accepted).To(BeFalse())
}
