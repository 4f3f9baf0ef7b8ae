package hostsync

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// errSessionLost reports that another process has opened a session in the name of
// this host.
var errSessionLost = eris.New("the control group does not know this host's session")

// loseSession ends all spending: what this process holds is the group's to charge.
func (c *Client) loseSession() {
	c.allowance.Seal()
	c.lostOnce.Do(func() { close(c.lost) })
}

// Lost returns a channel that is closed when the host's session is no longer known.
// The process must end; the next one opens a session of its own.
func (c *Client) Lost() <-chan struct{} { return c.lost }

// take takes in a reply of the leader.
func (c *Client) take(req *controlnode.SyncRequest, reply *controlnode.SyncReply) error {
	if reply.Prepaid != nil {
		if reply.Prepaid.UnknownSession && c.opened {
			c.loseSession()
			return errSessionLost
		}
		c.opened = true
		c.allowance.Acknowledge(reply.Prepaid, c.options.Clock())
	}
	c.statements = c.answer(reply.Questions)
	if len(reply.Members) > 0 {
		c.members = reply.Members
	}
	c.epoch, c.revision, c.peersAt = reply.Epoch, reply.Revision, reply.PeersRevision
	if len(reply.Upstreams) > 0 {
		c.options.Pool.Update(records(reply.Upstreams))
	}
	if !req.Brief {
		c.fullAt = time.Now()
		c.options.Pool.ApplyControlLoads(reply.Loads)
	}
	c.mu.Lock()
	c.crashes = c.crashes[min(len(req.Crashes), len(c.crashes)):]
	if reply.Peers != nil {
		c.peers = reply.Peers
	}
	c.mu.Unlock()
	return c.publish(reply)
}

func records(messages []controlnode.UpstreamRecord) []presence.Record {
	list := make([]presence.Record, 0, len(messages))
	for i := range messages {
		list = append(list, presence.Record{Upstream: messages[i].Upstream, Unresponsive: messages[i].Silent})
	}
	return list
}

// publish replaces the view if anything in it has changed. The version never falls.
func (c *Client) publish(reply *controlnode.SyncReply) error {
	old := c.view.Load()
	next := &View{Hosts: reply.Hosts, Quarantined: make(map[uint64]bool, len(reply.Quarantined))}
	for _, fingerprint := range reply.Quarantined {
		next.Quarantined[fingerprint] = true
	}
	if old != nil {
		next.Index = old.Index
	}
	if d := reply.Document; d != nil && d.Version > c.version {
		index, err := c.decode(d)
		if err != nil {
			return err
		}
		next.Index, c.version = index, d.Version
		c.allowance.RegisterOrganisations(budgeted(index.Document))
		klog.InfoS("configuration in force", "version", d.Version, "routes", len(index.Document.Routes))
	}
	if next.Index == nil {
		return nil
	}
	c.view.Store(next)
	return nil
}

func (c *Client) decode(d *fleetstate.Document) (*catalog.Index, error) {
	content, err := fleetstate.Decompress(d.Content)
	if err != nil {
		return nil, err
	}
	document, err := c.options.Decode(content)
	if err != nil {
		return nil, err
	}
	return catalog.NewIndex(document), nil
}

// budgeted returns the organisations that have a prepaid budget.
func budgeted(d *catalog.Document) []string {
	var names []string
	for i := range d.Organisations {
		if d.Organisations[i].Prepaid != nil {
			names = append(names, d.Organisations[i].Name)
		}
	}
	return names
}
