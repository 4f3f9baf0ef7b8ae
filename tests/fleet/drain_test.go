package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
)

// TestDrainClosesRecordsOfAnsweredRequests drains a host while the control group is
// unreachable. A request is then answered before its record is closed; the drain waits
// for the record, so that no reservation is left.
func TestDrainClosesRecordsOfAnsweredRequests(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3, engine: fake.EngineOptions{TokenTime: 2 * time.Second}}, func(s *site) {
		drained := s.hosts[3]
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_, _ = s.chat(drained, "key-1", "good morning")
		}()
		time.Sleep(time.Second)
		s.net.Partition(hostNames(drained), append(hostNames(s.hosts[:3]...), "engine-1"))
		<-answered
		drained.cancel()
		time.Sleep(20 * time.Second)
		s.net.HealAll()
		err := <-drained.done
		s.Expect(err).NotTo(HaveOccurred())
		drained.done <- err
		s.Expect(s.budget(s.hosts[0]).Reserved).To(BeZero())
		time.Sleep(time.Minute)
	})
}
