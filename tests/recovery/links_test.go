package recovery_test

import (
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// cutTimeout is the time after which a connection over a cut link fails, as the hosts' own timeout of
	// unacknowledged bytes would have it.
	cutTimeout  = 1500 * time.Millisecond
	cutInterval = 10 * time.Millisecond
	linkBuffer  = 32 << 10
)

// links are the links between control hosts, whose connections pass through proxies of this process.
type links struct {
	mu sync.Mutex
	// processes holds the names of the hosts by the id of their process.
	processes map[int]string
	cuts      map[[2]string]int
	listeners []net.Listener
}

func newLinks() *links { return &links{processes: map[int]string{}, cuts: map[[2]string]int{}} }

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// cut cuts the links between each host of left and each of right. Cuts of the same link add up.
func (l *links) cut(left, right []string) { l.change(left, right, 1) }

func (l *links) heal(left, right []string) { l.change(left, right, -1) }

func (l *links) change(left, right []string, by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range left {
		for _, b := range right {
			l.cuts[pairOf(a, b)] += by
		}
	}
}

func (l *links) isCut(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[pairOf(a, b)] > 0
}

func (l *links) recordProcess(pid int, host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[pid] = host
}

// serve passes the connections to address on to the host that listens at target.
func (l *links) serve(host, address, target string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen for a control host")
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(conn.(*net.TCPConn), host, target)
		}
	}()
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}

// pass forwards a connection in both directions until one side closes it or the link has been cut for cutTimeout.
func (l *links) pass(caller *net.TCPConn, host, target string) {
	defer func() { _ = caller.Close() }()
	from := l.callerOf(caller)
	if !l.awaitLink(from, host) {
		_ = caller.SetLinger(0)
		return
	}
	conn, err := net.Dial("tcp4", target)
	if err != nil {
		_ = caller.SetLinger(0)
		return
	}
	callee := conn.(*net.TCPConn)
	defer func() { _ = callee.Close() }()
	done := make(chan struct{}, 2)
	for _, direction := range [][2]*net.TCPConn{{caller, callee}, {callee, caller}} {
		go func() {
			l.forward(direction[0], direction[1], from, host)
			done <- struct{}{}
		}()
	}
	<-done
}

func (l *links) forward(source, destination *net.TCPConn, from, to string) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !l.awaitLink(from, to) {
			_, _ = source.SetLinger(0), destination.SetLinger(0)
			return
		}
		if _, writeErr := destination.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// awaitLink waits while a link is cut, and returns false after cutTimeout.
func (l *links) awaitLink(a, b string) bool {
	for limit := time.Now().Add(cutTimeout); l.isCut(a, b); time.Sleep(cutInterval) {
		if time.Now().After(limit) {
			return false
		}
	}
	return true
}

// callerOf returns the host whose process opened a connection to a proxy, or "" if it is none of them.
func (l *links) callerOf(conn *net.TCPConn) string {
	inode, err := inodeOf(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return ""
	}
	socket := fmt.Sprintf("socket:[%d]", inode)
	l.mu.Lock()
	processes := maps.Clone(l.processes)
	l.mu.Unlock()
	for pid, host := range processes {
		directory := fmt.Sprintf("/proc/%d/fd", pid)
		files, _ := os.ReadDir(directory) // fails if the process has ended
		for _, file := range files {
			if name, err := os.Readlink(filepath.Join(directory, file.Name())); err == nil && name == socket {
				return host
			}
		}
	}
	return ""
}

// Sizes and offsets of the messages of NETLINK_SOCK_DIAG, as in linux/inet_diag.h.
const (
	sockDiagByFamily = 20
	netlinkHeader    = 16
	diagRequestBytes = 56
	diagPortsOffset  = 8
	diagSourceOffset = 12
	diagTargetOffset = 28
	diagCookieOffset = 48
	diagInodeOffset  = 68
)

// inodeOf returns the inode of the local socket with the given addresses.
func inodeOf(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, eris.Wrap(err, "open a netlink socket")
	}
	defer func() { _ = unix.Close(fd) }()
	request := make([]byte, netlinkHeader+diagRequestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	body := request[netlinkHeader:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], ^uint32(0)) // sockets in any state
	binary.BigEndian.PutUint16(body[diagPortsOffset:], uint16(local.Port))
	binary.BigEndian.PutUint16(body[diagPortsOffset+2:], uint16(remote.Port))
	copy(body[diagSourceOffset:], local.IP.To4())
	copy(body[diagTargetOffset:], remote.IP.To4())
	binary.NativeEndian.PutUint64(body[diagCookieOffset:], ^uint64(0)) // no cookie
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, eris.Wrap(err, "look a socket up")
	}
	reply := make([]byte, linkBuffer)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, eris.Wrap(err, "look a socket up")
	}
	if n < netlinkHeader+diagInodeOffset+4 || binary.NativeEndian.Uint16(reply[4:]) != sockDiagByFamily {
		return 0, eris.New("no such socket")
	}
	return binary.NativeEndian.Uint32(reply[netlinkHeader+diagInodeOffset:]), nil
}
