package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// serverHeaderBytes bounds heads in the HTTP server where the limits of the connections set no lower bound.
const serverHeaderBytes = 1 << 20

// Listener accepts the connections for which the budget has room, and closes others at once.
type Listener struct {
	net.Listener
	budget *Budget
	class  Class
	limits func() Limits
	// opaque reports that the connections are encrypted.
	opaque bool
}

// Listen returns a listener whose connections count against the budget. limits may be nil.
func (b *Budget) Listen(l net.Listener, c Class, limits func() Limits) *Listener {
	if limits == nil {
		limits = func() Limits { return Limits{} }
	}
	b.serves(c)
	BoundReceiveBuffer(l)
	return &Listener{Listener: l, budget: b, class: c, limits: limits}
}

// Opaque makes the listener treat what arrives as encrypted, and returns it. The HTTP server then bounds heads, by the limits as
// of Instrument.
func (l *Listener) Opaque() *Listener {
	l.opaque = true
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

func (l *Listener) open(accepted net.Conn) *conn {
	now := time.Now()
	c := &conn{Conn: accepted, listener: l, since: now}
	address, _, err := net.SplitHostPort(accepted.RemoteAddr().String())
	if err != nil {
		address = accepted.RemoteAddr().String()
	}
	if c.account = l.budget.open(l.class, "address "+address, l.connectionBytes(), c.evict, now); c.account == nil {
		return nil
	}
	c.setReceiveBuffer(firstReceiveBuffer)
	_ = c.SetReadDeadline(time.Time{}) // fails only once the connection is closed
	return c
}

func (l *Listener) connectionBytes() int64 {
	if l.class == Hosts {
		return hostConnectionBytes
	}
	return connectionBytes
}

// BoundReceiveBuffer bounds what the system keeps of each connection that the listener has not accepted.
func BoundReceiveBuffer(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	var optionErr error
	raw, err := socket.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, firstReceiveBuffer)
		})
	}
	if err = errors.Join(err, optionErr); err != nil {
		klog.ErrorS(err, "receive buffers of connections not bounded", "address", l.Addr().String())
	}
}

// Instrument makes a server count its requests against the budget of the listener that it will serve. It must be called before
// Serve, once the handler and the other hooks of the server are set.
func (l *Listener) Instrument(srv *http.Server) {
	srv.MaxHeaderBytes = serverHeaderBytes
	if limit := l.limits().HeaderBytes; l.opaque && limit > 0 {
		srv.MaxHeaderBytes = int(limit)
	}
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if own, ok := unwrap(c); ok {
			return withConn(ctx, own)
		}
		return ctx
	}
	next := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := unwrap(c); ok && state == http.StateIdle {
			own.awaitRequest()
		}
		if next != nil {
			next(c, state)
		}
	}
	handler := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		if !c.beginRequest(r) {
			l.budget.report.refused(l.class, reasonMemory)
			w.Header().Set("Connection", "close")
			refusal := errkind.New(errkind.Overloaded, noMemoryMessage).WithRetryAfter(l.budget.retryAfter())
			refusal.WriteHeader(w)
			if err := json.NewEncoder(w).Encode(refusal.Body()); err != nil {
				klog.V(2).InfoS("refusal not sent", "error", err.Error()) // the client has gone
			}
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// unwrap returns the connection of a listener behind one that a server serves, which may be encrypted.
func unwrap(c net.Conn) (*conn, bool) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	own, ok := c.(*conn)
	return own, ok
}

// Holding is what a connection of another host holds for its messages. The zero value bounds nothing.
type Holding struct{ conn *conn }

// HoldingOf returns the holding of a connection that a Listener has accepted.
func HoldingOf(c net.Conn) Holding {
	own, _ := unwrap(c)
	return Holding{own}
}

// Set makes the messages hold a number of bytes. It reports whether there is room.
func (h Holding) Set(bytes int64) bool { return h.conn == nil || h.conn.setBody(bytes) }

// Complete records that the other host has sent a whole message.
func (h Holding) Complete() {
	if h.conn != nil {
		h.conn.completeMessage()
	}
}
