package netconn_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/netconn"
)

// longRequestBytes does not fit into the buffers of a connection.
const longRequestBytes = 8 << 20

// exchange sends a long request to a peer that has read its first byte when it goes on with fn, and returns what was
// received and how that ended.
func exchange(t *testing.T, unackedTimeout time.Duration, fn func(*net.TCPConn)) (received string, err error) {
	return exchangeWrites(t, unackedTimeout, []int{longRequestBytes}, fn)
}

// exchangeWrites is exchange with a request of several writes of the given sizes.
func exchangeWrites(t *testing.T, unackedTimeout time.Duration, sizes []int, fn func(*net.TCPConn)) (received string, err error) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = accepted.Close() }()
		tcp := accepted.(*net.TCPConn)
		_ = tcp.SetReadBuffer(4 << 10)
		if _, err := tcp.Read(make([]byte, 1)); err == nil {
			fn(tcp)
		}
	}()
	dialled, err := netconn.Dial(t.Context(), listener.Addr().String(), time.Second, unackedTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	conn := netconn.ForExchange(dialled)
	defer func() { _ = conn.Close() }()
	go func() {
		for _, size := range sizes {
			if _, err := conn.Write(make([]byte, size)); err != nil {
				return
			}
		}
	}()
	data, err := io.ReadAll(conn)
	return string(data), err
}

// Guards against a reset while the request is sent that looks like an end in order.
func TestResetWhileTheRequestIsSentIsNoEnd(t *testing.T) {
	for range 100 {
		received, err := exchange(t, time.Minute, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "part")
			time.Sleep(5 * time.Millisecond)
			_ = peer.SetLinger(0)
		})
		g := NewWithT(t)
		g.Expect(err).To(HaveOccurred())
		g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
		g.Expect(received).To(Or(Equal("part"), BeEmpty()))
	}
}

// Guards against a connection that is cut because its peer answers before it reads the request.
func TestPeerThatAnswersMayLeaveTheRequestUnread(t *testing.T) {
	const unackedTimeout, parts, pause = time.Second, 30, 100 * time.Millisecond
	received, err := exchange(t, unackedTimeout, func(peer *net.TCPConn) {
		for range parts {
			_, _ = io.WriteString(peer, "x")
			time.Sleep(pause)
		}
		_ = peer.CloseWrite()
		time.Sleep(pause)
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(HaveLen(parts))
}

// Guards against a connection that is cut because its peer leaves a request unread that came in several writes, as
// through a tunnel, the last of them short.
func TestPeerThatAnswersMayLeaveARequestOfSeveralWritesUnread(t *testing.T) {
	const unackedTimeout, parts, pause = time.Second, 30, 100 * time.Millisecond
	received, err := exchangeWrites(t, unackedTimeout, []int{256 << 10, 1 << 10}, func(peer *net.TCPConn) {
		time.Sleep(pause) // both writes are over
		for range parts {
			_, _ = io.WriteString(peer, "x")
			time.Sleep(pause)
		}
		_ = peer.CloseWrite()
		time.Sleep(pause)
	})
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(HaveLen(parts))
}

// Guards against a connection that is cut because its peer answered between the writes of the head and the body.
func TestPeerThatAnswersTheHeadMayLeaveTheBodyUnread(t *testing.T) {
	const unackedTimeout, parts, pause = time.Second, 30, 100 * time.Millisecond
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		peer, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		_ = peer.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = peer.Read(make([]byte, 1<<10))
		for range parts {
			_, _ = io.WriteString(peer, "x")
			time.Sleep(pause)
		}
		_ = peer.(*net.TCPConn).CloseWrite()
		time.Sleep(pause)
	}()
	dialled, err := netconn.Dial(t.Context(), listener.Addr().String(), time.Second, unackedTimeout)
	g.Expect(err).NotTo(HaveOccurred())
	conn := netconn.ForExchange(dialled)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(make([]byte, 1<<10))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = conn.Write(make([]byte, longRequestBytes)) }()
	rest, err := io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rest).To(HaveLen(parts - 1))
}

// Guards against taking the end of an answer for a failure, as its peer reads the request no further or goes on reading it.
func TestAnswerThatEndsInOrderWhileTheRequestIsSentIsWhole(t *testing.T) {
	for name, after := range map[string]func(*net.TCPConn){
		"reads on": func(peer *net.TCPConn) { _, _ = io.Copy(io.Discard, peer) },
		"closes":   func(*net.TCPConn) {},
		"pauses":   func(*net.TCPConn) { time.Sleep(time.Second) },
	} {
		received, err := exchange(t, time.Minute, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "whole")
			_ = peer.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			after(peer)
		})
		g := NewWithT(t)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(received).To(Equal("whole"), name)
	}
}
