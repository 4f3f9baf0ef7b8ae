package settings

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// NodeRole is the role of a host of a gateway fleet.
type NodeRole string

// The roles of a host of a gateway fleet.
const (
	// NodeGateway serves callers.
	NodeGateway NodeRole = "gateway"
	// NodeControl runs a replica of the control group and receives the reports of
	// upstreams.
	NodeControl NodeRole = "control"
)

// Node holds the settings of a host of a gateway fleet, in which the whole
// configuration is one document and budgets are granted to hosts.
type Node struct {
	// Host is the name of the host, unique in the fleet. Required.
	Host string `json:"host"`
	// Zone is the availability zone of the host. Required.
	Zone string `json:"zone"`
	// Role is the role of the host. Required.
	Role NodeRole `json:"role"`
	// DataDir is the data directory of the replica. Required with NodeControl.
	DataDir string `json:"data_dir,omitempty"`
	// Bootstrap lets the seeds create a new control group if their data directories are
	// empty. Default: false.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// BootClocks lets the control group measure by boot-time clocks only for how long a terminated gateway may have spent
	// without reporting it. There is no way back. Default: false.
	BootClocks bool `json:"boot_clocks,omitempty"`
	// ClockAgreement lets the control group use wall clocks for that only where no boot-time clock measures it and the wall clocks
	// of the gateway and of the control hosts agree. There is no way back. BootClocks overrides it. Default: true.
	ClockAgreement bool `json:"clock_agreement"`
	// Seeds are the initially known control hosts, as IP:port. The port is ignored:
	// hosts reach each other at the port of Listen.Hosts. Required.
	Seeds []string `json:"seeds"`
	// Listen holds the addresses at which the host listens.
	Listen NodeListen `json:"listen"`
	// MemoryMB is the memory limit of the process, in MB. Default: 128.
	MemoryMB float64 `json:"memory_mb"`
	// Clients bounds what clients hold together.
	Clients Clients `json:"clients"`
	// StopTimeout is the time after SIGTERM at which the process is killed. Default: 8s.
	StopTimeout Duration `json:"stop_timeout"`
	// Retries limits the requests that are sent to a second upstream.
	Retries Retries `json:"retries"`
	// WarmUp limits the requests to upstreams that are cold.
	WarmUp WarmUp `json:"warm_up"`
	// Link holds what the host does while its link is congested.
	Link Link `json:"link"`
	// Admission holds what decides which requests are served when capacity is short.
	Admission NodeAdmission `json:"admission"`
	// Log holds the log settings.
	Log Log `json:"log"`
}

// Link holds what a gateway does while its own link is congested.
type Link struct {
	// MaxDelay is the queueing delay of the link above which new connections of callers are
	// refused. Default: 0s, which refuses none.
	MaxDelay Duration `json:"max_delay"`
}

// NodeAdmission holds what decides which requests a gateway serves when capacity is short.
type NodeAdmission struct {
	// Order is the order in which requests are preferred. Default: OrderByRank.
	Order AdmissionOrder `json:"order"`
}

// AdmissionOrder is an order in which requests are preferred when capacity is short.
type AdmissionOrder string

// The values of AdmissionOrder.
const (
	// OrderByRank prefers requests by rank. Requests that find no capacity are refused at once.
	OrderByRank AdmissionOrder = "rank"
	// OrderByValue prefers requests by rank, deadline and work. Those of plain services may wait.
	OrderByValue AdmissionOrder = "value"
)

// NodeListen holds the addresses of a host of a gateway fleet as IP:port.
type NodeListen struct {
	// Callers is the address for callers. Required with NodeGateway.
	Callers string `json:"callers,omitempty"`
	// Readiness is the address for the load balancer's readiness check. Required with
	// NodeGateway.
	Readiness string `json:"readiness,omitempty"`
	// Control is the address for operators and the reports of upstreams. Required with
	// NodeControl.
	Control string `json:"control,omitempty"`
	// Hosts is the address for other hosts; its port must be the same on all hosts.
	// Required.
	Hosts string `json:"hosts"`
	// HostsBind is the address at which a control host accepts connections to Hosts, if a proxy stands in
	// between. Default: Hosts.
	HostsBind string `json:"hosts_bind,omitempty"`
	// Metrics is the address for metrics and health checks. Default: none.
	Metrics string `json:"metrics,omitempty"`
}

