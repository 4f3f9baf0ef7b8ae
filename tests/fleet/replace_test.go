package fleet_test

import (
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// restart drains h and starts it with its settings modified by change.
func (s *site) restart(h *host, change func(*settings.Settings)) {
	s.drain(h)
	change(h.settings)
	s.start(h)
	time.Sleep(settleTime)
}

// changeReplica changes the control group through h and retries while the service is
// unavailable.
func (s *site) changeReplica(h *host, change controlapi.ReplicaChange) []controlapi.ReplicaStatus {
	s.t.Helper()
	for range 20 {
		var reply operatorapi.ReplicasReply
		status := s.operate(h, http.MethodPost, operatorapi.PathReplicas, change, &reply)
		if status == http.StatusOK {
			time.Sleep(settleTime)
			return reply.Replicas
		}
		s.Expect(status).To(Equal(http.StatusServiceUnavailable))
	}
	s.t.Fatalf("replica change %+v did not complete", change)
	return nil
}

// TestControlReplicaReplacement replaces a control replica by one on another host. The
// removed replica id cannot be added again, and the group keeps its quorum without the
// removed host and one other.
func TestControlReplicaReplacement(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		lost, kept, standby := s.hosts[0], s.hosts[1], s.hosts[3]
		newReplica := settings.Replica{ID: 4, Address: standby.settings.Listen.Hosts}
		s.restart(standby, func(next *settings.Settings) {
			next.Replicas = append(slices.Clone(next.Replicas), newReplica)
			next.Roles = append(next.Roles, settings.RoleControl)
			next.ReplicaID = newReplica.ID
		})
		s.changeReplica(kept, controlapi.ReplicaChange{Action: controlapi.ReplicaAdd, ID: newReplica.ID, Address: newReplica.Address})
		s.changeReplica(kept, controlapi.ReplicaChange{Action: controlapi.ReplicaPromote, ID: newReplica.ID})
		s.changeReplica(kept, controlapi.ReplicaChange{Action: controlapi.ReplicaLead, ID: kept.settings.ReplicaID})
		replicas := s.changeReplica(kept, controlapi.ReplicaChange{Action: controlapi.ReplicaRemove, ID: lost.settings.ReplicaID})
		s.Expect(replicas).To(HaveLen(3))

		var refused operatorapi.ErrorReply
		again := controlapi.ReplicaChange{Action: controlapi.ReplicaAdd, ID: lost.settings.ReplicaID, Address: lost.settings.Listen.Hosts}
		s.Expect(s.operate(kept, http.MethodPost, operatorapi.PathReplicas, again, &refused)).To(Equal(http.StatusConflict))
		s.Expect(refused.Error.Outcome).To(Equal(errkind.NotRun))

		s.net.Partition(hostNames(lost), hostNames(s.hosts[1:]...))
		s.net.Partition(hostNames(s.hosts[2]), hostNames(kept, standby))
		time.Sleep(30 * time.Second)
		var status operatorapi.StatusReply
		s.Expect(s.operate(standby, http.MethodGet, operatorapi.PathStatus, nil, &status)).To(Equal(http.StatusOK))
		s.Expect(*status.CanLose).To(BeZero())
		answer, err := s.chat(standby, "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK), "%+v", answer.Refusal)
		s.Expect(s.budget(standby).Charged).To(Equal(s.expectedCharge()))
	})
}

// TestReplicaWithoutDataCannotReuseItsID restarts a replica whose data directory was
// deleted: it fails to start with StorageFailed, with and without bootstrap.
func TestReplicaWithoutDataCannotReuseItsID(t *testing.T) {
	for _, bootstrap := range []bool{true, false} {
		run(t, siteOptions{hosts: 3, control: 3}, func(s *site) {
			lost := s.hosts[1]
			s.drain(lost)
			s.Expect(os.RemoveAll(lost.settings.DataDir)).To(Succeed())
			lost.settings.Bootstrap = bootstrap
			s.start(lost)
			select {
			case err := <-lost.done:
				s.Expect(errkind.Is(err, errkind.StorageFailed)).To(BeTrue(), "%v", err)
				lost.done <- err
			case <-time.After(time.Minute):
				s.t.Error("the host still runs under its old replica id")
			}
		})
	}
}

// TestHostStopsWhileWaitingToStart stops a host without data while it waits for the
// unreachable control group.
func TestHostStopsWhileWaitingToStart(t *testing.T) {
	for _, bootstrap := range []bool{true, false} {
		run(t, siteOptions{hosts: 3, control: 3}, func(s *site) {
			lost := s.hosts[1]
			s.drain(lost)
			s.Expect(os.RemoveAll(lost.settings.DataDir)).To(Succeed())
			lost.settings.Bootstrap = bootstrap
			s.net.Partition(hostNames(lost), hostNames(s.hosts[0], s.hosts[2]))
			s.start(lost)
			time.Sleep(settleTime)
			lost.cancel()
			select {
			case err := <-lost.done:
				s.Expect(err).NotTo(HaveOccurred())
				lost.done <- err
			case <-time.After(time.Minute):
				s.t.Error("the host did not stop")
			}
		})
	}
}
