package daemon

import (
	"context"
	"errors"
	"net/http"

	"k8s.io/klog/v2"
)

// abort ends what a failed start has begun. The host has no replica yet, and has
// ended no request that a caller waits for.
func (d *Daemon) abort(stop context.CancelFunc) {
	d.draining.Store(true)
	if d.stopSession != nil {
		d.endSession()
	}
	for _, srv := range []*http.Server{d.callers, d.operators} {
		if srv != nil {
			_ = srv.Close()
		}
	}
	if err := d.release(stop); err != nil {
		klog.ErrorS(err, "start not undone cleanly")
	}
}

// release stops the goroutines of the host and closes what it still holds.
func (d *Daemon) release(stop context.CancelFunc) error {
	stop()
	d.wg.Wait()
	var err error
	for _, j := range d.journals {
		err = errors.Join(err, j.Close())
	}
	if d.forward != nil {
		d.forward.wg.Wait()
	}
	if d.replica != nil && d.replica.transport != nil {
		d.replica.transport.Wait()
	}
	if d.upstreamHTTP != nil {
		d.upstreamHTTP.CloseIdleConnections()
	}
	d.closeClients()
	return err
}

// closeClients closes the connections to other hosts and the metrics. A peer that
// has gone before is no failure of this host.
func (d *Daemon) closeClients() {
	if d.rpc == nil {
		return
	}
	if err := d.rpc.Close(); err != nil {
		klog.ErrorS(err, "connections to hosts not closed cleanly")
	}
	if err := d.metrics.Close(); err != nil {
		klog.ErrorS(err, "metrics not closed cleanly")
	}
}
