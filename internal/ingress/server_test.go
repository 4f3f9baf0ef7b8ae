package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/ingress"
)

const bodyLimit = 1 << 20

// serve starts a server that answers with the size of the body, and returns its address.
func serve(t *testing.T, o ingress.Options, limits ingress.Limits) string {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	bounded := ingress.NewBudget(o).Listen(listener, ingress.Callers, func() ingress.Limits { return limits })
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ingress.ReadBody(r, bodyLimit, 0)
		if err != nil {
			w.Header().Set("Connection", "close")
			errkind.From(err).WriteHeader(w)
			return
		}
		_, _ = fmt.Fprint(w, r.URL.Path, len(body))
	})}
	bounded.Instrument(srv)
	go func() { _ = srv.Serve(bounded) }()
	t.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

// answers sends text in one connection and returns the answers to n requests.
func answers(g *WithT, address, text string, n int) (list []string) {
	conn, err := net.Dial("tcp4", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(conn, text) }()
	reader := bufio.NewReader(conn)
	for range n {
		answer, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		g.Expect(err).NotTo(HaveOccurred())
		list = append(list, fmt.Sprint(answer.StatusCode, " ", string(body)))
	}
	return list
}

// Guards against requests on one connection that are read as parts of each other, as bytes are kept and lengths are followed.
func TestRequestsBehindEachOtherAreReadApart(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, ingress.Options{Memory: 64 << 20}, ingress.Limits{HeaderBytes: 1000})
	text := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345" +
		"GET /b HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
		"POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000) +
		"GET /e HTTP/1.1\r\nHost: h\r\n\r\n"
	for range 20 {
		g.Expect(answers(g, address, text, 5)).To(Equal([]string{"200 /a5", "200 /b0", "200 /c3", "200 /d100000", "200 /e0"}))
	}
}

// Guards against refusals that are lost, as the connection is reset while the client still sends.
func TestRefusalReachesAClientThatStillSends(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, ingress.Options{Memory: 4 << 20}, ingress.Limits{HeaderBytes: 1000})
	long := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("b", 100_000)
	g.Expect(answers(g, address, long, 1)[0]).To(HavePrefix("431"))
	lines := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 10_000)
	address = serve(t, ingress.Options{Memory: 1 << 20}, ingress.Limits{})
	g.Expect(answers(g, address, lines, 1)[0]).To(HavePrefix("503"))
}

// Guards against clients that evict each other and wait for each other.
func TestClientsThatEvictEachOtherDoNotWait(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, ingress.Options{Memory: 4 << 20, StallTime: time.Millisecond}, ingress.Limits{})
	var all sync.WaitGroup
	for range 64 {
		all.Go(func() {
			for range 5 {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"+strings.Repeat("x", 800_000))
				_ = conn.Close()
			}
		})
	}
	all.Wait()
	g.Eventually(func() string {
		return answers(g, address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 1)[0]
	}, "10s").Should(Equal("200 /a0"))
}

// Guards against encrypted connections whose heads are not bounded, or that are read wrong as they can't be looked into.
func TestEncryptedConnectionsAreBoundedAndServed(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	limits := ingress.Limits{HeaderBytes: 4000, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	bounded := ingress.NewBudget(ingress.Options{Memory: 16 << 20}).Listen(listener, ingress.Operators, func() ingress.Limits { return limits }).Opaque()
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ingress.ReadBody(r, bodyLimit, 0)
		if err != nil {
			errkind.From(err).WriteHeader(w)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))
	srv.Listener = bounded
	bounded.Instrument(srv.Config)
	srv.StartTLS()
	defer srv.Close()
	post := func(header string, body int) (int, string) {
		req, err := http.NewRequest(http.MethodPost, srv.URL, strings.NewReader(strings.Repeat("x", body)))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("A", header)
		answer, err := srv.Client().Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = answer.Body.Close() }()
		data, err := io.ReadAll(answer.Body)
		g.Expect(err).NotTo(HaveOccurred())
		return answer.StatusCode, string(data)
	}
	for _, size := range []int{0, 10, 100_000, 900_000, 10} {
		status, body := post("a", size)
		g.Expect(status).To(Equal(http.StatusOK))
		g.Expect(body).To(Equal(fmt.Sprint(size)))
	}
	status, _ := post(strings.Repeat("a", 20_000), 10)
	g.Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}
