package hosttls

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// maxConcurrentHandshakes limits the concurrent handshakes of a listener.
const maxConcurrentHandshakes = 128

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// listener accepts TLS connections once their handshake is complete. Handshakes run
// concurrently, so that a peer that sends nothing does not delay others.
type listener struct {
	net.Listener
	config         *tls.Config
	handshaken     chan net.Conn
	handshakeSlots chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

func newListener(raw net.Listener, config *tls.Config) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	l := &listener{
		Listener:       raw,
		config:         config,
		handshaken:     make(chan net.Conn),
		handshakeSlots: make(chan struct{}, maxConcurrentHandshakes),
		ctx:            ctx,
		cancel:         cancel,
	}
	l.wg.Add(1)
	go l.acceptLoop()
	return l
}

// Accept returns the next connection whose handshake has succeeded.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.handshaken:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close stops listening and aborts the handshakes in progress.
func (l *listener) Close() error {
	l.cancel()
	err := l.Listener.Close()
	l.wg.Wait()
	return err
}

func (l *listener) acceptLoop() {
	defer l.wg.Done()
	for l.ctx.Err() == nil {
		select {
		case l.handshakeSlots <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		raw, err := l.Listener.Accept()
		if err != nil {
			<-l.handshakeSlots
			l.backOff(err)
			continue
		}
		l.wg.Add(1)
		go l.handshake(raw)
	}
}

// backOff logs a failed accept, for example for lack of file descriptors, and waits.
func (l *listener) backOff(err error) {
	if l.ctx.Err() != nil {
		return
	}
	klog.ErrorS(err, "accepting a host connection failed")
	select {
	case <-time.After(acceptRetryDelay):
	case <-l.ctx.Done():
	}
}

func (l *listener) handshake(raw net.Conn) {
	defer l.wg.Done()
	conn := tls.Server(raw, l.config)
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	<-l.handshakeSlots
	if err != nil {
		klog.InfoS("TLS handshake with a host failed", "remote", raw.RemoteAddr().String(), "error", err.Error())
		_ = raw.Close()
		return
	}
	select {
	case l.handshaken <- conn:
	case <-l.ctx.Done():
		_ = conn.Close()
	}
}
