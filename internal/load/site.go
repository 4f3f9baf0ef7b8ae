// Package load replays the arrivals of a trace against a fleet of the real programs, with and
// without injected failures. It audits the results and measures latencies, refusals and resource
// usage.
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
	fileMode     = 0o600
	readyTimeout = 30 * time.Second
	// maxListedRequests is the number of request records at which the server truncates a list.
	maxListedRequests = 1000
)

// SiteOptions configures a site.
type SiteOptions struct {
	Deployment *trace.Deployment
	// Bin is the directory of the binaries, and Dir the directory of the site's files.
	Bin string
	Dir string
	// Subnet has the meaning of harness.FleetOptions.Subnet.
	Subnet string
	// Hosts is the number of daemons. The first ControlHosts of them have a control replica.
	Hosts        int
	ControlHosts int
	// Budget is the initial top-up of each organisation's budget in tokens. If Budgets is not
	// nil, it holds the top-ups by organisation instead.
	Budget  int64
	Budgets map[string]int64
	// EngineFlags and ServiceFlags hold further command-line flags for the stand-ins.
	EngineFlags  []string
	ServiceFlags []string
}

// Site is a running deployment of daemons and stand-ins.
type Site struct {
	*harness.Fleet
	opts SiteOptions
	// keys holds the API keys by caller name.
	keys map[string]string
}

// Start starts the daemons and the stand-ins, applies the configuration, tops up the budgets and
// waits until every host is ready and can use all upstreams.
func Start(ctx context.Context, opts SiteOptions) (*Site, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	fleet, err := harness.NewFleet(harness.FleetOptions{
		Bin: opts.Bin, Dir: opts.Dir, Subnet: opts.Subnet,
		Hosts: opts.Hosts, ControlHosts: opts.ControlHosts, Zones: opts.Deployment.Zones,
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

// configure applies all configuration records in one change and tops up the budgets.
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
	if err := os.WriteFile(path, data, fileMode); err != nil {
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

// TopUp adds tokens to the budget of an organisation. The operation ID makes it idempotent.
func (s *Site) TopUp(ctx context.Context, organisation string, tokens int64, operationID string) error {
	_, err := s.Ctl(ctx, s.Hosts[0], "budget", "top-up", organisation,
		"--tokens", fmt.Sprint(tokens), "--operation-id", operationID)
	return err
}

// records returns the configuration of the deployment, and generates a key for each caller.
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

// recordBuilder collects configuration records and the first error.
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

// Leader returns the host of the control group's leader, according to host.
func (s *Site) Leader(ctx context.Context, host *harness.Host) (*harness.Host, error) {
	out, err := s.Ctl(ctx, host, "replicas", "-o", "json")
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
	return nil, eris.Errorf("no host of the site is the leader: %s", out)
}

// Bills returns the request records of all organisations.
func (s *Site) Bills(ctx context.Context, host *harness.Host) ([]controlapi.RequestStatus, error) {
	var all []controlapi.RequestStatus
	for _, o := range s.opts.Deployment.Organisations {
		out, err := s.Ctl(ctx, host, "request", "list", "--organisation", o, "-o", "json")
		if err != nil {
			return nil, err
		}
		var reply controlapi.QueryReply
		if err := json.Unmarshal(out, &reply); err != nil {
			return nil, eris.Wrap(err, "decode requests")
		}
		if len(reply.Requests) >= maxListedRequests {
			return nil, eris.Errorf("the list of the requests of %s is truncated at %d", o, len(reply.Requests))
		}
		all = append(all, reply.Requests...)
	}
	return all, nil
}

// Budgets returns the state of all budgets.
func (s *Site) Budgets(ctx context.Context, host *harness.Host) ([]controlapi.BudgetStatus, error) {
	out, err := s.Ctl(ctx, host, "usage", "-o", "json")
	if err != nil {
		return nil, err
	}
	var reply controlapi.QueryReply
	err = json.Unmarshal(out, &reply)
	return reply.Budgets, eris.Wrap(err, "decode usage")
}

// AllGroundTruth returns the ground truth of all upstreams.
func (s *Site) AllGroundTruth(ctx context.Context) ([]fake.TruthRecord, error) {
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

// Key returns the API key of a caller.
func (s *Site) Key(caller string) string { return s.keys[caller] }
