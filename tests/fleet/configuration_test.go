package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// expectServes expects h to answer a chat request.
func (s *site) expectServes(h *host, key string) {
	s.t.Helper()
	answer, err := s.chat(h, key, "good morning")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(answer.Status).To(Equal(http.StatusOK), "%s: %+v", h.name, answer.Refusal)
}

func (s *site) status(h *host) operatorapi.StatusReply {
	s.t.Helper()
	var reply operatorapi.StatusReply
	s.Expect(s.operate(h, http.MethodGet, operatorapi.PathStatus, nil, &reply)).To(Equal(http.StatusOK))
	return reply
}

func (s *site) record(h *host, kind config.Kind, name string) config.Record {
	s.t.Helper()
	var reply config.Record
	path := operatorapi.RecordsPath(kind) + "/" + name
	s.Expect(s.operate(h, http.MethodGet, path, nil, &reply)).To(Equal(http.StatusOK))
	return reply
}

// TestRollingSchemaUpgradeAndDowngrade restarts hosts one by one with a newer schema
// and then with the old one: fields unknown to a schema are kept both ways.
func TestRollingSchemaUpgradeAndDowngrade(t *testing.T) {
	oldSchema := func(s *settings.Settings) { s.SchemaMax = 1 }
	newSchema := func(s *settings.Settings) { s.SchemaMax = 2 }
	run(t, siteOptions{hosts: 4, control: 3, adjust: oldSchema}, func(s *site) {
		write := s.newChange(config.KindClass, "c", `{"priority":3,"deadline_ms":10000,"note":"kept"}`)
		write.Writes[0].Record.SchemaVersion = 1
		s.mustApply(s.hosts[0], write)
		for i, h := range s.hosts {
			s.Expect(s.status(s.hosts[3]).ActiveSchema).To(Equal(1))
			s.restart(h, newSchema)
			for j, other := range s.hosts {
				s.expectServes(other, fmt.Sprintf("up-%d-%d", i, j))
			}
		}
		s.Expect(s.status(s.hosts[0]).ActiveSchema).To(Equal(2))
		upgraded := s.record(s.hosts[0], config.KindClass, "c")
		s.Expect(string(upgraded.Spec)).To(And(ContainSubstring(`"worth"`), ContainSubstring(`"note"`)))
		for i, h := range s.hosts {
			s.restart(h, oldSchema)
			s.expectServes(h, fmt.Sprintf("down-%d", i))
		}
		s.Expect(s.status(s.hosts[0]).ActiveSchema).To(Equal(1))
		downgraded := s.record(s.hosts[0], config.KindClass, "c")
		s.Expect(string(downgraded.Spec)).To(And(ContainSubstring(`"priority":3`), ContainSubstring(`"note"`)))
		s.Expect(s.budget(s.hosts[0]).Charged).To(Equal(s.expectedCharge()))
	})
}

// TestRestartAfterLogCompaction stops a control replica and an entry host during 520
// changes, while the log is compacted. Restarted, both apply the last change.
func TestRestartAfterLogCompaction(t *testing.T) {
	const changes = 520
	frequentSnapshots := func(s *settings.Settings) { s.SnapshotEntries = 100 }
	run(t, siteOptions{hosts: 5, control: 3, adjust: frequentSnapshots}, func(s *site) {
		follower, entry := s.hosts[1], s.hosts[4]
		if follower.daemon.Leads() {
			follower = s.hosts[2]
		}
		s.drain(follower)
		s.drain(entry)
		for i := range changes {
			s.mustApply(s.hosts[0], s.newChange(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"n%d","disabled":true}`, i)))
		}
		s.start(follower)
		s.start(entry)
		time.Sleep(settleTime)
		for _, h := range []*host{follower, entry} {
			answer, err := s.chat(h, "late-"+h.name, "good morning")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil(), "the last change disables the organisation")
		}
		last := s.record(entry, config.KindOrganisation, "o")
		s.Expect(string(last.Spec)).To(ContainSubstring(fmt.Sprintf("n%d", changes-1)))
		s.mustApply(entry, s.newChange(config.KindOrganisation, "o", `{}`))
		s.expectServes(follower, "enabled-1")
		s.expectServes(entry, "enabled-2")
	})
}

func TestOneOfTwoConcurrentUpdatesWins(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		revision := s.record(s.hosts[0], config.KindOrganisation, "o").Revision
		requests := make([]operatorapi.ApplyRequest, 2)
		statuses := make([]int, 2)
		done := make(chan int)
		for i := range requests {
			requests[i] = s.newChange(config.KindOrganisation, "o", fmt.Sprintf(`{"display_name":"operator-%d"}`, i))
			requests[i].Writes[0].IfRevision = &revision
		}
		for i := range requests {
			go func() {
				statuses[i] = s.operate(s.hosts[i], http.MethodPost, operatorapi.PathApply, requests[i], nil)
				done <- i
			}()
		}
		<-done
		<-done
		s.Expect(statuses).To(ConsistOf(http.StatusOK, http.StatusConflict))
		for i, status := range statuses {
			var reply json.RawMessage
			again := s.operate(s.hosts[2], http.MethodPost, operatorapi.PathApply, requests[i], &reply)
			s.Expect(again).To(Equal(status), "a resend returns the first result")
			winner := fmt.Sprintf("operator-%d", 1-i)
			if status == http.StatusConflict {
				s.Expect(string(reply)).To(ContainSubstring(winner))
				s.Expect(string(s.record(s.hosts[3], config.KindOrganisation, "o").Spec)).To(ContainSubstring(winner))
			}
		}
	})
}

// TestChangePendingWhileHostMayServeOldDocument isolates a host during a change: the
// change is accepted only once the host can no longer serve the old document.
func TestChangePendingWhileHostMayServeOldDocument(t *testing.T) {
	run(t, siteOptions{hosts: 5, control: 3}, func(s *site) {
		isolated := s.hosts[4]
		s.net.Partition(hostNames(isolated), hostNames(s.hosts[:4]...))
		change := s.newChange(config.KindOrganisation, "o", `{"disabled":true}`)
		var reply operatorapi.ChangeReply
		s.Expect(s.operate(s.hosts[0], http.MethodPost, operatorapi.PathApply, change, &reply)).To(Equal(http.StatusAccepted))
		s.Expect(reply.State).To(Equal(operatorapi.StatePending))
		s.mustApply(s.hosts[0], change)
		ran := len(s.engine.Truth().Records())
		for range 20 {
			answer, err := s.chat(isolated, "", "good morning")
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(answer.Refusal).NotTo(BeNil())
			time.Sleep(time.Second)
		}
		s.Expect(s.engine.Truth().Records()).To(HaveLen(ran))
	})
}
