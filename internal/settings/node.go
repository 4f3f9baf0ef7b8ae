package settings

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// NodeRole is the job of a host of a gateway fleet.
type NodeRole string

// The roles of a host of a gateway fleet.
const (
	// NodeGateway serves callers.
	NodeGateway NodeRole = "gateway"
	// NodeControl holds a replica of the control group and takes the reports of upstreams.
	NodeControl NodeRole = "control"
)

// Node are the settings of one host of a gateway fleet, in which the whole
// configuration is one document and budgets are granted to hosts.
type Node struct {
	// Host is the name of the host, unique in the fleet. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required.
	Zone string `json:"zone"`
	// Role is the job of the host. Required.
	Role NodeRole `json:"role"`
	// DataDir is the directory of the replica. Required with NodeControl.
	DataDir string `json:"data_dir,omitempty"`
	// Bootstrap lets the seeds found a new group on empty disks. Default: false.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// Seeds are control hosts that are known at the start, as IP:port; the port is
	// not used, since hosts reach each other at the port of Listen.Hosts. Required.
	Seeds []string `json:"seeds"`
	// Listen holds the addresses that the host serves.
	Listen NodeListen `json:"listen"`
	// MemoryMB is the memory that the process may use, in MB. Default: 128.
	MemoryMB int `json:"memory_mb"`
	// StopTimeout is the time from SIGTERM after which the process is killed. Default: 8s.
	StopTimeout Duration `json:"stop_timeout"`
	// Retries bounds the requests that go to a second upstream.
	Retries Retries `json:"retries"`
	// Log holds the settings of the log.
	Log Log `json:"log"`
}

// NodeListen holds the addresses of a host of a gateway fleet as IP:port.
type NodeListen struct {
	// Callers serves callers. Required with NodeGateway.
	Callers string `json:"callers,omitempty"`
	// Readiness serves the balancer's readiness check. Required with NodeGateway.
	Readiness string `json:"readiness,omitempty"`
	// Control serves operators and the reports of upstreams. Required with NodeControl.
	Control string `json:"control,omitempty"`
	// Hosts serves other hosts; all hosts use the same port. Required.
	Hosts string `json:"hosts"`
	// Metrics serves metrics and health. Default: none.
	Metrics string `json:"metrics,omitempty"`
}

// Retries bounds the requests of a service that are sent to a second upstream, by
// all hosts together: Ratio of the requests plus Slack within any Window.
type Retries struct {
	// Ratio is a part of the requests. Default: 0.1.
	Ratio float64 `json:"ratio"`
	// Slack is a number of requests. Default: 20.
	Slack int `json:"slack"`
	// Window is the time within which retries are counted. Default: 10s.
	Window Duration `json:"window"`
}

const (
	minNodeMemoryMB = 16
	maxNodeMemoryMB = 1 << 20
	minStopTimeout  = time.Second
	maxRetrySlack   = 1_000_000
)

// DefaultNode returns settings that hold all defaults and no required value.
func DefaultNode() *Node {
	return &Node{
		MemoryMB:    128,
		StopTimeout: Duration{8 * time.Second},
		Retries:     Retries{Ratio: 0.1, Slack: 20, Window: Duration{10 * time.Second}},
		Log:         Log{Level: "info"},
	}
}

// LoadNode reads and checks the settings file at path. A file with faults gives Faults.
func LoadNode(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseNode(data)
}

// ParseNode reads and checks settings. All faults are returned at once, as Faults.
func ParseNode(data []byte) (*Node, error) {
	n := DefaultNode()
	faults := decodeJSON(data, n)
	for _, f := range n.faults() {
		if !faults.covers(f.Path) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return n, nil
}

func (n *Node) faults() Faults {
	var c checker
	c.name("host", n.Host)
	c.name("zone", n.Zone)
	switch n.Role {
	case NodeGateway:
		c.address("listen.callers", n.Listen.Callers)
		c.address("listen.readiness", n.Listen.Readiness)
	case NodeControl:
		c.address("listen.control", n.Listen.Control)
		if n.DataDir == "" {
			c.fault("data_dir", "is required with the role %q", NodeControl)
		}
	default:
		c.fault("role", "%q is neither %q nor %q", n.Role, NodeGateway, NodeControl)
	}
	c.address("listen.hosts", n.Listen.Hosts)
	if n.Listen.Metrics != "" {
		c.address("listen.metrics", n.Listen.Metrics)
	}
	if len(n.Seeds) == 0 {
		c.fault("seeds", "is required")
	}
	for _, seed := range n.Seeds {
		c.address("seeds", seed)
	}
	c.number("memory_mb", int64(n.MemoryMB), minNodeMemoryMB, maxNodeMemoryMB)
	c.duration("stop_timeout", n.StopTimeout, minStopTimeout, maxDuration)
	if n.Retries.Ratio < 0 || n.Retries.Ratio > 1 {
		c.fault("retries.ratio", "must be from 0 to 1")
	}
	c.number("retries.slack", int64(n.Retries.Slack), 0, maxRetrySlack)
	c.duration("retries.window", n.Retries.Window, minTick, maxDuration)
	if !slices.Contains(levels, n.Log.Level) {
		c.fault("log.level", "%q is none of %q", n.Log.Level, levels)
	}
	return c.list
}
