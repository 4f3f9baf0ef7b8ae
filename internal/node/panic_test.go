package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// Guards against connections of callers that end without a line or a counter that tells why.
func TestPanicsOfRequestsAreCounted(t *testing.T) {
	g := NewWithT(t)
	scope := tally.NewTestScope("", nil)
	server := httptest.NewServer(countPanics(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/panic":
			panic("a fault")
		}
	}), scope))
	defer server.Close()
	for path, whole := range map[string]bool{"/whole": true, "/abort": false, "/panic": false} {
		resp, err := http.Get(server.URL + path)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		g.Expect(err == nil).To(Equal(whole), path)
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	g.Expect(scope.Snapshot().Counters()["request_panics+"].Value()).To(BeEquivalentTo(1))
}
