package daemon

import (
	"context"
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
	stop()
	d.wg.Wait()
	if d.forward != nil {
		d.forward.wg.Wait()
	}
	if d.upstreamHTTP != nil {
		d.upstreamHTTP.CloseIdleConnections()
	}
	d.closeClients()
}

// closeClients closes the connections to other hosts and the metrics.
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
