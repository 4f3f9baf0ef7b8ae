package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/fake"
)

const (
	headerTimeout = 10 * time.Second
	// drainTimeout bounds the time for which a leaving stand-in finishes its work.
	drainTimeout = 60 * time.Second
	// crashExitCode is the exit code of a stand-in that crashed.
	crashExitCode = 3
)

// standin is what all kinds that announce themselves have in common.
type standin interface {
	http.Handler
	fake.AnnouncementSource
	Leave()
	Wait(ctx context.Context) error
}

// commonFlags are the flags of all kinds that announce themselves.
type commonFlags struct {
	id          *string
	zone        *string
	hosts       *[]string
	capacity    *int
	queue       *int
	loadLag     *time.Duration
	leaveGrace  *time.Duration
	truthFile   *string
	exitOnCrash *bool
	crashMarker *string
}

func addCommonFlags(c *kingpin.CmdClause) commonFlags {
	return commonFlags{
		id:          c.Flag("id", "Id of the upstream.").Required().String(),
		zone:        c.Flag("zone", "Availability zone.").Required().String(),
		hosts:       c.Flag("announce", "Base URL of an entry host; may be repeated.").Strings(),
		capacity:    c.Flag("capacity", "Requests that run at once.").Default("8").Int(),
		queue:       c.Flag("queue", "Requests that wait.").Default("64").Int(),
		loadLag:     c.Flag("load-lag", "Age of the load that is announced.").Default("1s").Duration(),
		leaveGrace:  c.Flag("leave-grace", "Least time between leaving and the end.").Default("3s").Duration(),
		truthFile:   c.Flag("truth-file", "File that the ground truth is appended to.").String(),
		exitOnCrash: c.Flag("exit-on-crash", "Exit on a crash instead of starting the next incarnation.").Bool(),
		crashMarker: c.Flag("crash-marker", "Text in a body that crashes the stand-in.").String(),
	}
}

// identity returns the identity of the stand-in that listens at address.
func (f *commonFlags) identity(id, address string) (fake.CommonOptions, error) {
	identity := fake.CommonOptions{
		ID:      id,
		Zone:    *f.zone,
		Address: "http://" + address,
		LoadLag: *f.loadLag,
		Faults:  fake.Faults{CrashMarker: *f.crashMarker},
	}
	if *f.exitOnCrash {
		identity.OnCrash = func() { os.Exit(crashExitCode) }
	}
	if *f.truthFile == "" {
		return identity, nil
	}
	file, err := os.OpenFile(*f.truthFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return identity, eris.Wrap(err, "open truth file")
	}
	identity.Truth = fake.NewGroundTruth(file)
	return identity, nil
}

// serve runs s at listener until ctx ends; then it leaves.
func (f *commonFlags) serve(ctx context.Context, s standin, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	announcing, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	announcer := fake.Announcer{Source: s, Hosts: *f.hosts}
	go announcer.Run(announcing)
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return f.leave(s, server)
}

// leave announces that s leaves, lets its work finish and closes the server.
func (f *commonFlags) leave(s standin, server *http.Server) error {
	s.Leave()
	time.Sleep(*f.leaveGrace)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		return eris.Wrap(err, "finish the work")
	}
	return eris.Wrap(server.Shutdown(ctx), "close the server")
}
