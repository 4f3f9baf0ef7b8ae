package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/config"
)

// Limits on the settings.
const (
	maxReplicas            = 9
	maxDuration            = time.Hour
	minLease               = 100 * time.Millisecond
	minTick                = time.Millisecond
	maxTick                = 10 * time.Second
	minUpstreamTimeout     = 1500 * time.Millisecond
	maxTicks               = 10000
	maxSnapshotEntries     = 100_000_000
	maxBodyBytes           = 1 << 30
	minHeaderBytes         = 1 << 10
	maxHeaderBytes         = 1 << 20
	maxIdempotencyKeyBytes = 4 << 10
	maxConcurrency         = 1_000_000
	namePattern            = `^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`
	sha256HexLength        = 64
)

var (
	nameRegexp = regexp.MustCompile(namePattern)
	hashRegexp = regexp.MustCompile(fmt.Sprintf(`^[0-9a-f]{%d}$`, sha256HexLength))
	logLevels  = []string{"debug", "info", "warning", "error"}
)

// faults returns all faults of the values of s.
func (s *Settings) faults() Faults {
	var c checker
	c.checkName("host", s.Host)
	c.checkName("zone", s.Zone)
	c.checkRoles(s)
	c.checkListen(s)
	c.checkReplicas(s)
	c.checkTLS(s.TLS)
	c.checkOperatorKeys(s.OperatorKeyHashes)
	c.checkTimes(s)
	c.checkLimits(s.Limits)
	if s.MemoryMB != 0 {
		c.checkFraction("memory_mb", s.MemoryMB, minNodeMemoryMB, maxNodeMemoryMB)
	}
	c.checkClients(&s.Clients)
	c.checkNumber("schema_max", int64(s.SchemaMax), config.MinSchema, config.MaxSchema)
	c.checkDuration("orders.lease", s.Orders.Lease, minLease, maxDuration)
	c.checkDuration("orders.load_interval", s.Orders.LoadInterval, 0, maxDuration)
	c.checkNumber("orders.loads", int64(s.Orders.Loads), 1, maxConcurrency)
	if !slices.Contains(logLevels, s.Log.Level) {
		c.addFault("log.level", "%q is not one of %q", s.Log.Level, logLevels)
	}
	return c.faults
}

// checker collects the faults of values.
type checker struct {
	faults Faults
}

func (c *checker) addFault(path, format string, args ...any) {
	c.faults = append(c.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkName(path, value string) {
	if !nameRegexp.MatchString(value) {
		c.addFault(path, "%q is not a name of the form %s", value, namePattern)
	}
}

func (c *checker) checkRoles(s *Settings) {
	if len(s.Roles) == 0 {
		c.addFault("roles", "must contain at least one role")
	}
	for i, r := range s.Roles {
		path := fmt.Sprintf("roles[%d]", i)
		switch {
		case r != RoleEntry && r != RoleControl:
			c.addFault(path, "%q is neither %q nor %q", r, RoleEntry, RoleControl)
		case slices.Index(s.Roles, r) != i:
			c.addFault(path, "%q is repeated", r)
		}
	}
	control := s.HasRole(RoleControl)
	if control && s.DataDir == "" {
		c.addFault("data_dir", "is required with the role %q", RoleControl)
	}
	if !control && s.ReplicaID != 0 {
		c.addFault("replica_id", "is allowed only with the role %q", RoleControl)
	}
	if !control && s.Bootstrap {
		c.addFault("bootstrap", "is allowed only with the role %q", RoleControl)
	}
}

func (c *checker) checkListen(s *Settings) {
	if s.HasRole(RoleEntry) || s.Listen.Callers != "" {
		c.checkAddress("listen.callers", s.Listen.Callers)
	}
	hosts, ok := c.checkAddress("listen.hosts", s.Listen.Hosts)
	if ok && hosts.Addr().IsUnspecified() {
		c.addFault("listen.hosts", "must be an address at which other hosts reach this host, not %s", hosts.Addr())
	}
	c.checkAddress("listen.operators", s.Listen.Operators)
	c.checkDistinctListeners(s.Listen)
}

// checkDistinctListeners adds a fault for each listener that has the address and port
// of another one. Port 0 means any free port.
func (c *checker) checkDistinctListeners(l Listen) {
	pathByAddress := map[netip.AddrPort]string{}
	for _, item := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.hosts", l.Hosts}, {"listen.operators", l.Operators},
	} {
		address, err := netip.ParseAddrPort(item.address)
		if err != nil || address.Port() == 0 {
			continue
		}
		if other, taken := pathByAddress[address]; taken {
			c.addFault(item.path, "%s is already used by %s", address, other)
		}
		pathByAddress[address] = item.path
	}
}

func (c *checker) checkAddress(path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.addFault(path, "%q is no IP:port", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) checkReplicas(s *Settings) {
	if len(s.Replicas) == 0 || len(s.Replicas) > maxReplicas {
		c.addFault("replicas", "must contain 1 to %d replicas, not %d", maxReplicas, len(s.Replicas))
	}
	ids := map[uint64]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, r := range s.Replicas {
		path := fmt.Sprintf("replicas[%d]", i)
		if r.ID == 0 || ids[r.ID] {
			c.addFault(path+".id", "must be 1 or more and unique, not %d", r.ID)
		}
		ids[r.ID] = true
		address, ok := c.checkAddress(path+".address", r.Address)
		if !ok {
			continue
		}
		if address.Port() == 0 || address.Addr().IsUnspecified() || addresses[address] {
			c.addFault(path+".address", "must be a reachable and unique address, not %s", address)
		}
		addresses[address] = true
	}
	if s.HasRole(RoleControl) {
		c.checkOwnReplica(s)
	}
}

// checkOwnReplica checks that a control host listens at the address at which the other
// replicas dial its replica.
func (c *checker) checkOwnReplica(s *Settings) {
	if s.ReplicaID == 0 {
		c.addFault("replica_id", "is required with the role %q", RoleControl)
		return
	}
	own := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.ID == s.ReplicaID })
	if own < 0 {
		c.addFault("replica_id", "%d is not in replicas", s.ReplicaID)
		return
	}
	address, errAddress := netip.ParseAddrPort(s.Replicas[own].Address)
	listen, errListen := netip.ParseAddrPort(s.Listen.Hosts)
	if errAddress == nil && errListen == nil && address != listen {
		c.addFault("listen.hosts", "%s is not replicas[%d].address, %s", listen, own, address)
	}
}

