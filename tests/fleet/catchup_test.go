package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

func displayName(name string) string { return fmt.Sprintf(`{"display_name":%q}`, name) }

// A control host sleeps through more changes than its log still holds.
func TestHostCatchesUpAfterHundredsOfChanges(t *testing.T) {
	const changes = 300
	few := func(s *settings.Settings) { s.SnapshotEntries = 50 }
	run(t, siteOptions{hosts: 4, control: 3, adjust: few}, func(s *site) {
		asleep, awake := s.hosts[1], s.hosts[0]
		s.drain(asleep)
		var last operatorapi.ChangeReply
		for i := range changes {
			last = s.must(awake, s.write(config.KindOrganisation, "o", displayName(fmt.Sprint(i))))
		}
		s.start(asleep)
		time.Sleep(settle)
		s.net.Partition(names(s.hosts[2]), names(s.hosts[0], s.hosts[1], s.hosts[3]))
		time.Sleep(settle)
		var reply operatorapi.HostsReply
		s.Expect(s.operate(asleep, http.MethodGet, operatorapi.PathHosts, nil, &reply)).To(Equal(http.StatusOK))
		seen := map[string]uint64{}
		for _, h := range reply.Hosts {
			seen[h.Host] = h.Revision
		}
		s.Expect(seen).To(HaveKeyWithValue(asleep.name, last.Revision))
		answer, err := s.chat(asleep, "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK), "%+v", answer.Refusal)
	})
}

// Two operators change one record from the same revision through two hosts.
func TestOfTwoRacingOperatorsOneWinsAndTheOtherSeesTheWinner(t *testing.T) {
	run(t, siteOptions{hosts: 3, control: 3}, func(s *site) {
		var record config.Record
		path := operatorapi.RecordsPath(config.KindOrganisation) + "/o"
		for round := range 10 {
			s.Expect(s.operate(s.hosts[0], http.MethodGet, path, nil, &record)).To(Equal(http.StatusOK))
			seen := record.Revision
			statuses := make([]int, 2)
			answers := make([]struct {
				operatorapi.ChangeReply
				operatorapi.ErrorReply
			}, 2)
			var both sync.WaitGroup
			for i := range statuses {
				put := operatorapi.PutRequest{
					OperationID: s.operationID(), IfRevision: &seen, SchemaVersion: 2,
					Spec: json.RawMessage(displayName(fmt.Sprint(round, i))),
				}
				both.Go(func() { statuses[i] = s.operate(s.hosts[i+1], http.MethodPut, path, put, &answers[i]) })
			}
			both.Wait()
			s.Expect(statuses).To(ConsistOf(http.StatusOK, http.StatusConflict))
			won, lost := answers[0], answers[1]
			if statuses[0] == http.StatusConflict {
				won, lost = lost, won
			}
			s.Expect(lost.Error.Kind).To(Equal(errkind.Conflict))
			s.Expect(lost.Error.Outcome).To(Equal(errkind.NotRun))
			s.Expect(*lost.Winner).To(Equal(won.Records[0]))
		}
	})
}
