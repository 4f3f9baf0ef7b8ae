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
	// drainTimeout bounds the wait for in-flight requests of a leaving stand-in.
	drainTimeout = 60 * time.Second
	// crashExitCode is the exit code after a simulated crash.
	crashExitCode = 3
)

// announcingStandin is a stand-in that announces itself to entry hosts.
type announcingStandin interface {
	http.Handler
	fake.AnnouncementSource
	Leave()
	Wait(ctx context.Context) error
}

// commonFlags are the flags of all stand-ins that announce themselves.
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
		capacity:    c.Flag("capacity", "Maximum number of concurrently running requests.").Default("8").Int(),
		queue:       c.Flag("queue", "Maximum number of queued requests.").Default("64").Int(),
		loadLag:     c.Flag("load-lag", "Age of the load figures in announcements.").Default("1s").Duration(),
		leaveGrace:  c.Flag("leave-grace", "Minimum time between the leave announcement and the exit.").Default("3s").Duration(),
		truthFile:   c.Flag("truth-file", "File that the ground truth is appended to.").String(),
		exitOnCrash: c.Flag("exit-on-crash", "Exit on a crash instead of starting the next incarnation.").Bool(),
		crashMarker: c.Flag("crash-marker", "Text that crashes the stand-in if a request body contains it.").String(),
	}
}

// newCommonOptions returns the options of the stand-in that listens on address.
func (f *commonFlags) newCommonOptions(id, address string) (fake.CommonOptions, error) {
	common := fake.CommonOptions{
		ID:      id,
		Zone:    *f.zone,
		Address: "http://" + address,
		LoadLag: *f.loadLag,
		Faults:  fake.Faults{CrashMarker: *f.crashMarker},
	}
	if *f.exitOnCrash {
		common.OnCrash = func() { os.Exit(crashExitCode) }
	}
	if *f.truthFile == "" {
		return common, nil
	}
	file, err := os.OpenFile(*f.truthFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return common, eris.Wrap(err, "open truth file")
	}
	common.Truth = fake.NewGroundTruth(file)
	return common, nil
}

// serve serves s on listener and announces it until ctx ends, then calls leave.
func (f *commonFlags) serve(ctx context.Context, s announcingStandin, listener net.Listener) error {
	server := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	announceCtx, stopAnnouncing := context.WithCancel(context.Background())
	defer stopAnnouncing()
	announcer := fake.Announcer{Source: s, Hosts: *f.hosts}
	go announcer.Run(announceCtx)
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return f.leave(s, server)
}

// leave announces that s is leaving, waits for its requests and closes the server.
func (f *commonFlags) leave(s announcingStandin, server *http.Server) error {
	s.Leave()
	time.Sleep(*f.leaveGrace)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := s.Wait(ctx); err != nil {
		return eris.Wrap(err, "wait for in-flight requests")
	}
	return eris.Wrap(server.Shutdown(ctx), "close the server")
}
