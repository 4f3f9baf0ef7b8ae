package telemetry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"log"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

func TestLogRedactsSecrets(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(telemetry.SetupLog(&out, "info", "a")).To(Succeed())
	telemetry.RequestLogger("r1", "org").Info("served", "key", "gwb_secret", "prompt", "a secret text")
	klog.V(2).InfoS("hidden")
	klog.Flush()
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed(), out.String())
	g.Expect(line).To(HaveKeyWithValue("host", "a"))
	g.Expect(line).To(HaveKeyWithValue("request_id", "r1"))
	g.Expect(line).To(HaveKeyWithValue("organisation", "org"))
	g.Expect(out.String()).NotTo(ContainSubstring("secret"))
}

func TestEveryLoggerWritesJSONLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	g.Expect(telemetry.SetupLog(&out, "info", "a")).To(Succeed())
	slog.Info("request refused", "body", "a secret text")
	log.Print("http: fault")
	klog.InfoS("host started")
	klog.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(3))
	for _, line := range lines {
		var fields map[string]any
		g.Expect(json.Unmarshal([]byte(line), &fields)).To(Succeed(), line)
		g.Expect(fields).To(HaveKeyWithValue("host", "a"))
	}
	g.Expect(out.String()).NotTo(ContainSubstring("secret"))
}

func TestLogLevels(t *testing.T) {
	for level, want := range map[string][]string{
		"debug": {"detail", "note", "fault"}, "info": {"note", "fault"}, "warning": {"fault"}, "error": {"fault"},
	} {
		t.Run(level, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			g.Expect(telemetry.SetupLog(&out, level, "a")).To(Succeed())
			klog.V(4).InfoS("detail")
			klog.InfoS("note")
			klog.ErrorS(errors.New("cause"), "fault")
			var got []string
			for decoder := json.NewDecoder(&out); decoder.More(); {
				var line struct {
					Msg string `json:"msg"`
				}
				g.Expect(decoder.Decode(&line)).To(Succeed())
				got = append(got, line.Msg)
			}
			g.Expect(got).To(Equal(want))
		})
	}
	NewWithT(t).Expect(telemetry.SetupLog(&bytes.Buffer{}, "loud", "a")).NotTo(Succeed())
}

func TestMetricsAreIndependent(t *testing.T) {
	g := NewWithT(t)
	first, err := telemetry.NewMetrics()
	g.Expect(err).NotTo(HaveOccurred())
	second, err := telemetry.NewMetrics()
	g.Expect(err).NotTo(HaveOccurred())
	telemetry.Refusal(first.Scope, errkind.Draining).Inc(1)
	g.Expect(first.Close()).To(Succeed())
	g.Expect(second.Close()).To(Succeed())
	_, text := get(second.Handler, telemetry.PathMetrics)
	g.Expect(text).To(ContainSubstring(`godwitbend_refusals{kind="draining"} 0`))
}

func get(mux http.Handler, path string) (int, string) {
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}

func TestMetricsAndHealthEndpoints(t *testing.T) {
	g := NewWithT(t)
	metrics, err := telemetry.NewMetrics()
	g.Expect(err).NotTo(HaveOccurred())
	telemetry.Refusal(metrics.Scope, errkind.Overloaded).Inc(3)
	telemetry.Retry(metrics.Scope, "timeout").Inc(2)
	g.Expect(metrics.Close()).To(Succeed())
	mux := http.NewServeMux()
	reason := errors.New("draining")
	telemetry.Register(mux, metrics.Handler, func() error { return reason })

	_, text := get(mux, telemetry.PathMetrics)
	g.Expect(text).To(ContainSubstring(`godwitbend_refusals{kind="overloaded"} 3`))
	g.Expect(text).To(ContainSubstring(`godwitbend_retries{reason="timeout"} 2`))
	for _, kind := range errkind.Kinds() {
		g.Expect(text).To(ContainSubstring(`godwitbend_refusals{kind="` + string(kind) + `"}`))
	}
	code, _ := get(mux, telemetry.PathHealth)
	g.Expect(code).To(Equal(http.StatusOK))
	code, text = get(mux, telemetry.PathReady)
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(text).To(Equal("draining\n"))
	reason = nil
	code, _ = get(mux, telemetry.PathReady)
	g.Expect(code).To(Equal(http.StatusOK))
}
