// Package load drives a fleet of real programs with the arrivals of a trace,
// in calm and under failures, and measures what the callers got.
package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/trace"
)

const (
	filePermissions = 0o600
	readyTimeout    = 30 * time.Second
	// maxListed is the number of request records at which a list is cut.
	maxListed = 1000
)

// SiteOptions describe a deployment of real programs.
type SiteOptions struct {
	Deployment *trace.Deployment
	// Bin is the directory of the programs; Dir that of all files.
	Bin string
	Dir string
	// Subnet is as in harness.FleetOptions.
	Subnet string
	// Hosts is the number of daemons, of which Control hold a control replica.
	Hosts   int
	Control int
	// Budget is what is paid in for each organisation, in tokens, unless Budgets
	// gives amounts by organisation.
	Budget  int64
	Budgets map[string]int64
	// EngineFlags and ServiceFlags are further flags of the stand-ins.
	EngineFlags  []string
	ServiceFlags []string
}

// Site is a running deployment.
type Site struct {
	*harness.Fleet
	opts SiteOptions
	keys map[string]string
}

// Start starts the daemons and the stand-ins, writes the configuration and
// waits until all serve.
func Start(ctx context.Context, opts SiteOptions) (*Site, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fleet, err := harness.NewFleet(harness.FleetOptions{
		Bin: opts.Bin, Dir: opts.Dir, Subnet: opts.Subnet,
		Hosts: opts.Hosts, ControlHosts: opts.Control, Zones: opts.Deployment.Zones,
	})
	if err != nil {
		return nil, err
	}
	s := &Site{Fleet: fleet, opts: opts, keys: map[string]string{}}
	if err := s.start(ctx); err != nil {
		fleet.Kill()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.StartHosts(); err != nil {
		return err
	}
	if err := s.startUpstreams(); err != nil {
		return err
	}
	if err := s.AwaitReady(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	return s.AwaitUpstreams(ctx, s.opts.Deployment.Engines+s.opts.Deployment.Replicas)
}

func (s *Site) startUpstreams() error {
	d := s.opts.Deployment
	for i := range d.Engines {
		_, err := s.StartUpstream(harness.UpstreamOptions{
			Kind:  "engine",
			ID:    fmt.Sprintf("engine-%d", i+1),
			Zone:  harness.ZoneName(i, d.Zones),
			Flags: append([]string{"--model", d.Model}, s.opts.EngineFlags...),
		})
		if err != nil {
			return err
		}
	}
	_, err := s.StartUpstream(harness.UpstreamOptions{
		Kind:     "service",
		ID:       d.Service,
		Zone:     harness.ZoneName(0, d.Zones),
		Replicas: d.Replicas,
		Flags:    append([]string{"--name", d.Service}, s.opts.ServiceFlags...),
	})
	return err
}

// configure writes all records in one change, and pays the budgets in.
func (s *Site) configure(ctx context.Context) error {
	records, err := s.records()
	if err != nil {
		return err
	}
	data, err := json.Marshal(records)
	if err != nil {
		return eris.Wrap(err, "encode records")
	}
	path := filepath.Join(s.opts.Dir, "records.json")
	if err := os.WriteFile(path, data, filePermissions); err != nil {
		return eris.Wrap(err, "write records")
	}
	if _, err := s.Ctl(ctx, s.Hosts[0], "apply", "-f", path); err != nil {
		return err
	}
	for _, o := range s.opts.Deployment.Organisations {
		tokens := s.opts.Budget
		if s.opts.Budgets != nil {
			tokens = s.opts.Budgets[o]
		}
		if tokens == 0 {
			continue
		}
		if err := s.TopUp(ctx, o, tokens, "first-"+o); err != nil {
			return err
		}
	}
	return nil
}

// TopUp pays tokens into the budget of an organisation.
func (s *Site) TopUp(ctx context.Context, organisation string, tokens int64, operation string) error {
	_, err := s.Ctl(ctx, s.Hosts[0], "budget", "top-up", organisation,
		"--tokens", fmt.Sprint(tokens), "--operation-id", operation)
	return err
}

func (s *Site) records() ([]config.Record, error) {
	d := s.opts.Deployment
	var b recordBuilder
	b.add(config.KindService, d.Model, config.ServiceSpec{Kind: config.ServiceModel, MaxOutputTokens: 256})
	b.add(config.KindService, d.Service, config.ServiceSpec{Kind: config.ServicePlain, Methods: d.Methods})
	b.add(config.KindPolicy, "all-work", config.PolicySpec{
		Organisation: "*", Services: []string{"*"}, Upstreams: []string{"*"},
	})
	for _, c := range d.Classes {
		b.add(config.KindClass, c.Name, c.Spec)
	}
	for _, o := range d.Organisations {
		b.add(config.KindOrganisation, o, config.OrganisationSpec{})
		b.add(config.KindBudget, o, config.BudgetSpec{Organisation: o})
		for _, c := range d.Classes {
			name := trace.CallerName(o, c.Name)
			s.keys[name] = "key-of-" + name
			hash := sha256.Sum256([]byte(s.keys[name]))
			b.add(config.KindCaller, name, config.CallerSpec{
				Organisation: o, KeyHash: hex.EncodeToString(hash[:]), Class: c.Name, Budget: o,
			})
		}
	}
	return b.records, b.err
}

// recordBuilder collects records and the first error.
type recordBuilder struct {
	records []config.Record
	err     error
}

func (b *recordBuilder) add(kind config.Kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil && b.err == nil {
		b.err = eris.Wrapf(err, "encode %s %s", kind, name)
	}
	b.records = append(b.records, config.Record{Kind: kind, Name: name, SchemaVersion: config.MaxSchema, Spec: data})
}

// Leader returns the host whose control replica leads, or nil.
func (s *Site) Leader(ctx context.Context, ask *harness.Host) (*harness.Host, error) {
	out, err := s.Ctl(ctx, ask, "replicas", "-o", "json")
	if err != nil {
		return nil, err
	}
	var reply controlapi.QueryReply
	if err := json.Unmarshal(out, &reply); err != nil {
		return nil, eris.Wrap(err, "decode replicas")
	}
	for _, r := range reply.Replicas {
		for _, h := range s.Hosts {
			if r.Role == "leader" && h.Settings.ReplicaID == r.ID {
				return h, nil
			}
		}
	}
	return nil, eris.Errorf("no leader in %s", out)
}

// Bills returns the records of all requests.
func (s *Site) Bills(ctx context.Context, ask *harness.Host) ([]controlapi.RequestStatus, error) {
	var all []controlapi.RequestStatus
	for _, o := range s.opts.Deployment.Organisations {
		out, err := s.Ctl(ctx, ask, "request", "list", "--organisation", o, "-o", "json")
		if err != nil {
			return nil, err
		}
		var reply controlapi.QueryReply
		if err := json.Unmarshal(out, &reply); err != nil {
			return nil, eris.Wrap(err, "decode requests")
		}
		if len(reply.Requests) >= maxListed {
			return nil, eris.Errorf("the list of the requests of %s is cut at %d", o, len(reply.Requests))
		}
		all = append(all, reply.Requests...)
	}
	return all, nil
}

// Budgets returns the state of all budgets.
func (s *Site) Budgets(ctx context.Context, ask *harness.Host) ([]controlapi.BudgetStatus, error) {
	out, err := s.Ctl(ctx, ask, "usage", "-o", "json")
	if err != nil {
		return nil, err
	}
	var reply controlapi.QueryReply
	err = json.Unmarshal(out, &reply)
	return reply.Budgets, eris.Wrap(err, "decode usage")
}

// AllTruth returns the ground truth of all upstreams.
func (s *Site) AllTruth(ctx context.Context) ([]fake.TruthRecord, error) {
	var all []fake.TruthRecord
	for _, u := range s.Upstreams {
		records, err := s.GroundTruth(ctx, u)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// Key returns the key of a caller.
func (s *Site) Key(caller string) string { return s.keys[caller] }