// Retries limits the requests of a service that all hosts together send to a second
// upstream: within any Window at most Ratio times the requests plus Slack.
type Retries struct {
	// Ratio is the ratio of retries to requests, from 0 to 1. Default: 0.1.
	Ratio float64 `json:"ratio"`
	// Slack is the number of retries allowed in addition to Ratio. It may be a fraction,
	// as it is shared among the hosts. Default: 20.
	Slack float64 `json:"slack"`
	// Window is the length of the sliding window over which retries are counted.
	// Default: 10s.
	Window Duration `json:"window"`
}

// WarmUp limits the requests that all hosts together send to an upstream that is cold.
type WarmUp struct {
	// Burst is the number of requests that a cold upstream takes in any second beyond 1.5 times
	// the rate of its service. It also bounds the number of hosts that share the rate. It may be
	// a fraction. Default: 3.
	Burst float64 `json:"burst"`
}

const (
	minNodeMemoryMB = 16
	maxNodeMemoryMB = 1 << 20
	minStopTimeout  = time.Second
	maxRetrySlack   = 1_000_000
	maxWarmUpBurst  = 1_000_000
	minLinkDelay    = time.Millisecond
	maxLinkDelay    = 10 * time.Second
)

// DefaultNode returns the default settings. Required values are not set.
func DefaultNode() *Node {
	return &Node{
		ClockAgreement: true,
		MemoryMB:       128,
		Clients:        defaultClients(),
		StopTimeout:    Duration{8 * time.Second},
		Retries:        Retries{Ratio: 0.1, Slack: 20, Window: Duration{10 * time.Second}},
		WarmUp:         WarmUp{Burst: 3},
		Admission:      NodeAdmission{Order: OrderByRank},
		Log:            Log{Level: "info"},
	}
}

// LoadNode reads and validates the settings file at path. It returns Faults if the file
// has faults.
func LoadNode(path string) (*Node, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return ParseNode(data)
}

// ParseNode parses and validates settings. It returns all faults, as Faults.
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
	c.checkName("host", n.Host)
	c.checkName("zone", n.Zone)
	switch n.Role {
	case NodeGateway:
		c.checkAddress("listen.callers", n.Listen.Callers)
		c.checkAddress("listen.readiness", n.Listen.Readiness)
	case NodeControl:
		c.checkAddress("listen.control", n.Listen.Control)
		if n.DataDir == "" {
			c.addFault("data_dir", "is required with the role %q", NodeControl)
		}
	default:
		c.addFault("role", "%q is neither %q nor %q", n.Role, NodeGateway, NodeControl)
	}
	c.checkAddress("listen.hosts", n.Listen.Hosts)
	if n.Listen.HostsBind != "" {
		c.checkAddress("listen.hosts_bind", n.Listen.HostsBind)
	}
	if n.Listen.Metrics != "" {
		c.checkAddress("listen.metrics", n.Listen.Metrics)
	}
	if len(n.Seeds) == 0 {
		c.addFault("seeds", "is required")
	}
	for _, seed := range n.Seeds {
		c.checkAddress("seeds", seed)
	}
	c.checkFraction("memory_mb", n.MemoryMB, minNodeMemoryMB, maxNodeMemoryMB)
	c.checkClients(&n.Clients)
	c.checkDuration("stop_timeout", n.StopTimeout, minStopTimeout, maxDuration)
	c.checkFraction("retries.ratio", n.Retries.Ratio, 0, 1)
	c.checkFraction("retries.slack", n.Retries.Slack, 0, maxRetrySlack)
	c.checkDuration("retries.window", n.Retries.Window, minTick, maxDuration)
	c.checkFraction("warm_up.burst", n.WarmUp.Burst, 0, maxWarmUpBurst)
	if n.Link.MaxDelay.Duration != 0 {
		c.checkDuration("link.max_delay", n.Link.MaxDelay, minLinkDelay, maxLinkDelay)
	}
	if o := n.Admission.Order; o != OrderByRank && o != OrderByValue {
		c.addFault("admission.order", "%q is neither %q nor %q", o, OrderByRank, OrderByValue)
	}
	if !slices.Contains(logLevels, n.Log.Level) {
		c.addFault("log.level", "%q is not one of %q", n.Log.Level, logLevels)
	}
	return c.faults
}