func (c *checker) checkTLS(t TLS) {
	if t.Plaintext && t.Operators {
		c.addFault("tls.operators", "requires a certificate, which tls.plaintext excludes")
	}
	files := []struct{ path, value string }{
		{"tls.ca_file", t.CAFile}, {"tls.cert_file", t.CertFile}, {"tls.key_file", t.KeyFile},
	}
	for _, file := range files {
		switch {
		case t.Plaintext && file.value != "":
			c.addFault(file.path, "must not be set with tls.plaintext")
		case !t.Plaintext && file.value == "":
			c.addFault(file.path, "is required without tls.plaintext")
		}
	}
}

func (c *checker) checkOperatorKeys(hashes []string) {
	for i, hash := range hashes {
		path := fmt.Sprintf("operator_key_hashes[%d]", i)
		switch {
		case !hashRegexp.MatchString(hash):
			c.addFault(path, "is not a SHA-256 hash in %d lower-case hex digits", sha256HexLength)
		case slices.Index(hashes, hash) != i:
			c.addFault(path, "is repeated")
		}
	}
}

func (c *checker) checkTimes(s *Settings) {
	c.checkDuration("config_lease", s.ConfigLease, minLease, maxDuration)
	c.checkDuration("tick", s.Tick, minTick, maxTick)
	c.checkDuration("upstream_timeout", s.UpstreamTimeout, minUpstreamTimeout, maxDuration)
	c.checkDuration("drain_delay", s.DrainDelay, 0, maxDuration)
	c.checkNumber("heartbeat_ticks", int64(s.HeartbeatTicks), 1, maxTicks)
	c.checkNumber("election_ticks", int64(s.ElectionTicks), 1, maxTicks)
	if s.ElectionTicks <= s.HeartbeatTicks {
		c.addFault("election_ticks", "must exceed heartbeat_ticks, %d", s.HeartbeatTicks)
	}
	c.checkNumber("snapshot_entries", int64(s.SnapshotEntries), 1, maxSnapshotEntries)
}

func (c *checker) checkLimits(l Limits) {
	c.checkNumber("limits.body_bytes", l.BodyBytes, 1, maxBodyBytes)
	c.checkNumber("limits.header_bytes", int64(l.HeaderBytes), minHeaderBytes, maxHeaderBytes)
	c.checkNumber("limits.idempotency_key_bytes", int64(l.IdempotencyKeyBytes), 1, maxIdempotencyKeyBytes)
	c.checkNumber("limits.caller_concurrency", int64(l.CallerConcurrency), 1, maxConcurrency)
}

func (c *checker) checkDuration(path string, d Duration, low, high time.Duration) {
	if d.Duration < low || d.Duration > high {
		c.addFault(path, "must be from %s to %s, not %s", low, high, d.Duration)
	}
}

func (c *checker) checkNumber(path string, n, low, high int64) {
	if n < low || n > high {
		c.addFault(path, "must be from %d to %d, not %d", low, high, n)
	}
}

func (c *checker) checkFraction(path string, n, low, high float64) {
	if n < low || n > high {
		c.addFault(path, "must be from %v to %v, not %v", low, high, n)
	}
}
