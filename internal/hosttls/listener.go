package hosttls

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// maxHandshakes bounds the handshakes that a listener runs at once.
const maxHandshakes = 128

// acceptPause is the wait after a failed accept.
const acceptPause = 50 * time.Millisecond

// listener accepts TLS connections after their handshake, so that a peer that
// sends nothing keeps no other waiting.
type listener struct {
	net.Listener
	config *tls.Config
	ready  chan net.Conn
	slots  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newListener(raw net.Listener, config *tls.Config) *listener {
	ctx, cancel := context.WithCancel(context.Background())
	l := &listener{
		Listener: raw,
		config:   config,
		ready:    make(chan net.Conn),
		slots:    make(chan struct{}, maxHandshakes),
		ctx:      ctx,
		cancel:   cancel,
	}
	l.wg.Add(1)
	go l.run()
	return l
}

// Accept returns the next connection whose handshake succeeded.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close stops listening and ends handshakes that still run.
func (l *listener) Close() error {
	l.cancel()
	err := l.Listener.Close()
	l.wg.Wait()
	return err
}

func (l *listener) run() {
	defer l.wg.Done()
	for l.ctx.Err() == nil {
		select {
		case l.slots <- struct{}{}:
		case <-l.ctx.Done():
			return
		}
		raw, err := l.Listener.Accept()
		if err != nil {
			<-l.slots
			l.pause(err)
			continue
		}
		l.wg.Add(1)
		go l.handshake(raw)
	}
}

// pause waits after a failed accept, such as for want of file descriptors.
func (l *listener) pause(err error) {
	if l.ctx.Err() != nil {
		return
	}
	klog.ErrorS(err, "connection of a host not accepted")
	select {
	case <-time.After(acceptPause):
	case <-l.ctx.Done():
	}
}

func (l *listener) handshake(raw net.Conn) {
	defer l.wg.Done()
	conn := tls.Server(raw, l.config)
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	err := conn.HandshakeContext(ctx)
	cancel()
	<-l.slots
	if err != nil {
		klog.InfoS("connection of a host refused", "remote", raw.RemoteAddr().String(), "error", err.Error())
		_ = raw.Close()
		return
	}
	select {
	case l.ready <- conn:
	case <-l.ctx.Done():
		_ = conn.Close()
	}
}
