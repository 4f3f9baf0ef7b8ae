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

// watchInterval is the time between two looks at the settings file, which may
// change without a signal.
const watchInterval = 2 * time.Second

// watched are the settings of the host, with the seeds of the latest file. All
// else takes effect at the next start.
type watched struct {
	*settings.Node
	path  string
	seeds atomic.Pointer[[]string]
}

func newWatched(path string, s *settings.Node) *watched {
	w := &watched{Node: s, path: path}
	seeds := hostAddresses(s)
	w.seeds.Store(&seeds)
	return w
}

// hostSeeds returns the addresses of the present seeds for other hosts.
func (w *watched) hostSeeds() []string { return slices.Clone(*w.seeds.Load()) }

// run looks at the file until ctx ends. SIGHUP stays caught afterwards: its
// default action would end a process that is still answering requests.
func (w *watched) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			klog.InfoS("reload requested")
		case <-ticker.C:
		}
		w.reload()
	}
}

func (w *watched) reload() {
	next, err := settings.LoadNode(w.path)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded")
		return
	}
	seeds := hostAddresses(next)
	if !slices.Equal(seeds, *w.seeds.Load()) {
		w.seeds.Store(&seeds)
		klog.InfoS("settings reloaded", "seeds", seeds)
	}
}
