package fleet_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/ctl"
)

// lossyTransport drops the answer of the first request after calling onLoss. With a nil
// onLoss it drops nothing.
type lossyTransport struct {
	http.RoundTripper
	onLoss func()
}

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.RoundTripper.RoundTrip(r)
	if l.onLoss == nil || err != nil {
		return response, err
	}
	l.onLoss()
	l.onLoss = nil
	_ = response.Body.Close()
	return nil, errors.New("answer dropped by the test")
}

// ctl runs godwitbendctl against all hosts and returns the exit code and the output.
// If onLoss is set, it is called after the first call and the answer is dropped.
func (s *site) ctl(onLoss func(), args ...string) (int, string) {
	key := filepath.Join(s.t.TempDir(), "operator.key")
	s.Expect(os.WriteFile(key, []byte(operatorKey), 0o600)).To(Succeed())
	var servers []string
	for _, h := range s.hosts {
		servers = append(servers, h.settings.Listen.Operators)
	}
	client := s.net.Node(operatorsNode).Client()
	defer client.CloseIdleConnections()
	var out bytes.Buffer
	tool := &ctl.Tool{Stdout: &out, Stderr: &out, Transport: &lossyTransport{client.Transport, onLoss}}
	all := append([]string{"--key-file", key, "--server", strings.Join(servers, ","), "--timeout", "2m"}, args...)
	return tool.Run(context.Background(), all), out.String()
}

// TestTopUpsApplyOnceAcrossLeaderIsolation tops up alternately just after the leader was
// isolated, and with the answer dropped and the leader isolated after it applied the top-up.
func TestTopUpsApplyOnceAcrossLeaderIsolation(t *testing.T) {
	run(t, siteOptions{hosts: 3, control: 3}, func(s *site) {
		const rounds, tokens = 8, 10
		before := s.budget(s.hosts[0]).PaidIn
		for round := range rounds {
			leader := s.leader()
			var others []*host
			for _, h := range s.hosts {
				if h != leader {
					others = append(others, h)
				}
			}
			isolateLeader := func() { s.net.Partition(hostNames(leader), hostNames(others...)) }
			onLoss := isolateLeader
			if round%2 == 0 {
				isolateLeader()
				onLoss = nil
			}
			code, out := s.ctl(onLoss, "budget", "top-up", "b", "--tokens", "10")
			s.Expect(code).To(BeZero(), out)
			s.Expect(s.budget(others[0]).PaidIn).To(Equal(before + int64(round+1)*tokens))
			s.net.HealAll()
			time.Sleep(settleTime)
			s.Expect(s.budget(leader).PaidIn).To(Equal(before + int64(round+1)*tokens))
		}
	})
}

// TestChangePendingThenAcceptedDuringIsolation repeats a change under one operation id
// while a host is isolated: pending without waiting, accepted after waiting.
func TestChangePendingThenAcceptedDuringIsolation(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		s.net.Partition(hostNames(s.hosts[3]), hostNames(s.hosts[:3]...))
		change := []string{"--operation-id", "x", "organisation", "apply", "o", "--display-name", "one"}
		code, out := s.ctl(nil, append([]string{"--no-wait"}, change...)...)
		s.Expect(code).To(Equal(3), out)
		code, out = s.ctl(nil, change...)
		s.Expect(code).To(BeZero(), out)
		s.Expect(out).To(ContainSubstring("accepted"))
	})
}
