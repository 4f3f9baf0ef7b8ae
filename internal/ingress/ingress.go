// Package ingress bounds what the clients of a process hold together: connections, the heads and bodies of requests, and
// messages of other hosts. All addresses that the process listens on share one budget, in which each class of clients has a
// guaranteed part. Whoever holds memory that others need and makes no progress yields first; then organisations and addresses
// that hold more than their share.
package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// Class is a kind of clients, by the address that they connect to.
type Class uint8

// The classes of clients.
const (
	// Callers send requests that upstreams run.
	Callers Class = iota
	// Operators send changes, and upstreams send reports.
	Operators
	// Probes read readiness and metrics.
	Probes
	// Hosts are other hosts of the fleet.
	Hosts
	classes
)

// String returns the class as used in metrics and logs.
func (c Class) String() string { return [...]string{"callers", "operators", "probes", "hosts"}[c] }

// share is a part of a budget, 1 in 32.
type share int64

const shareUnit = 32

func (s share) of(n int64) int64 { return n * int64(s) / shareUnit }

// guaranteed is the part of the budget that each class can always use, and maximum the largest that it may use.
var (
	guaranteed = [classes]share{Callers: 8, Operators: 8, Probes: 1, Hosts: 4}
	maximum    = [classes]share{Callers: 32, Operators: 32, Probes: 4, Hosts: 16}
)

const (
	// DefaultReceiveBuffer is the size of the receive buffer of a connection on which a large body or message is sent.
	DefaultReceiveBuffer = 32 << 10
	// DefaultStallTime is the time without progress after which a client yields to others.
	DefaultStallTime = time.Second

	// firstReceiveBuffer is the size of the receive buffer of a connection until its client sends a large body or message. Also
	// connections that have not been accepted have one.
	firstReceiveBuffer = 8 << 10
	// connectionBytes is the memory of a connection without a request: stacks, buffers, bookkeeping and what was not read.
	connectionBytes = 32 << 10
	// hostConnectionBytes is the same for a connection of another host.
	hostConnectionBytes = 24 << 10
	// smallBytes is what an ordinary request holds at most, with its connection. Only such requests use the last quarter of what
	// their class may use.
	smallBytes   = 192 << 10
	smallReserve = 4
	// progressBytes is what a client must send in the stall time to make progress.
	progressBytes = 16 << 10
	// provenHostStallTime is the time without a message after which a connection of another host yields. Hosts keep connections
	// for a minute.
	provenHostStallTime = time.Minute
	// contentionTime is the time after a refusal for which organisations and addresses are held to equal shares.
	contentionTime = 10 * time.Second
	// descriptorShare is the part of the descriptors (1 in N) that connections of clients may use. As many are left for the
	// connections that their requests need.
	descriptorShare = 2
)

// Options are the settings and dependencies of a Budget.
type Options struct {
	// Memory is what clients may hold together, in bytes.
	Memory int64
	// Descriptors is the number of descriptors of the process; 0 is the limit of the system.
	Descriptors int64
	// StallTime is the time without progress after which a client yields to others; 0 is DefaultStallTime.
	StallTime time.Duration
	// ReceiveBuffer is the size of the receive buffer of a connection on which a large body or message is sent, in bytes; 0 is
	// DefaultReceiveBuffer.
	ReceiveBuffer int
	Scope         tally.Scope
}

func (o *Options) setDefaults() {
	if o.StallTime <= 0 {
		o.StallTime = DefaultStallTime
	}
	if o.ReceiveBuffer <= 0 {
		o.ReceiveBuffer = DefaultReceiveBuffer
	}
	if o.Descriptors <= 0 {
		o.Descriptors = systemDescriptors()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
}

// fallbackDescriptors is assumed where the limit of the system can't be read.
const fallbackDescriptors = 1024

func systemDescriptors() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return int64(min(limit.Cur, 1<<30))
}
