package node

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is read again, as it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

// watchedSettings holds the settings of the host and reloads the seeds from the settings
// file. Changes of other settings take effect at the next start.
type watchedSettings struct {
	*settings.Node
	path   string
	seeds  atomic.Pointer[[]string]
	hangup chan os.Signal
}

// newWatchedSettings catches SIGHUP from its return on.
func newWatchedSettings(path string, s *settings.Node) *watchedSettings {
	w := &watchedSettings{Node: s, path: path, hangup: make(chan os.Signal, 1)}
	signal.Notify(w.hangup, syscall.SIGHUP)
	seeds := seedAddresses(s)
	w.seeds.Store(&seeds)
	return w
}

// hostSeeds returns the addresses on which the current seeds listen for other hosts.
func (w *watchedSettings) hostSeeds() []string { return slices.Clone(*w.seeds.Load()) }

// watch reloads the settings file on SIGHUP and at intervals until ctx ends. SIGHUP
// stays caught afterwards, as its default action would terminate a process that is
// still answering requests.
func (w *watchedSettings) watch(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.hangup:
			klog.InfoS("reload requested")
		case <-ticker.C:
		}
		w.reload()
	}
}

func (w *watchedSettings) reload() {
	next, err := settings.LoadNode(w.path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded")
		return
	}
	seeds := seedAddresses(next)
	if !slices.Equal(seeds, *w.seeds.Load()) {
		w.seeds.Store(&seeds)
		klog.InfoS("settings reloaded", "seeds", seeds)
	}
}
