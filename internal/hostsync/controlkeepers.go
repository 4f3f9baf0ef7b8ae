package hostsync

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// controlKeepers are the control hosts that keep records of streams. Its fields are not modified.
type controlKeepers struct {
	// members are the addresses of the members of the control group.
	members []string
	// epochs identify the processes of the control hosts, by address.
	epochs map[string]uint64
}

// of returns the control hosts that keep a record.
func (k *controlKeepers) of(r streamorigin.Record) []string {
	return streamorigin.KeepersOf(r.Fingerprint, "", k.members, streamorigin.Keepers)
}

// after returns the keepers as of a reply, and the control hosts that have started since. A host whose
// process was not known counts as started: it may have kept nothing, as earlier builds do.
func (k *controlKeepers) after(reply *controlnode.SyncReply) (next *controlKeepers, started []string) {
	next = &controlKeepers{members: k.members, epochs: map[string]uint64{}}
	if len(reply.Members) > 0 {
		next.members = slices.Sorted(slices.Values(reply.Members))
	}
	for address, epoch := range k.epochs {
		if slices.Contains(next.members, address) {
			next.epochs[address] = epoch
		}
	}
	for _, h := range reply.ControlHosts {
		if h.Epoch != 0 && h.Epoch != next.epochs[h.Address] && slices.Contains(next.members, h.Address) {
			next.epochs[h.Address] = h.Epoch
			started = append(started, h.Address)
		}
	}
	return next, started
}

// lacking returns the hosts that keep a record as of next but may lack it: those that did not keep it
// before, and those that have started since.
func (k *controlKeepers) lacking(next *controlKeepers, started []string, r streamorigin.Record) []string {
	earlier := k.of(r)
	return slices.DeleteFunc(next.of(r), func(host string) bool {
		return slices.Contains(earlier, host) && !slices.Contains(started, host)
	})
}

// controlKeepers returns the control hosts that keep records now. Until the control group has named its
// members, the seeds stand for them.
func (c *Client) controlKeepers() *controlKeepers {
	if k := c.originKeepers.Load(); k != nil {
		return k
	}
	return &controlKeepers{members: c.options.Seeds()}
}

// applyControlKeepers updates the control hosts that keep records by a reply, and sends the records of the
// streams that this host began to those that may lack them.
func (c *Client) applyControlKeepers(reply *controlnode.SyncReply) {
	earlier := c.controlKeepers()
	next, started := earlier.after(reply)
	if len(started) == 0 && slices.Equal(next.members, earlier.members) {
		return
	}
	c.originKeepers.Store(next)
	klog.InfoS("control hosts that keep origins of streams changed", "members", next.members, "started", started,
		"needed", len(c.begunStreams.Needed(time.Now())))
	go c.resendStreamOrigins("control hosts changed", func(r streamorigin.Record) []string { return earlier.lacking(next, started, r) })
}
