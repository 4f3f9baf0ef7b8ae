package failure_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/settings"
)

// TestHostsConnectOverMutualTLS runs hosts with certificates from godwitbendctl:
// they form a fleet, and rejoin it when restarted one by one.
func TestHostsConnectOverMutualTLS(t *testing.T) {
	skipIfShort(t)
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	dir := t.TempDir()
	certs := filepath.Join(dir, "certs")
	fleet, err := harness.NewFleet(harness.FleetOptions{
		Bin: bin, Dir: dir, Subnet: subnet(), Hosts: 3, ControlHosts: 3, Zones: 3,
		Adjust: func(s *settings.Settings) {
			s.DrainDelay.Duration = 0
			s.TLS = settings.TLS{
				CAFile:   filepath.Join(certs, "ca.pem"),
				CertFile: filepath.Join(certs, s.Host+".pem"),
				KeyFile:  filepath.Join(certs, s.Host+"-key.pem"),
			}
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer fleet.Kill()
	args := []string{"certs", "--dir", certs}
	for i, h := range fleet.Hosts {
		args = append(args, "--host", fmt.Sprintf("%s=%s.%d", h.Settings.Host, subnet(), i+2))
	}
	_, err = fleet.Ctl(ctx, fleet.Hosts[0], args...)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fleet.StartHosts()).To(Succeed())
	g.Expect(fleet.AwaitReady(ctx)).To(Succeed())

	_, err = fleet.Ctl(ctx, fleet.Hosts[0], "organisation", "create", "o")
	g.Expect(err).NotTo(HaveOccurred())
	for i, h := range fleet.Hosts {
		h.Terminate()
		g.Expect(h.AwaitExit(time.Minute)).To(Succeed())
		g.Expect(fleet.StartHost(h)).To(Succeed())
		g.Expect(fleet.AwaitHostReady(ctx, h)).To(Succeed())
		_, err = fleet.Ctl(ctx, h, "organisation", "apply", "o", "--display-name", fmt.Sprintf("after restart %d", i+1))
		g.Expect(err).NotTo(HaveOccurred())
	}
	out, err := fleet.Ctl(ctx, fleet.Hosts[0], "organisation", "get", "o")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(ContainSubstring("after restart 3"))
	g.Expect(harness.Await(ctx, "the metrics report the host as ready", func(ctx context.Context) error {
		return findMetric(ctx, fleet.Hosts[0], "godwitbend_ready 1")
	})).To(Succeed())
	g.Expect(fleet.Stop()).To(Succeed())
	for _, h := range fleet.Hosts {
		_, tail, _ := strings.Cut(h.LogTail(), "\n")
		for line := range strings.Lines(tail) {
			g.Expect(json.Valid([]byte(line))).To(BeTrue(), line)
		}
	}
}

// findMetric returns an error unless line is on the metrics page of h.
func findMetric(ctx context.Context, h *harness.Host, line string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.OperatorsURL()+"/metrics", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	if err == nil && !strings.Contains(string(page), "\n"+line+"\n") {
		err = fmt.Errorf("no line %q", line)
	}
	return err
}
