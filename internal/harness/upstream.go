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

// Upstream is one stand-in process, which may hold several replicas of a service.
type Upstream struct {
	*Process
	// Addresses are those of its replicas, as IP:port.
	Addresses []string
	truthPath string
}

// UpstreamOptions describe a stand-in.
type UpstreamOptions struct {
	// Kind is "engine" or "service".
	Kind string
	ID   string
	Zone string
	// Replicas is the number of replicas in the process; only services may have more than one.
	Replicas int
	// Flags are further flags of the kind.
	Flags []string
}

// StartUpstream starts a stand-in that announces itself to all hosts.
func (f *Fleet) StartUpstream(opts UpstreamOptions) (*Upstream, error) {
	ip := fmt.Sprintf("%s.%d", f.opts.Subnet, firstUpstreamNumber+len(f.Upstreams))
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

// Truth returns the ground truth of all replicas of u, also if u has ended.
func (f *Fleet) Truth(ctx context.Context, u *Upstream) ([]fake.TruthRecord, error) {
	if !u.Running() {
		return u.truthFile()
	}
	var all []fake.TruthRecord
	for _, address := range u.Addresses {
		_, body, err := f.get(ctx, "http://"+address+fake.PathTruth)
		if err != nil {
			return nil, err
		}
		var report fake.TruthReport
		if err := json.Unmarshal(body, &report); err != nil {
			return nil, eris.Wrap(err, "decode the ground truth")
		}
		all = append(all, report.Records...)
	}
	return all, nil
}

// truthFile returns the ground truth that u has written to its file.
func (u *Upstream) truthFile() ([]fake.TruthRecord, error) {
	file, err := os.Open(u.truthPath)
	if err != nil {
		return nil, eris.Wrap(err, "open the ground truth")
	}
	defer file.Close()
	var all []fake.TruthRecord
	decoder := json.NewDecoder(file)
	for decoder.More() {
		var r fake.TruthRecord
		if err := decoder.Decode(&r); err != nil {
			return nil, eris.Wrap(err, "decode the ground truth")
		}
		all = append(all, r)
	}
	return all, nil
}

// SetFaults replaces the faults of all replicas of u.
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

// get returns the status and body of a GET of url.
func (f *Fleet) get(ctx context.Context, url string) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, eris.Wrap(err, "get")
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return 0, nil, eris.Wrap(err, "get")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, eris.Wrap(err, "get")
}
