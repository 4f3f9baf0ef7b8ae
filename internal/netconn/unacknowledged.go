package netconn

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// maxKeepAliveProbes is the system's maximum.
const maxKeepAliveProbes = 127

// KeepOpen lifts the timeouts of unacknowledged bytes and probes: the connection lasts until the peer or its owner ends it, or for
// some minutes. Probes go on, so that a peer that has restarted ends it.
func KeepOpen(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	// The system goes by the number of probes only without a timeout of unacknowledged bytes.
	AllowClosedWindow(tcp)
	if err := setKeepAliveProbes(tcp, maxKeepAliveProbes); err != nil {
		klog.V(2).InfoS("limit of keep-alive probes not lifted", "error", err.Error()) // the connection has ended
	}
}

func setKeepAliveProbes(conn *net.TCPConn, probes int) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set TCP_KEEPCNT")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probes)
	})
	return eris.Wrap(errors.Join(err, optionErr), "set TCP_KEEPCNT")
}

// Unacknowledged returns the time since the peer last sent data or an acknowledgement, which keep-alive probes ask for each second; 0 if
// the system does not tell.
func Unacknowledged(conn net.Conn) (silent time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			silent = time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
		}
	})
	if err != nil { // the connection has ended
		return 0
	}
	return silent
}
