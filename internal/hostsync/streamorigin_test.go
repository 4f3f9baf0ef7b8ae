package hostsync_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// Guards against streams that can't be resumed because the hosts that keep their records started
// after they began.
func TestHostThatStartsLaterKeepsOriginsOfStreams(t *testing.T) {
	gr := newControlGroup(t)
	gr.putDocument(1, 1_000_000)
	began, _ := gr.gateway(2)
	gr.g.Eventually(func() bool { return began.View() != nil && began.View().Hosts == 1 }, eventuallyTimeout).Should(BeTrue())
	origin := streamorigin.Origin{Service: "s", Version: "v1"}
	began.RecordStreamOrigin(streamorigin.Record{Fingerprint: 7, CallID: "c", Origin: origin, Lifetime: time.Minute})
	later, _ := gr.gateway(3)
	gr.g.Eventually(func() bool { return later.View() != nil && later.View().Hosts == 2 }, eventuallyTimeout).Should(BeTrue())
	gr.g.Eventually(func() bool {
		kept := later.KeptStreamOrigin(7, "c")
		return kept.Known && kept.Origin == origin
	}, inForceTimeout).Should(BeTrue())
}
