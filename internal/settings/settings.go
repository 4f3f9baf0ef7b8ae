// Package settings defines the settings of a host: the typed form of its JSON settings
// file, the defaults, and the validation before the host starts.
package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/config"
)

// Role is a role of a host.
type Role string

// The roles of a host.
const (
	// RoleEntry serves callers, announcements of upstreams and operators.
	RoleEntry Role = "entry"
	// RoleControl runs a replica of the control group; it requires a data directory.
	RoleControl Role = "control"
)

// Settings holds the settings of a host.
type Settings struct {
	// Host is the name of the host, unique in the fleet. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required.
	Zone string `json:"zone"`
	// DataDir is the data directory, which holds all files of the host. Required with
	// RoleControl.
	DataDir string `json:"data_dir,omitempty"`
	// Roles are the roles of the host. Default: entry.
	Roles []Role `json:"roles"`
	// ReplicaID identifies the control replica of this host. It must not be reused
	// after the loss of the replica's disk. Required with RoleControl.
	ReplicaID uint64 `json:"replica_id,omitempty"`
	// Listen holds the addresses at which the host listens.
	Listen Listen `json:"listen"`
	// Replicas are the initially known control replicas. Required.
	Replicas []Replica `json:"replicas"`
	// Bootstrap lets a replica with an empty data directory create a new control group
	// of Replicas. Otherwise it waits to be added as a learner. Default: false.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// TLS configures TLS between hosts. Required.
	TLS TLS `json:"tls"`
	// OperatorKeyHashes are the SHA-256 hashes of the operators' keys, in lower-case
	// hex. Default: none, so that all operators are refused.
	OperatorKeyHashes []string `json:"operator_key_hashes,omitempty"`
	// ConfigLease is the time for which a host serves under a configuration after the
	// control group has confirmed it. The session of a host ends when the lease lapses.
	// The value must be the same on all control hosts. Default: 10s.
	ConfigLease Duration `json:"config_lease"`
	// Tick is the unit of ElectionTicks and HeartbeatTicks. Default: 50ms.
	Tick Duration `json:"tick"`
	// ElectionTicks is the number of ticks without a leader before an election. Default: 10.
	ElectionTicks int `json:"election_ticks"`
	// HeartbeatTicks is the number of ticks between heartbeats of the leader. Default: 2.
	HeartbeatTicks int `json:"heartbeat_ticks"`
	// SnapshotEntries is the number of log entries between snapshots. Default: 10000.
	SnapshotEntries int `json:"snapshot_entries"`
	// Limits are the limits on requests of callers.
	Limits Limits `json:"limits"`
	// MemoryMB is the memory of the host, in MB. Default: 0, which is the limit of the Go runtime if GOMEMLIMIT sets one, and
	// otherwise half of the machine's memory.
	MemoryMB float64 `json:"memory_mb"`
	// Clients bounds what clients hold together.
	Clients Clients `json:"clients"`
	// UpstreamTimeout is the time after its last announcement for which an upstream
	// receives requests. Default: 3s.
	UpstreamTimeout Duration `json:"upstream_timeout"`
	// DrainDelay is the time at shutdown between failing the readiness check and
	// refusing requests, in which the load balancer moves callers to other hosts.
	// Default: 2s.
	DrainDelay Duration `json:"drain_delay"`
	// SchemaMax is the newest schema version of records that the host supports, at most
	// that of the program. A lower value keeps the fleet at an older version, so that a
	// rollback to older programs remains possible. Default: 2.
	SchemaMax int `json:"schema_max"`
	// Orders holds the limits on orders to upstreams.
	Orders Orders `json:"orders"`
	// Log holds the log settings.
	Log Log `json:"log"`
}

// Orders holds the limits on orders to upstreams.
type Orders struct {
	// Lease is the maximum time from the confirmation of a leadership to the arrival of
	// an order that the leader sends under it. A new leader waits for this time before
	// it sends orders to upstreams that do not check fencing numbers. Default: 10s.
	Lease Duration `json:"lease"`
	// LoadInterval is the minimum time between the starts of two loads from the weight
	// store. Default: 1s.
	LoadInterval Duration `json:"load_interval"`
	// Loads is the maximum number of concurrent loads. Default: 2.
	Loads int `json:"loads"`
}

