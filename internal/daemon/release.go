package daemon

import (
	"context"
	"errors"

	"k8s.io/klog/v2"
)

// abort undoes a failed start. At this point the replica is not running, and the host
// has finished no request for which a caller waits.
func (d *Daemon) abort(stop context.CancelFunc) {
	d.draining.Store(true)
	if d.stopSession != nil {
		d.endSession()
	}
	for _, srv := range []*httpServer{d.callers, d.operators} {
		if srv != nil {
			_ = srv.Close()
		}
	}
	if err := d.release(stop); err != nil {
		klog.ErrorS(err, "cleanup after failed start incomplete")
	}
}

// release stops the goroutines of the host and closes its remaining resources.
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
	d.closeClients()
	return err
}

// closeClients closes the connections to other hosts and the metrics. Errors are only
// logged: a peer that closed its end earlier is not a failure of this host.
func (d *Daemon) closeClients() {
	if d.rpc == nil {
		return
	}
	if err := d.rpc.Close(); err != nil {
		klog.ErrorS(err, "closing connections to other hosts failed")
	}
	if err := d.metrics.Close(); err != nil {
		klog.ErrorS(err, "closing metrics failed")
	}
}
