package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/fake"
)

// Upstream is one stand-in process, which may run several replicas of a service.
type Upstream struct {
	*Process
	// Addresses holds the addresses of the replicas, as IP:port.
	Addresses []string
	truthPath string
}

// UpstreamOptions configures a stand-in.
type UpstreamOptions struct {
	// Kind is "engine" or "service".
	Kind string
	ID   string
	Zone string
	// Replicas is the number of replicas in the process. Only a service may have more than
	// one.
	Replicas int
	// Flags holds further command-line flags for this kind of stand-in.
	Flags []string
}

// StartUpstream starts a stand-in that announces its replicas to all hosts.
func (f *Fleet) StartUpstream(opts UpstreamOptions) (*Upstream, error) {
	ip := fmt.Sprintf("%s.%d", f.opts.Subnet, firstUpstreamOctet+len(f.Upstreams))
	addresses, err := freeAddresses(ip, max(opts.Replicas, 1))
	if err != nil {
		return nil, err
	}
	truthPath := filepath.Join(f.opts.Dir, opts.ID+".truth")
	args := []string{opts.Kind, "--id", opts.ID, "--zone", opts.Zone, "--truth-file", truthPath}
	for _, address := range addresses {
		args = append(args, "--listen", address)
	}
	for _, h := range f.Hosts {
		args = append(args, "--announce", h.CallersURL())
	}
	args = append(args, opts.Flags...)
	p, err := Start(opts.ID, f.opts.Dir, filepath.Join(f.opts.Bin, "godwitbend-standin"), args...)
	if err != nil {
		return nil, err
	}
	u := &Upstream{Process: p, Addresses: addresses, truthPath: truthPath}
	f.Upstreams = append(f.Upstreams, u)
	return u, nil
}

// GroundTruth returns the ground truth of all replicas of u. If u has terminated, it is read from
// the file of u.
func (f *Fleet) GroundTruth(ctx context.Context, u *Upstream) ([]fake.TruthRecord, error) {
	if !u.Running() {
		return u.readTruthFile()
	}
	var all []fake.TruthRecord
	for _, address := range u.Addresses {
		_, body, err := f.get(ctx, "http://"+address+fake.PathTruth)
		if err != nil {
			return nil, err
		}
		var report fake.TruthReport
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, eris.Wrap(err, "decode ground truth")
		}
		all = append(all, report.Records...)
	}
	return all, nil
}

// readTruthFile returns the ground truth in the file of u.
func (u *Upstream) readTruthFile() ([]fake.TruthRecord, error) {
	file, err := os.Open(u.truthPath)
	if err != nil {
		return nil, eris.Wrap(err, "open ground truth")
	}
	defer file.Close()
	var all []fake.TruthRecord
	decoder := json.NewDecoder(file)
	for decoder.More() {
		var r fake.TruthRecord
		if err := decoder.Decode(&r); err != nil {
			return nil, eris.Wrap(err, "decode ground truth")
		}
		all = append(all, r)
	}
	return all, nil
}

// SetFaults replaces the injected faults of all replicas of u.
func (f *Fleet) SetFaults(ctx context.Context, u *Upstream, faults fake.Faults) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode faults")
	}
	for _, address := range u.Addresses {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+fake.PathFaults, bytes.NewReader(body))
		if err != nil {
			return eris.Wrap(err, "set faults")
		}
		resp, err := f.http.Do(req)
		if err != nil {
			return eris.Wrap(err, "set faults")
		}
		_ = resp.Body.Close()
	}
	return nil
}

// get sends a GET request and returns the status and the body.
func (f *Fleet) get(ctx context.Context, url string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "create request")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, nil, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, eris.Wrap(err, "read response")
}
