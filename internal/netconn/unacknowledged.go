package netconn

import (
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// maxKeepAliveProbes is the system's maximum.
const maxKeepAliveProbes = 127

// KeepOpen lifts the timeouts of unacknowledged bytes and probes: the connection lasts until the peer or its owner ends it, or for
// some minutes. Probes go on, so that a peer that has restarted ends it. It concerns TCP connections, and others with a method of
// that name.
func KeepOpen(conn io.Closer) {
	switch c := conn.(type) {
	case interface{ KeepOpen() }:
		c.KeepOpen()
	case *net.TCPConn:
		// The system goes by the number of probes only without a timeout of unacknowledged bytes.
		AllowClosedWindow(c)
		if err := setKeepAliveProbes(c, maxKeepAliveProbes); err != nil {
			klog.V(2).InfoS("limit of keep-alive probes not lifted", "error", err.Error()) // the connection has ended
		}
	}
}

func setKeepAliveProbes(conn *net.TCPConn, probes int) error {
	raw, err := conn.SyscallConn()
	if err == nil {
		err = setOption(raw, unix.TCP_KEEPCNT, probes)
	}
	return eris.Wrap(err, "set TCP_KEEPCNT")
}

// Unacknowledged returns the time since the peer last sent data or an acknowledgement, which keep-alive probes ask for each second; 0 if
// it is not known. It is known of TCP connections, if the system tells, and of others with a method of that name.
func Unacknowledged(conn io.Closer) time.Duration {
	switch c := conn.(type) {
	case interface{ Unacknowledged() time.Duration }:
		return c.Unacknowledged()
	case *net.TCPConn:
		if info, err := tcpInfo(c); err == nil { // the connection has not ended
			return time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
		}
	}
	return 0
}
