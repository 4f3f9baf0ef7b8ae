package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/config"
)

// Bounds of the settings.
const (
	maxReplicas     = 9
	maxDuration     = time.Hour
	minLease        = 100 * time.Millisecond
	minTick         = time.Millisecond
	maxTick         = 10 * time.Second
	minUpstream     = 1500 * time.Millisecond
	maxTicks        = 10000
	maxSnapshot     = 100_000_000
	maxBodyBytes    = 1 << 30
	minHeaderBytes  = 1 << 10
	maxHeaderBytes  = 1 << 20
	maxKeyBytes     = 4 << 10
	maxConcurrency  = 1_000_000
	namePattern     = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`
	sha256HexLength = 64
)

var (
	nameForm = regexp.MustCompile(namePattern)
	hashForm = regexp.MustCompile(fmt.Sprintf(`^[0-9a-f]{%d}$`, sha256HexLength))
	levels   = []string{"debug", "info", "warning", "error"}
)

// faults returns all impossible values of s.
func (s *Settings) faults() Faults {
	var c checker
	c.name("host", s.Host)
	c.name("zone", s.Zone)
	c.roles(s)
	c.listen(s)
	c.replicas(s)
	c.tls(s.TLS)
	c.operatorKeys(s.OperatorKeyHashes)
	c.times(s)
	c.limits(s.Limits)
	c.number("schema_max", int64(s.SchemaMax), config.MinSchema, config.MaxSchema)
	c.duration("orders.lease", s.Orders.Lease, minLease, maxDuration)
	c.duration("orders.load_interval", s.Orders.LoadInterval, 0, maxDuration)
	c.number("orders.loads", int64(s.Orders.Loads), 1, maxConcurrency)
	if !slices.Contains(levels, s.Log.Level) {
		c.fault("log.level", "%q is none of %q", s.Log.Level, levels)
	}
	return c.list
}

// checker collects faults of value.
type checker struct {
	list Faults
}

func (c *checker) fault(path, format string, args ...any) {
	c.list = append(c.list, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, value string) {
	if !nameForm.MatchString(value) {
		c.fault(path, "%q is no name of the form %s", value, namePattern)
	}
}

func (c *checker) roles(s *Settings) {
	if len(s.Roles) == 0 {
		c.fault("roles", "must hold a role")
	}
	for i, r := range s.Roles {
		path := fmt.Sprintf("roles[%d]", i)
		switch {
		case r != RoleEntry && r != RoleControl:
			c.fault(path, "%q is neither %q nor %q", r, RoleEntry, RoleControl)
		case slices.Index(s.Roles, r) != i:
			c.fault(path, "%q is repeated", r)
		}
	}
	control := s.HasRole(RoleControl)
	if control && s.DataDir == "" {
		c.fault("data_dir", "is required with the role %q", RoleControl)
	}
	if !control && s.ReplicaID != 0 {
		c.fault("replica_id", "is only for the role %q", RoleControl)
	}
	if !control && s.Bootstrap {
		c.fault("bootstrap", "is only for the role %q", RoleControl)
	}
}

func (c *checker) listen(s *Settings) {
	if s.HasRole(RoleEntry) || s.Listen.Callers != "" {
		c.address("listen.callers", s.Listen.Callers)
	}
	hosts, ok := c.address("listen.hosts", s.Listen.Hosts)
	if ok && hosts.Addr().IsUnspecified() {
		c.fault("listen.hosts", "must be an address by which other hosts reach this one, not %s", hosts.Addr())
	}
	c.address("listen.operators", s.Listen.Operators)
	c.distinctPorts(s.Listen)
}

// distinctPorts refuses two listeners on one address and port; port 0 takes any free one.
func (c *checker) distinctPorts(l Listen) {
	users := map[netip.AddrPort]string{}
	for _, item := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.hosts", l.Hosts}, {"listen.operators", l.Operators},
	} {
		address, err := netip.ParseAddrPort(item.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, taken := users[address]; taken {
			c.fault(item.path, "%s is also %s", address, other)
		}
		users[address] = item.path
	}
}

func (c *checker) address(path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fault(path, "%q is no IP:port", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) replicas(s *Settings) {
	if len(s.Replicas) == 0 || len(s.Replicas) > maxReplicas {
		c.fault("replicas", "must hold 1 to %d replicas, not %d", maxReplicas, len(s.Replicas))
	}
	ids := map[uint64]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, r := range s.Replicas {
		path := fmt.Sprintf("replicas[%d]", i)
		if r.ID == 0 || ids[r.ID] {
			c.fault(path+".id", "must be 1 or more and unique, not %d", r.ID)
		}
		ids[r.ID] = true
		address, ok := c.address(path+".address", r.Address)
		if !ok {
			continue
		}
		if address.Port() == 0 || address.Addr().IsUnspecified() || addresses[address] {
			c.fault(path+".address", "must be reachable and unique, not %s", address)
		}
		addresses[address] = true
	}
	if s.HasRole(RoleControl) {
		c.ownReplica(s)
	}
}

// ownReplica checks that a control host is the replica that the others will dial.
func (c *checker) ownReplica(s *Settings) {
	if s.ReplicaID == 0 {
		c.fault("replica_id", "is required with the role %q", RoleControl)
		return
	}
	own := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.ID == s.ReplicaID })
	if own < 0 {
		c.fault("replica_id", "%d is not in replicas", s.ReplicaID)
		return
	}
	address, errAddress := netip.ParseAddrPort(s.Replicas[own].Address)
	listen, errListen := netip.ParseAddrPort(s.Listen.Hosts)
	if errAddress == nil && errListen == nil && address != listen {
		c.fault("listen.hosts", "%s is not replicas[%d].address, %s", listen, own, address)
	}
}

func (c *checker) tls(t TLS) {
	if t.Plaintext && t.Operators {
		c.fault("tls.operators", "needs a certificate, so it excludes tls.plaintext")
	}
	files := []struct{ path, value string }{
		{"tls.ca_file", t.CAFile}, {"tls.cert_file", t.CertFile}, {"tls.key_file", t.KeyFile},
	}
	for _, file := range files {
		switch {
		case t.Plaintext && file.value != "":
			c.fault(file.path, "must be absent with tls.plaintext")
		case !t.Plaintext && file.value == "":
			c.fault(file.path, "is required without tls.plaintext")
		}
	}
}

func (c *checker) operatorKeys(hashes []string) {
	for i, hash := range hashes {
		path := fmt.Sprintf("operator_key_hashes[%d]", i)
		switch {
		case !hashForm.MatchString(hash):
			c.fault(path, "is no SHA-256 hash in %d lower-case hex digits", sha256HexLength)
		case slices.Index(hashes, hash) != i:
			c.fault(path, "is repeated")
		}
	}
}

func (c *checker) times(s *Settings) {
	c.duration("config_lease", s.ConfigLease, minLease, maxDuration)
	c.duration("tick", s.Tick, minTick, maxTick)
	c.duration("upstream_timeout", s.UpstreamTimeout, minUpstream, maxDuration)
	c.duration("drain_delay", s.DrainDelay, 0, maxDuration)
	c.number("heartbeat_ticks", int64(s.HeartbeatTicks), 1, maxTicks)
	c.number("election_ticks", int64(s.ElectionTicks), 1, maxTicks)
	if s.ElectionTicks <= s.HeartbeatTicks {
		c.fault("election_ticks", "must exceed heartbeat_ticks, %d", s.HeartbeatTicks)
	}
	c.number("snapshot_entries", int64(s.SnapshotEntries), 1, maxSnapshot)
}

func (c *checker) limits(l Limits) {
	c.number("limits.body_bytes", l.BodyBytes, 1, maxBodyBytes)
	c.number("limits.header_bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.number("limits.idempotency_key_bytes", int64(l.IdempotencyKeyBytes), 1, maxKeyBytes)
	c.number("limits.caller_concurrency", int64(l.CallerConcurrency), 1, maxConcurrency)
}

func (c *checker) duration(path string, d Duration, low, high time.Duration) {
	if d.Duration < low || d.Duration > high {
		c.fault(path, "must be from %s to %s, not %s", low, high, d.Duration)
	}
}

func (c *checker) number(path string, n, low, high int64) {
	if n < low || n > high {
		c.fault(path, "must be from %d to %d, not %d", low, high, n)
	}
}
