package hostsync

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// errSessionLost reports that the control group does not know the session, because another
// process has opened a session in the name of this host.
var errSessionLost = eris.New("the control group does not know this host's session")

// errNotOpened reports that the tickets for the opening of the session were void when they arrived.
var errNotOpened = eris.New("the control group has not opened this host's session")

// endSession ends all spending: the control group charges the tokens that this process
// still held.
func (c *Client) endSession() {
	c.allowance.Seal()
	c.sessionLostOnce.Do(func() { close(c.sessionLost) })
}

// SessionLost returns a channel that is closed when the control group no longer knows the
// session. The process must then exit; the next one opens a session of its own.
func (c *Client) SessionLost() <-chan struct{} { return c.sessionLost }

// applyReply applies the leader's reply to req, a call that began at a time. Without a session it returns errSessionLost,
// but what the host knows of upstreams and the configuration stays current while it stops.
func (c *Client) applyReply(req *controlnode.SyncRequest, reply *controlnode.SyncReply, began time.Time) error {
	sessionErr := c.applyPrepaid(reply.Prepaid)
	if err := c.applyState(req, reply, began); err != nil {
		return err
	}
	return sessionErr
}

// applyPrepaid applies what the leader replied to the report of token use, or to the opening of the session.
func (c *Client) applyPrepaid(reply *prepaid.Reply) error {
	switch {
	case reply == nil:
		return nil
	case reply.UnknownSession && c.sessionOpened:
		c.endSession()
		return errSessionLost
	}
	c.sessionOpened = true
	c.allowance.Acknowledge(reply, c.options.Clock())
	return nil
}

// applyState applies the state of the fleet in the leader's reply to req.
func (c *Client) applyState(req *controlnode.SyncRequest, reply *controlnode.SyncReply, began time.Time) error {
	c.confirmsIdleCalls = reply.ConfirmsIdleCalls
	c.ceilingAnswers = c.answerCeilingQueries(reply.CeilingQueries)
	if len(reply.Members) > 0 {
		c.members = reply.Members
	}
	c.controlHosts.apply(reply, time.Now())
	c.applyControlKeepers(reply)
	c.applyPeers(reply)
	c.applyEvacuations(reply)
	if err := c.applyTraffic(req, reply); err != nil {
		return err
	}
	c.applyNotices(reply, time.Now())
	c.epoch, c.revision = reply.Epoch, reply.Revision
	c.peersEpoch, c.peersRevision = peersEpoch(reply), reply.PeersRevision
	c.applyCrashes(reply, time.Now())
	c.options.Pool.ControlSynced(began)
	return c.updateView(reply)
}

// applyTraffic applies the upstreams and the loads in the leader's reply to req.
func (c *Client) applyTraffic(req *controlnode.SyncRequest, reply *controlnode.SyncReply) error {
	upstreams, err := reply.DecodeUpstreams()
	if err != nil {
		return err
	}
	if len(upstreams) > 0 {
		c.options.Pool.Update(presenceRecords(upstreams))
	}
	if req.Brief {
		return nil
	}
	loads, err := reply.DecodeLoads()
	if err != nil {
		return err
	}
	c.lastFullSync = time.Now()
	c.options.Pool.ApplyControlLoads(loads)
	return nil
}

// applyNews applies what a control host that reaches no leader knows of the upstreams and the
// evacuated zones.
func (c *Client) applyNews(reply *controlnode.SyncReply) {
	c.applyEvacuations(reply)
	upstreams, err := reply.DecodeUpstreams()
	if err != nil {
		klog.ErrorS(err, "news of upstreams not read")
		return
	}
	for _, u := range c.options.Pool.MergeNews(presenceRecords(upstreams)) {
		klog.InfoS("upstream changed, by a control host without a leader", "upstream", u.ID, "address", u.Address, "service", u.Service,
			"state", u.State.String(), "started", u.StartedMS)
	}
}

func presenceRecords(messages []controlnode.UpstreamRecord) []presence.Record {
	now := time.Now()
	list := make([]presence.Record, 0, len(messages))
	for i := range messages {
		list = append(list, presence.Record{
			Upstream: messages[i].Upstream, Unresponsive: messages[i].Unresponsive, Cold: messages[i].Coldness(now),
		})
	}
	return list
}

// updateView replaces the view by one with the state in reply. The document version never
// decreases.
func (c *Client) updateView(reply *controlnode.SyncReply) error {
	old := c.view.Load()
	next := &View{Hosts: max(reply.Hosts, c.knownPeers())}
	if old != nil {
		next.Index = old.Index
	}
	if d := reply.Document; d != nil && d.Version > c.documentVersion {
		index, err := c.decodeDocument(d)
		if err != nil {
			return err
		}
		next.Index, c.documentVersion = index, d.Version
		c.allowance.RegisterOrganisations(prepaidOrganisations(index.Document))
		c.options.Pool.SetWarmUps(index.Document.Services, time.Now())
		klog.InfoS("configuration in force", "version", d.Version, "routes", len(index.Document.Routes))
	}
	if next.Index == nil {
		return nil
	}
	c.view.Store(next)
	return nil
}

func (c *Client) decodeDocument(d *fleetstate.Document) (*catalog.Index, error) {
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

// prepaidOrganisations returns the names of the organisations that have a prepaid budget.
func prepaidOrganisations(d *catalog.Document) []string {
	var names []string
	for i := range d.Organisations {
		if d.Organisations[i].Prepaid != nil {
			names = append(names, d.Organisations[i].Name)
		}
	}
	return names
}
