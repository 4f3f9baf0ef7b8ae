package upstreamhttp_test

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
)

// Guards against sound upstreams that count as unreachable because the process did not run while it connected to them.
func TestTimeoutOfAStalledProcessIsNoFailureOfTheUpstream(t *testing.T) {
	const stall = 500 * time.Millisecond
	for name, test := range map[string]struct {
		delays    []time.Duration
		attempts  int
		connected bool
	}{
		"stalled once":       {[]time.Duration{stall}, 2, true},
		"stalled twice":      {[]time.Duration{stall, stall}, 2, false},
		"timed out":          {[]time.Duration{0, 0}, 1, false},
		"timer barely late":  {[]time.Duration{20 * time.Millisecond, 0}, 1, false},
		"stalled, then lost": {[]time.Duration{stall, 0}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				attempts := 0
				d := upstreamhttp.NewDialer(func(_ context.Context, _ string, timeout time.Duration) (net.Conn, error) {
					attempts++
					if attempts > len(test.delays) {
						conn, _ := net.Pipe()
						return conn, nil
					}
					time.Sleep(timeout + test.delays[attempts-1])
					return nil, os.ErrDeadlineExceeded
				})
				conn, err := d.Dial(t.Context(), "upstream")
				g.Expect(attempts).To(Equal(test.attempts))
				g.Expect(err == nil).To(Equal(test.connected))
				g.Expect(conn != nil).To(Equal(test.connected))
			})
		})
	}
}
