package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/memnet"
	"github.com/godwitbend/godwitbend/internal/settings"
)

func singleHostSettings(dir string) *settings.Settings {
	s := settings.Default()
	s.Host, s.Zone, s.DataDir = "host-1", "zone-1", dir
	s.Roles = []settings.Role{settings.RoleEntry, settings.RoleControl}
	s.ReplicaID, s.Bootstrap = 1, true
	s.Listen = settings.Listen{Callers: "127.0.0.2:8080", Hosts: "127.0.0.2:7000", Operators: "127.0.0.2:9000"}
	s.Replicas = []settings.Replica{{ID: 1, Address: s.Listen.Hosts}}
	s.TLS.Plaintext = true
	return s
}

// A host whose replica reports a storage failure drains as in a shutdown, and Run
// returns the failure.
func TestStorageFailureDrainsHost(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := New(singleHostSettings(dir), memnet.New().Node("host-1"))
		done := make(chan error, 1)
		go func() { done <- d.Run(context.Background()) }()
		time.Sleep(3 * time.Second)
		g.Expect(d.ready()).To(Succeed())
		d.replica.failed <- eris.New("no space left on device")
		time.Sleep(time.Millisecond)
		g.Expect(d.ready()).NotTo(Succeed())
		g.Expect(d.draining.Load()).To(BeFalse(), "the load balancer has time to direct callers to other hosts")
		g.Expect(<-done).To(MatchError(ContainSubstring("no space left")))
		g.Expect(d.draining.Load()).To(BeTrue())
	})
}
