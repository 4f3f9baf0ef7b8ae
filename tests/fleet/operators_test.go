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

// lostAnswer sends the first request, loses its answer and then calls after.
type lostAnswer struct {
	http.RoundTripper
	after func()
}

// RoundTrip implements http.RoundTripper.
func (l *lostAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.RoundTripper.RoundTrip(r)
	if l.after == nil || err != nil {
		return response, err
	}
	l.after()
	l.after = nil
	_ = response.Body.Close()
	return nil, errors.New("the answer was lost")
}

// ctl runs godwitbendctl against all hosts and returns the exit code and the
// output. If lost is set, the answer of the first call is lost before it.
func (s *site) ctl(lost func(), args ...string) (int, string) {
	key := filepath.Join(s.t.TempDir(), "operator.key")
	s.Expect(os.WriteFile(key, []byte(operatorKey), 0o600)).To(Succeed())
	var servers []string
	for _, h := range s.hosts {
		servers = append(servers, h.settings.Listen.Operators)
	}
	client := s.net.Node(operators).Client()
	defer client.CloseIdleConnections()
	var out bytes.Buffer
	tool := &ctl.Tool{Stdout: &out, Stderr: &out, Transport: &lostAnswer{client.Transport, lost}}
	all := append([]string{"--key-file", key, "--server", strings.Join(servers, ","), "--timeout", "2m"}, args...)
	return tool.Run(context.Background(), all), out.String()
}

// In every second round the top-up meets a leader that has just been cut off; in the
// others its answer is lost and the leader that made it is cut off.
func TestTopUpsAreMadeOnceWhileLeadersAreCutOff(t *testing.T) {
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
			cut := func() { s.net.Partition(names(leader), names(others...)) }
			lost := cut
			if round%2 == 0 {
				cut()
				lost = nil
			}
			code, out := s.ctl(lost, "budget", "top-up", "b", "--tokens", "10")
			s.Expect(code).To(BeZero(), out)
			s.Expect(s.budget(others[0]).PaidIn).To(Equal(before + int64(round+1)*tokens))
			s.net.HealAll()
			time.Sleep(settle)
			s.Expect(s.budget(leader).PaidIn).To(Equal(before + int64(round+1)*tokens))
		}
	})
}

func TestChangeIsPendingWhileAHostIsCutOffAndThenAccepted(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		s.net.Partition(names(s.hosts[3]), names(s.hosts[:3]...))
		change := []string{"--operation-id", "x", "organisation", "apply", "o", "--display-name", "one"}
		code, out := s.ctl(nil, append([]string{"--no-wait"}, change...)...)
		s.Expect(code).To(Equal(3), out)
		code, out = s.ctl(nil, change...)
		s.Expect(code).To(BeZero(), out)
		s.Expect(out).To(ContainSubstring("accepted"))
	})
}
