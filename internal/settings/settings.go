// Package settings holds the settings of one host: the typed form of its JSON
// settings file, the defaults and the checks that run before a host starts.
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

// Role is a job that a host takes on.
type Role string

// The roles of a host.
const (
	// RoleEntry serves callers, announcements of upstreams and operators.
	RoleEntry Role = "entry"
	// RoleControl holds a replica of the control group; it needs a data directory.
	RoleControl Role = "control"
)

// Settings are the settings of one host.
type Settings struct {
	// Host is the name of the host, unique in the fleet. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required.
	Zone string `json:"zone"`
	// DataDir is the directory of all files of the host. Required with RoleControl.
	DataDir string `json:"data_dir,omitempty"`
	// Roles are the jobs of the host. Default: entry.
	Roles []Role `json:"roles"`
	// ReplicaID identifies the control replica of this host. It is required with
	// RoleControl, and is never used again after the loss of the replica's disk.
	ReplicaID uint64 `json:"replica_id,omitempty"`
	// Listen holds the addresses that the host serves.
	Listen Listen `json:"listen"`
	// Replicas are the control replicas that the host knows at start. Required.
	Replicas []Replica `json:"replicas"`
	// Bootstrap lets an empty data directory start a new control group of Replicas.
	// Without it an empty replica waits to be added as a learner. Default: false.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// TLS secures the connections between hosts. Required.
	TLS TLS `json:"tls"`
	// OperatorKeyHashes are the SHA-256 hashes of the operators' keys, in lower-case
	// hex. Default: none, which refuses all operators.
	OperatorKeyHashes []string `json:"operator_key_hashes,omitempty"`
	// ConfigLease is the time for which a host serves under a configuration that
	// the control group has confirmed. The session of a host ends when it has lapsed.
	// All control hosts have the same value. Default: 10s.
	ConfigLease Duration `json:"config_lease"`
	// Tick is the unit of ElectionTicks and HeartbeatTicks. Default: 50ms.
	Tick Duration `json:"tick"`
	// ElectionTicks is the number of ticks without a leader before an election. Default: 10.
	ElectionTicks int `json:"election_ticks"`
	// HeartbeatTicks is the number of ticks between heartbeats of a leader. Default: 2.
	HeartbeatTicks int `json:"heartbeat_ticks"`
	// SnapshotEntries is the number of log entries between snapshots. Default: 10000.
	SnapshotEntries int `json:"snapshot_entries"`
	// Limits bound the input of callers.
	Limits Limits `json:"limits"`
	// UpstreamTimeout is the time after its last announcement during which an
	// upstream gets new work. Default: 3s.
	UpstreamTimeout Duration `json:"upstream_timeout"`
	// DrainDelay is the time at a shutdown between failing the readiness check and
	// refusing new work, in which the balancer moves callers away. Default: 2s.
	DrainDelay Duration `json:"drain_delay"`
	// SchemaMax is the newest schema version of records that the host serves under,
	// at most that of the program. It holds the fleet back at an older version, so
	// that older programs can return. Default: 2.
	SchemaMax int `json:"schema_max"`
	// Orders bound the orders to upstreams.
	Orders Orders `json:"orders"`
	// Log holds the settings of the log.
	Log Log `json:"log"`
}

// Orders bound the orders to upstreams.
type Orders struct {
	// Lease bounds the time from the confirmation of a leadership to the arrival of
	// an order that it sends. A new leader waits as long before it gives orders to
	// upstreams that do not check fencing numbers. Default: 10s.
	Lease Duration `json:"lease"`
	// LoadInterval is the least time between the starts of two loads from the
	// weight store. Default: 1s.
	LoadInterval Duration `json:"load_interval"`
	// Loads bounds the loads in progress. Default: 2.
	Loads int `json:"loads"`
}

// Listen holds the addresses of a host as IP:port.
type Listen struct {
	// Callers serves callers and announcements of upstreams. Required with RoleEntry.
	Callers string `json:"callers,omitempty"`
	// Hosts serves other hosts, which reach the host by it. Required.
	Hosts string `json:"hosts"`
	// Operators serves the operators' API, metrics and health. Required.
	Operators string `json:"operators"`
}

// Replica is the address of a control replica.
type Replica struct {
	// ID is the replica id, from 1.
	ID uint64 `json:"id"`
	// Address is the Listen.Hosts address of the replica's host, as IP:port.
	Address string `json:"address"`
}

// TLS names the files of mutual TLS between hosts, or allows plaintext.
type TLS struct {
	// Plaintext turns TLS between hosts off. Default: false.
	Plaintext bool `json:"plaintext,omitempty"`
	// CAFile holds the certificates of the authority that signs host certificates, as PEM.
	CAFile string `json:"ca_file,omitempty"`
	// CertFile holds the certificate of this host, as PEM.
	CertFile string `json:"cert_file,omitempty"`
	// KeyFile holds the private key of CertFile, as PEM.
	KeyFile string `json:"key_file,omitempty"`
	// Operators serves operators by HTTPS with CertFile. Default: false.
	Operators bool `json:"operators,omitempty"`
}

// Limits bound the input of callers.
type Limits struct {
	// BodyBytes bounds a request body, in bytes. Default: 4194304.
	BodyBytes int64 `json:"body_bytes"`
	// HeaderBytes bounds the header of a request, in bytes. Default: 32768.
	HeaderBytes int `json:"header_bytes"`
	// IdempotencyKeyBytes bounds an idempotency key, in bytes. Default: 255.
	IdempotencyKeyBytes int `json:"idempotency_key_bytes"`
	// CallerConcurrency bounds the open requests of one caller whose record sets no
	// other bound. Default: 256.
	CallerConcurrency int `json:"caller_concurrency"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is the least severe level that is written: "debug", "info", "warning"
	// or "error". Default: "info".
	Level string `json:"level"`
}

// Default returns settings that hold all defaults and no required value.
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
		UpstreamTimeout: Duration{3 * time.Second},
		DrainDelay:      Duration{2 * time.Second},
		SchemaMax:       config.MaxSchema,
		Orders:          Orders{Lease: Duration{10 * time.Second}, LoadInterval: Duration{time.Second}, Loads: 2},
		Log:             Log{Level: "info"},
	}
}

// HasRole tells whether the host takes on role r.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// ReplicaAddresses returns the address of each replica by its id.
func (s *Settings) ReplicaAddresses() map[uint64]string {
	addresses := make(map[uint64]string, len(s.Replicas))
	for _, r := range s.Replicas {
		addresses[r.ID] = r.Address
	}
	return addresses
}

// Load reads and checks the settings file at path. A file with faults gives Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse reads and checks settings. All faults are returned at once, as Faults.
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

// Check returns Faults if s holds an impossible value, else nil.
func (s *Settings) Check() error {
	if faults := s.faults(); len(faults) > 0 {
		return faults
	}
	return nil
}

// Fault is one fault of a settings file.
type Fault struct {
	// Path names the field, such as "replicas[0].address"; it is empty for the whole file.
	Path string
	// Message says what is wrong.
	Message string
}

// String returns the path and the message.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return fmt.Sprintf("%s: %s", f.Path, f.Message)
}

// Faults are all faults of a settings file.
type Faults []Fault

// Error implements error, with a line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// covers tells whether path, or a field that holds it, has a fault already.
func (f Faults) covers(path string) bool {
	return slices.ContainsFunc(f, func(fault Fault) bool {
		rest, ok := strings.CutPrefix(path, fault.Path)
		return ok && (rest == "" || fault.Path == "" || rest[0] == '.' || rest[0] == '[')
	})
}
