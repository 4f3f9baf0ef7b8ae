package node

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/settings"
)

const gatewaySettings = `{"host": "g1", "zone": "a", "role": "gateway", "seeds": ["10.0.0.1:80"],
	"listen": {"callers": "10.0.0.9:80", "readiness": "10.0.0.9:81", "hosts": "10.0.0.9:7000"}}`

func loadTestSettings(g *WithT, dir string) *watchedSettings {
	path := filepath.Join(dir, "settings.json")
	g.Expect(os.WriteFile(path, []byte(gatewaySettings), 0o600)).To(Succeed())
	s, err := settings.LoadNode(path)
	g.Expect(err).NotTo(HaveOccurred())
	return newWatchedSettings(path, s)
}

// A draining host receives SIGHUP for changed settings while it still answers requests.
// Found by a randomised simulation (heraut-klok, mix, seed 813159249728).
func TestSIGHUPDoesNotTerminateDrainingHost(t *testing.T) {
	g := NewWithT(t)
	w := loadTestSettings(g, t.TempDir())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.watch(ctx)
	// The default action of SIGHUP would terminate this process.
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGUSR1)
	defer signal.Stop(received)
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Expect(syscall.Kill(os.Getpid(), syscall.SIGUSR1)).To(Succeed())
	g.Eventually(received).Should(Receive())
}

func TestSeedsAreReloadedFromSettingsFile(t *testing.T) {
	g := NewWithT(t)
	w := loadTestSettings(g, t.TempDir())
	g.Expect(w.hostSeeds()).To(Equal([]string{"10.0.0.1:7000"}))
	changed := []byte(`{"host": "g1", "zone": "a", "role": "gateway", "seeds": ["10.0.0.2:80", "10.0.0.3:80"],
		"listen": {"callers": "10.0.0.9:80", "readiness": "10.0.0.9:81", "hosts": "10.0.0.9:7000"}}`)
	g.Expect(os.WriteFile(w.path, changed, 0o600)).To(Succeed())
	w.reload()
	g.Expect(w.hostSeeds()).To(Equal([]string{"10.0.0.2:7000", "10.0.0.3:7000"}))
	g.Expect(os.WriteFile(w.path, []byte("{"), 0o600)).To(Succeed())
	w.reload()
	g.Expect(w.hostSeeds()).To(Equal([]string{"10.0.0.2:7000", "10.0.0.3:7000"}), "an invalid file leaves the seeds unchanged")
}
