package telemetry_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/telemetry"
)

func TestBoundedWriterLimitsBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var out bytes.Buffer
		w := telemetry.NewBoundedWriter(&out)
		for range 5000 {
			n, err := w.Write([]byte("line\n"))
			g.Expect(n).To(Equal(5))
			g.Expect(err).NotTo(HaveOccurred())
			synctest.Wait()
		}
		w.Close()
		lines := strings.Count(out.String(), "line\n")
		g.Expect(lines).To(And(BeNumerically(">=", 900), BeNumerically("<", 1000)))
		n, err := w.Write([]byte("late\n"))
		g.Expect(n).To(Equal(5))
		g.Expect(err).NotTo(HaveOccurred())
		w.Close()
	})
}

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := blockedWriter{make(chan struct{})}
		w := telemetry.NewBoundedWriter(b)
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
		}
		close(b.release)
		w.Close()
	})
}
