package daemon

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlgroup"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	replicaDirectory = "replica"
	directoryPerm    = 0o700
	// healthInterval is the interval of the checks of the replica's storage.
	healthInterval = 500 * time.Millisecond
)

// controlReplica is the control role of a host.
type controlReplica struct {
	replica   *replica.Replica
	server    *controlgroup.Server
	transport *controlgroup.Transport
	seen      *controlgroup.SeenReplicas
	// failed receives the first failure of the replica's storage.
	failed chan error
}

// startReplica starts the control role. The RPC server for hosts must be serving
// already, because starting replicas ask each other whether they have received messages
// from them before.
func startReplica(ctx context.Context, s *settings.Settings, client *rpc.Client, c *controlReplica) error {
	directory := filepath.Join(s.DataDir, replicaDirectory)
	empty, err := prepareDirectory(directory)
	if err != nil {
		return err
	}
	if empty {
		if err := confirmID(ctx, s, client); err != nil {
			return err
		}
	}
	address := replicaAddresses(s)
	machine := control.NewMachine()
	c.transport = controlgroup.NewTransport(ctx, client, c.server.Address)
	c.server.Configure(controlgroup.ServerOptions{
		Machine:        machine,
		ReplicaAddress: address,
		Lease:          s.ConfigLease.Duration,
	})
	c.replica, err = replica.Start(replica.Options{
		ID:              s.ReplicaID,
		Peers:           initialPeers(s),
		Bootstrap:       s.Bootstrap,
		Directory:       directory,
		Machine:         machine,
		Transport:       c.transport,
		TickInterval:    s.Tick.Duration,
		ElectionTicks:   s.ElectionTicks,
		HeartbeatTicks:  s.HeartbeatTicks,
		SnapshotEntries: uint64(s.SnapshotEntries),
		Seed:            s.ReplicaID,
		OnLeadership:    c.server.OnLeadership,
	})
	if err != nil {
		return eris.Wrap(err, "start the control replica")
	}
	c.server.Bind(c.replica)
	return nil
}

// confirmID checks that the control group does not rely on anything that a replica with
// this ID has acknowledged, because the disk of this replica is empty.
func confirmID(ctx context.Context, s *settings.Settings, client *rpc.Client) error {
	if s.Bootstrap {
		return controlgroup.ConfirmUnseen(ctx, client, s.ReplicaID, peerAddresses(s))
	}
	peers := peerAddresses(s)
	if len(peers) == 0 {
		return errkind.New(errkind.InvalidRequest, "replica %d has no other replica to join, and bootstrap is not set", s.ReplicaID)
	}
	group := controlgroup.NewClient(controlgroup.ClientOptions{
		RPC:      client,
		Replicas: func() []string { return peers },
	})
	return controlgroup.ConfirmMayJoin(ctx, client, group, s.ReplicaID)
}

// prepareDirectory creates the directory if needed and tells whether it is empty.
func prepareDirectory(path string) (bool, error) {
	if err := os.MkdirAll(path, directoryPerm); err != nil {
		return false, eris.Wrap(err, "create the data directory")
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return false, eris.Wrap(err, "read the data directory")
	}
	return len(entries) == 0, nil
}

func initialPeers(s *settings.Settings) []replication.Peer {
	if !s.Bootstrap {
		return nil
	}
	peers := make([]replication.Peer, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		peers = append(peers, replication.Peer{ID: r.ID, Address: r.Address})
	}
	return peers
}

func peerAddresses(s *settings.Settings) []string {
	var out []string
	for _, r := range s.Replicas {
		if r.ID != s.ReplicaID {
			out = append(out, r.Address)
		}
	}
	return out
}

func replicaAddresses(s *settings.Settings) func(id uint64) string {
	addresses := make(map[uint64]string, len(s.Replicas))
	for _, r := range s.Replicas {
		addresses[r.ID] = r.Address
	}
	return func(id uint64) string { return addresses[id] }
}

// deliver passes messages of other replicas to the replica; before its start they are
// dropped.
func (c *controlReplica) deliver(msgs []replication.Message) {
	if r := c.server.Replica(); r != nil {
		r.Deliver(c.seen.Filter(msgs))
	}
}

// watchHealth sends the first failure of the replica's storage to failed.
func (c *controlReplica) watchHealth(ctx context.Context) {
	timing.EveryUntil(ctx, healthInterval, func() bool {
		err := c.replica.Status().Failure
		if err != nil {
			c.failed <- eris.Wrap(err, "control replica storage")
		}
		return err == nil
	})
}

// stop transfers leadership and closes the log.
func (c *controlReplica) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	if err := c.server.TransferLeadership(ctx); err != nil {
		klog.InfoS("leadership transfer failed", "error", err.Error())
	}
	if err := c.replica.Stop(); err != nil {
		klog.ErrorS(err, "stopping the control replica failed")
	}
}

// Leads tells whether this host's replica considers itself the leader of the control
// group.
func (d *Daemon) Leads() bool {
	if d.replica == nil {
		return false
	}
	r := d.replica.server.Replica()
	return r != nil && r.Status().Leader == d.settings.ReplicaID
}
