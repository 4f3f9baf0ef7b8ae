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

func (o *countingOperations) run(id string, nowMS int64) *controlapi.Result {
	return o.executeOnce(id, id, nowMS, func() *controlapi.Result {
		o.count++
		return &controlapi.Result{Settled: o.count}
	})
}

func TestFullOperationsRefuseNew(t *testing.T) {
	g := NewWithT(t)
	o := &countingOperations{operations: newOperations(2, 100, refuseNew)}
	o.run("a", 1)
	o.run("b", 1)
	g.Expect(o.run("c", 1).Err.Kind).To(Equal(errkind.Overloaded))
	g.Expect(o.run("a", 1).Settled).To(Equal(int64(1)))
	o.expire(101)
	g.Expect(o.run("c", 101).Err).To(BeNil())
	g.Expect(o.count).To(Equal(int64(3)))
}

func TestFullOperationsEvictOldest(t *testing.T) {
	g := NewWithT(t)
	o := &countingOperations{operations: newOperations(2, 100, evictOldest)}
	for i := range 3 {
		o.run(fmt.Sprint(i), 1)
	}
	g.Expect(o.run("2", 1).Settled).To(Equal(int64(3)))
	g.Expect(o.run("0", 1).Settled).To(Equal(int64(4)))
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
