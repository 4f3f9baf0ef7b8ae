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

// TestHostCatchesUpFromSnapshot stops a control host during more changes than the log
// retains. After its restart it holds the last revision and serves.
func TestHostCatchesUpFromSnapshot(t *testing.T) {
	const changes = 300
	frequentSnapshots := func(s *settings.Settings) { s.SnapshotEntries = 50 }
	run(t, siteOptions{hosts: 4, control: 3, adjust: frequentSnapshots}, func(s *site) {
		stopped, running := s.hosts[1], s.hosts[0]
		s.drain(stopped)
		var last operatorapi.ChangeReply
		for i := range changes {
			last = s.mustApply(running, s.newChange(config.KindOrganisation, "o", displayName(fmt.Sprint(i))))
		}
		s.start(stopped)
		time.Sleep(settleTime)
		s.net.Partition(hostNames(s.hosts[2]), hostNames(s.hosts[0], s.hosts[1], s.hosts[3]))
		time.Sleep(settleTime)
		var reply operatorapi.HostsReply
		s.Expect(s.operate(stopped, http.MethodGet, operatorapi.PathHosts, nil, &reply)).To(Equal(http.StatusOK))
		seen := map[string]uint64{}
		for _, h := range reply.Hosts {
			seen[h.Host] = h.Revision
		}
		s.Expect(seen).To(HaveKeyWithValue(stopped.name, last.Revision))
		answer, err := s.chat(stopped, "key-1", "good morning")
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(answer.Status).To(Equal(http.StatusOK), "%+v", answer.Refusal)
	})
}

// TestConflictingUpdateReturnsWinningRecord updates one record from the same revision
// through two hosts: one update wins, the refusal of the other holds the winning record.
func TestConflictingUpdateReturnsWinningRecord(t *testing.T) {
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
			var updates sync.WaitGroup
			for i := range statuses {
				put := operatorapi.PutRequest{
					OperationID: s.operationID(), IfRevision: &seen, SchemaVersion: 2,
					Spec: json.RawMessage(displayName(fmt.Sprint(round, i))),
				}
				updates.Go(func() { statuses[i] = s.operate(s.hosts[i+1], http.MethodPut, path, put, &answers[i]) })
			}
			updates.Wait()
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
