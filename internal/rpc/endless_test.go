package rpc_test

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	// messagesMemory is half of the memory of a small host, in bytes.
	messagesMemory = 112 << 20 / 2
	// endlessBytes is what a test sends at most, and endlessTimeout how long it may take to be given up.
	endlessBytes   = 64 << 20
	endlessTimeout = 10 * time.Second
	// manyConnections is the number of connections that send at once in some tests.
	manyConnections = 20
)

// endlessMessages are bytes that are no message, or one without end.
var endlessMessages = map[string]struct{ first, repeated string }{
	"text":           {"", "x"},
	"HTTP answer":    {"HTTP/1.1 200 OK\r\n\r\n", "hello\n"},
	"zeros":          {"", "\x00"},
	"long frame":     {"\x05\x01\x01\xff\xff\xff\xff\x0f", "x"},
	"many frames":    {"", "\x04\x01\x01\xc8\x01" + strings.Repeat("x", 200)},
	"endless varint": {"\x05", "\xff"},
}

var errAllRead = errors.New("all was read")

func sendEndlessly(conn net.Conn, first, repeated string) error {
	_, err := io.WriteString(conn, first)
	block := []byte(strings.Repeat(repeated, 1+(16<<10)/len(repeated)))
	for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
		_, err = conn.Write(block)
	}
	if err == nil {
		return errAllRead
	}
	return nil
}

// Guards against a host that runs out of memory by what it is sent instead of a message.
func TestEndlessMessagesToAServerAreGivenUp(t *testing.T) { testMessagesToAServer(t, 1) }

// Guards against the same on many connections at once.
func TestEndlessMessagesOnManyConnectionsFitIntoMemory(t *testing.T) {
	testMessagesToAServer(t, manyConnections)
}

func testMessagesToAServer(t *testing.T, connections int) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(112 << 20 / 10 * 7))
	for name, test := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, rpc.NewServer())
			peak := fake.PeakHeap(func() {
				var senders sync.WaitGroup
				for range connections {
					senders.Go(func() {
						conn, err := net.Dial("tcp", address)
						if err != nil {
							t.Error(err)
							return
						}
						defer func() { _ = conn.Close() }()
						_ = conn.SetDeadline(time.Now().Add(endlessTimeout))
						if err := sendEndlessly(conn, test.first, test.repeated); err != nil {
							t.Error(err)
						}
					})
				}
				senders.Wait()
			})
			t.Logf("peak heap %d MB", peak>>20)
			NewWithT(t).Expect(peak).To(BeNumerically("<", messagesMemory))
		})
	}
}

// Guards against a host that runs out of memory by what it gets instead of an answer.
func TestEndlessAnswersOfHostsAreGivenUp(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(112 << 20 / 10 * 7))
	for name, test := range endlessMessages {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						_ = sendEndlessly(conn, test.first, test.repeated)
					}()
				}
			}()
			_, client := serve(t, rpc.NewServer())
			peak := fake.PeakHeap(func() {
				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
				defer cancel()
				_, err := rpc.Call[empty, empty](ctx, client, listener.Addr().String(), "/test/Any", &empty{})
				g.Expect(err).To(HaveOccurred())
				g.Expect(ctx.Err()).NotTo(HaveOccurred(), "they are given up before the deadline")
			})
			t.Logf("peak heap %d MB", peak>>20)
			g.Expect(peak).To(BeNumerically("<", messagesMemory))
		})
	}
}

type blob struct {
	Data []byte `cbor:"1,keyasint"`
}

// Guards against limits that keep a host from what other hosts send it.
func TestMessageOfTheSizeOfTheLargestDocumentArrives(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(112 << 20 / 10 * 7))
	g := NewWithT(t)
	srv := rpc.NewServer()
	rpc.Handle(srv, "/test/Echo", func(_ context.Context, b *blob) (*blob, error) { return b, nil })
	address, client := serve(t, srv)
	for range 3 {
		sent := &blob{Data: make([]byte, 9<<20)}
		got, err := rpc.Call[blob, blob](t.Context(), client, address, "/test/Echo", sent)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Data).To(HaveLen(len(sent.Data)))
	}
}
