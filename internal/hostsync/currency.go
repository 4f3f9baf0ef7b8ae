package hostsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// methodTableAge is the RPC method that returns the age of a host's table of upstreams.
const methodTableAge = "/fleet/TableAge"

const (
	// tableCheckTimeout bounds the calls to other gateway hosts, and the time for which a resumed stream waits
	// for a current table. A host that was suspended makes its next call to the control group within a
	// quarter of a second, and a call takes up to 700 ms.
	tableCheckTimeout = time.Second
	// tableCheckInterval is the interval at which the age of the table is looked at, and tableCheckLead the time
	// before it is too old at which other hosts are asked.
	tableCheckInterval = 300 * time.Millisecond
	tableCheckLead     = 400 * time.Millisecond
	// maxTableAgeHosts is the number of other gateway hosts that are asked.
	maxTableAgeHosts = 8
)

type tableAgeRequest struct{}

// tableAgeReply states the time since the control group told the host of all changes of upstreams.
type tableAgeReply struct {
	Age time.Duration `cbor:"1,keyasint"`
}

func (c *Client) registerTableAge(srv *rpc.Server) {
	rpc.Handle(srv, methodTableAge, func(context.Context, *tableAgeRequest) (*tableAgeReply, error) {
		return &tableAgeReply{Age: c.options.Pool.TableAge(time.Now())}, nil
	})
}

// tableCheck finds out whether other hosts know more of the upstreams. One check runs at a time.
type tableCheck struct {
	mu sync.Mutex
	// done is closed at the end of the check that runs; nil if none does.
	done chan struct{}
}

// keepTableCurrent asks other hosts for the age of their tables while the control group does not reply, until
// ctx ends.
func (c *Client) keepTableCurrent(ctx context.Context) {
	trusted := false
	timing.Every(ctx, tableCheckInterval, func() {
		if !c.options.Pool.TableCurrent(time.Now().Add(tableCheckLead)) {
			<-c.checkTable()
		}
		if now := time.Now(); c.options.Pool.TableCurrent(now) != trusted {
			trusted = !trusted
			klog.InfoS("trust in the known versions of upstreams changed", "trusted", trusted,
				"table_age_ms", c.options.Pool.TableAge(now).Milliseconds())
		}
	})
}

// AwaitCurrentTable waits until this host knows the upstreams as well as other hosts do: the control group
// has told it, or they are cut off from that too. It returns false if that takes too long.
func (c *Client) AwaitCurrentTable(ctx context.Context) bool {
	if c.options.Pool.TableCurrent(time.Now()) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, tableCheckTimeout)
	defer cancel()
	synced := make(chan struct{})
	go func() {
		defer close(synced)
		c.AwaitSync(ctx)
	}()
	select {
	case <-synced:
	case <-c.checkTable():
		if !c.options.Pool.TableCurrent(time.Now()) {
			<-synced
		}
	}
	return c.options.Pool.TableCurrent(time.Now())
}

// checkTable asks other gateway hosts for the age of their tables, unless a check runs, and returns a
// channel that is closed at its end.
func (c *Client) checkTable() <-chan struct{} {
	c.tableCheck.mu.Lock()
	defer c.tableCheck.mu.Unlock()
	if c.tableCheck.done == nil {
		done := make(chan struct{})
		c.tableCheck.done = done
		go func() {
			c.confirmTable()
			c.tableCheck.mu.Lock()
			defer c.tableCheck.mu.Unlock()
			c.tableCheck.done = nil
			close(done)
		}()
	}
	return c.tableCheck.done
}

// confirmTable asks other gateway hosts, and confirms the table once most have said that they know no more of
// the upstreams.
func (c *Client) confirmTable() {
	began, suspended := time.Now(), timing.Suspended()
	ctx, cancel := context.WithTimeout(context.Background(), tableCheckTimeout)
	defer cancel()
	hosts := c.OtherHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), maxTableAgeHosts)]
	answers := make(chan *tableAgeReply, len(hosts))
	for _, host := range hosts {
		go func() {
			reply, err := rpc.Call[tableAgeRequest, tableAgeReply](ctx, c.rpc, host, methodTableAge, &tableAgeRequest{})
			if err != nil {
				reply = nil // a host that does not answer confirms nothing
			}
			answers <- reply
		}()
	}
	var ages []time.Duration
	for range hosts {
		if reply := <-answers; reply != nil {
			ages = append(ages, reply.Age)
		}
		if knowsNoLess(c.options.Pool.TableAge(time.Now()), ages, len(hosts)) {
			c.options.Pool.ConfirmTable(began.Add(suspended - timing.Suspended()))
			return
		}
	}
}

// knowsNoLess reports whether a host with a table of the given age knows as much of the upstreams as the hosts
// that answered. These and itself must be most of those asked and itself: a few may be cut off together.
func knowsNoLess(own time.Duration, ages []time.Duration, asked int) bool {
	if len(ages) == 0 || 2*(len(ages)+1) <= asked+1 {
		return false
	}
	for _, age := range ages {
		if age < own-placement.MaxTableAge {
			return false
		}
	}
	return true
}
