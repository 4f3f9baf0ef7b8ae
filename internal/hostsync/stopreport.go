package hostsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/stopreport"
)

// stopReportCallTimeout bounds one call of ReportStop to a control host, after which another one is called.
const stopReportCallTimeout = 200 * time.Millisecond

// ReportStop sends a report of a stop to a control host, and to another one if that does not answer. It needs neither a leader nor a
// session, and may be called at any time.
func (c *Client) ReportStop(ctx context.Context, report *stopreport.Report) error {
	report.Gateway, report.SyncAge = c.options.Host, -1
	if at := c.lastSync.Load(); at != nil {
		report.SyncAge = time.Since(*at)
	}
	err := eris.New("no control host is known")
	for _, address := range c.stopReportHosts() {
		if err = c.sendStopReport(ctx, address, report); err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

func (c *Client) sendStopReport(ctx context.Context, address string, report *stopreport.Report) error {
	ctx, cancel := context.WithTimeout(ctx, stopReportCallTimeout)
	defer cancel()
	_, err := rpc.Call[stopreport.Report, controlnode.StopReportReply](ctx, c.rpc, address, controlnode.MethodReportStop, report)
	return err
}

// stopReportHosts returns the control hosts to call: first the one that answered the latest successful call, then others in random
// order.
func (c *Client) stopReportHosts() []string {
	hosts := append(slices.Clone(c.controlKeepers().members), c.options.Seeds()...)
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if latest := c.lastServedBy.Load(); latest != nil {
		hosts = slices.DeleteFunc(hosts, func(a string) bool { return a == *latest })
		hosts = slices.Insert(hosts, 0, *latest)
	}
	return hosts[:min(len(hosts), maxHostsPerCall)]
}