// Listen holds the listen addresses of a host, as IP:port.
type Listen struct {
	// Callers is the address for callers and announcements of upstreams. Required with
	// RoleEntry.
	Callers string `json:"callers,omitempty"`
	// Hosts is the address for other hosts, at which they reach this host. Required.
	Hosts string `json:"hosts"`
	// Operators is the address for the operators' API, metrics and health checks.
	// Required.
	Operators string `json:"operators"`
}

// Replica is the address of a control replica.
type Replica struct {
	// ID is the replica id, from 1.
	ID uint64 `json:"id"`
	// Address is the Listen.Hosts address of the replica's host, as IP:port.
	Address string `json:"address"`
}

// TLS holds the files for mutual TLS between hosts, or disables it.
type TLS struct {
	// Plaintext disables TLS between hosts. Default: false.
	Plaintext bool `json:"plaintext,omitempty"`
	// CAFile is the path of the certificates of the authority that signs host
	// certificates, in PEM format.
	CAFile string `json:"ca_file,omitempty"`
	// CertFile is the path of the certificate of this host, in PEM format.
	CertFile string `json:"cert_file,omitempty"`
	// KeyFile is the path of the private key of CertFile, in PEM format.
	KeyFile string `json:"key_file,omitempty"`
	// Operators serves operators over HTTPS with CertFile. Default: false.
	Operators bool `json:"operators,omitempty"`
}

// Limits holds the limits on requests of callers.
type Limits struct {
	// BodyBytes is the maximum length of a request body, in bytes. Default: 4194304.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderBytes is the maximum length of a request header, in bytes. Default: 32768.
	HeaderBytes int `json:"header_bytes"`
	// IdempotencyKeyBytes is the maximum length of an idempotency key, in bytes.
	// Default: 255.
	IdempotencyKeyBytes int `json:"idempotency_key_bytes"`
	// CallerConcurrency is the maximum number of in-flight requests of a caller whose
	// record sets no limit. Default: 256.
	CallerConcurrency int `json:"caller_concurrency"`
}

// Log holds the log settings.
type Log struct {
	// Level is the minimum severity of logged messages: "debug", "info", "warning" or
	// "error". Default: "info".
	Level string `json:"level"`
}

// Default returns the default settings. Required values are not set.
func Default() *Settings {
	return &Settings{
		Roles:           []Role{RoleEntry},
		ConfigLease:     Duration{10 * time.Second},
		Tick:            Duration{50 * time.Millisecond},
		ElectionTicks:   10,
		HeartbeatTicks:  2,
		SnapshotEntries: 10000,
		Limits: Limits{
			BodyBytes:           4 << 20,
			HeaderBytes:         32 << 10,
			IdempotencyKeyBytes: 255,
			CallerConcurrency:   256,
		},
		Clients:         defaultClients(),
		UpstreamTimeout: Duration{3 * time.Second},
		DrainDelay:      Duration{2 * time.Second},
		SchemaMax:       config.MaxSchema,
		Orders:          Orders{Lease: Duration{10 * time.Second}, LoadInterval: Duration{time.Second}, Loads: 2},
		Log:             Log{Level: "info"},
	}
}

// HasRole reports whether the host has role r.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// ReplicaAddresses returns the addresses of the replicas by replica id.
func (s *Settings) ReplicaAddresses() map[uint64]string {
	addresses := make(map[uint64]string, len(s.Replicas))
	for _, r := range s.Replicas {
		addresses[r.ID] = r.Address
	}
	return addresses
}

// Load reads and validates the settings file at path. It returns Faults if the file has
// faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse parses and validates settings. It returns all faults, as Faults.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	faults := decodeJSON(data, s)
	for _, f := range s.faults() {
		if !faults.covers(f.Path) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Check returns Faults if s has an invalid value, and nil otherwise.
func (s *Settings) Check() error {
	if faults := s.faults(); len(faults) > 0 {
		return faults
	}
	return nil
}

// Fault is a validation error of a settings file.
type Fault struct {
	// Path is the path of the field, such as "replicas[0].address". It is empty if the
	// fault concerns the whole file.
	Path string
	// Message describes the fault.
	Message string
}

// String returns the fault as "path: message".
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return fmt.Sprintf("%s: %s", f.Path, f.Message)
}

// Faults holds all faults of a settings file.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// covers reports whether f contains a fault of the field at path or of a field that
// contains it.
func (f Faults) covers(path string) bool {
	return slices.ContainsFunc(f, func(fault Fault) bool {
		rest, ok := strings.CutPrefix(path, fault.Path)
		return ok && (rest == "" || fault.Path == "" || rest[0] == '.' || rest[0] == '[')
	})
}
