package daemon

import (
	"context"
	"path/filepath"

	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/standby"
)

const (
	journalDirectory     = "journal"
	peerJournalDirectory = "journal-of-others"
	// grantHorizonLeases is the duration of a standby grant in configuration leases.
	grantHorizonLeases = 2
)

// startStandby starts the standby grants of the host. A host with a data directory also
// stores journals of its peers.
func (d *Daemon) startStandby(ctx context.Context, srv *rpc.Server) error {
	o := standby.Options{
		ControlGroup: d.group,
		Session:      d.session.ID,
		Connected:    d.session.Connected,
		GrantHorizon: grantHorizonLeases * d.settings.ConfigLease.Duration,
	}
	if err := d.configureStore(ctx, srv, &o); err != nil {
		return err
	}
	var err error
	if d.standby, err = standby.New(o); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.standby.Run(ctx)
	}()
	d.stopStandby = func() {
		stop()
		<-done
	}
	return nil
}

// configureStore selects where the journal is stored: in the host's data directory or,
// without one, on a peer.
func (d *Daemon) configureStore(ctx context.Context, srv *rpc.Server, o *standby.Options) error {
	if d.settings.DataDir == "" {
		o.Store = standby.NewRemoteStore(d.rpc, d.replicaList)
		return nil
	}
	own, err := d.openJournals(journalDirectory)
	if err != nil {
		return err
	}
	o.Store, o.Journals = own, own
	others, err := d.openJournals(peerJournalDirectory)
	if err != nil {
		return err
	}
	peers := standby.NewPeerJournals(others, d.group, d.liveSessions)
	peers.Register(srv)
	d.goRun(func() { peers.Run(ctx) })
	return nil
}

func (d *Daemon) openJournals(name string) (*standby.Journals, error) {
	j, err := standby.OpenJournals(filepath.Join(d.settings.DataDir, name))
	if err == nil {
		d.journals = append(d.journals, j)
	}
	return j, err
}

// liveSessions returns the live sessions, and whether the control group is reachable.
func (d *Daemon) liveSessions() ([]string, bool) {
	var out []string
	for _, host := range d.session.Hosts() {
		out = append(out, host.Session)
	}
	return out, d.session.Connected()
}
