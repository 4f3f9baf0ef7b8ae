package containment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestLostInstanceIsExcluded(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("body", "u1")
	tr.crash("u1")
	tr.mustRefuse("body", "u1", errkind.SuspectBusy)
}

func TestAbandonedDispatchesDoNotBlockRetry(t *testing.T) {
	tr := newTracker(t)
	tr.mustSend("body", "u1")
	tr.crash("u1")
	tr.mustSend("body", "u2")
	tr.mustRefuse("body", "u2", errkind.SuspectBusy)
	err, _ := tr.CheckDispatch("body", instance("u2"), tr.nowMS, instance("u1"), instance("u2"))
	tr.Expect(err).To(BeNil())
	tr.RecordDispatch("body", instance("u2"))
	err, _ = tr.CheckDispatch("body", instance("u2"), tr.nowMS, instance("u2"))
	tr.Expect(err).NotTo(BeNil(), "another copy is in flight on u2")
}
