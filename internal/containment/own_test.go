package containment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

func TestLostInstanceGetsTheBodyNoMore(t *testing.T) {
	k := newTracker(t)
	k.sent("body", "u1")
	k.lose("u1")
	k.refused("body", "u1", errkind.SuspectBusy)
}

func TestRequestDoesNotWaitForItsOwnEarlierTry(t *testing.T) {
	k := newTracker(t)
	k.sent("body", "u1")
	k.lose("u1")
	k.sent("body", "u2")
	k.refused("body", "u2", errkind.SuspectBusy)
	err, _ := k.CheckOpen("body", instance("u2"), k.now, instance("u1"), instance("u2"))
	k.Expect(err).To(BeNil())
	k.Open("body", instance("u2"))
	err, _ = k.CheckOpen("body", instance("u2"), k.now, instance("u2"))
	k.Expect(err).NotTo(BeNil(), "another copy runs there")
}
