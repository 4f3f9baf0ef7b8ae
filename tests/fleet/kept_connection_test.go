package fleet_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// keptConnection is a caller's connection to a host that carries one request after another.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
	sent   int
}

func (s *site) keepConnection(h *host) *keptConnection {
	conn, err := s.net.Node(callersNode).DialHost(context.Background(), h.settings.Listen.Callers)
	s.Expect(err).NotTo(HaveOccurred())
	return &keptConnection{Conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request and returns the status of the answer, and whether it asks to leave the connection.
func (c *keptConnection) send() (status int, leave bool, err error) {
	c.sent++
	_, err = fmt.Fprintf(c, "POST /services/%s/series/a/next HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %p-%d\r\nContent-Length: 0\r\n\r\n",
		plainName, callerKey, c, c.sent)
	if err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Close, err
}

// Guards against a stop that closes kept connections on which requests are under way.
func TestStoppingHostAnswersRequestsUnderWayOnKeptConnections(t *testing.T) {
	const drainDelay = 2 * time.Second
	for name, test := range map[string]struct {
		after  time.Duration
		status int
	}{
		"as the stop begins":          {0, http.StatusOK},
		"as new requests are refused": {drainDelay, http.StatusServiceUnavailable},
		"shortly after":               {drainDelay + 300*time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, siteOptions{hosts: 4, control: 3, adjust: func(s *settings.Settings) { s.DrainDelay.Duration = drainDelay }}, func(s *site) {
				stopping := s.hosts[3]
				c := s.keepConnection(stopping)
				defer func() { _ = c.Close() }()
				status, leave, err := c.send()
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(status).To(Equal(http.StatusOK))
				s.Expect(leave).To(BeFalse())
				sendAt := time.Now().Add(test.after)
				time.AfterFunc(50*time.Millisecond, stopping.cancel)
				time.Sleep(time.Until(sendAt))
				s.net.Cut(callersNode, stopping.name)
				time.AfterFunc(100*time.Millisecond, func() { s.net.Heal(callersNode, stopping.name) })
				status, leave, err = c.send()
				s.Expect(err).NotTo(HaveOccurred())
				s.Expect(status).To(Equal(test.status))
				s.Expect(leave).To(BeTrue(), "asked to leave the connection")
				s.drain(stopping)
				stopping.done <- nil
			})
		})
	}
}

// Guards against a stop that closes kept connections of operators on which calls are under way.
func TestStoppingHostAnswersCallsOfOperatorsUnderWay(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		stopping := s.hosts[3]
		time.AfterFunc(time.Second, stopping.cancel)
		answered := 0
		for {
			conn, err := s.net.Node(operatorsNode).DialHost(context.Background(), stopping.settings.Listen.Operators)
			if err != nil {
				break // the host accepts no more
			}
			reader := bufio.NewReader(conn)
			for leave := false; !leave; answered++ {
				s.net.Cut(operatorsNode, stopping.name)
				time.AfterFunc(20*time.Millisecond, func() { s.net.Heal(operatorsNode, stopping.name) })
				_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", operatorapi.PathUsage, operatorKey)
				s.Expect(err).NotTo(HaveOccurred(), "call %d", answered)
				resp, err := http.ReadResponse(reader, nil)
				s.Expect(err).NotTo(HaveOccurred(), "call %d", answered)
				_, err = io.Copy(io.Discard, resp.Body)
				s.Expect(err).NotTo(HaveOccurred())
				leave = resp.Close
			}
			_ = conn.Close()
		}
		s.Expect(answered).To(BeNumerically(">", 50))
		s.drain(stopping)
		stopping.done <- nil
	})
}
