package settings_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/settings"
)

const gatewaySettings = `{"host": "g1", "zone": "a", "role": "gateway", "seeds": ["10.0.0.1:80"],
	"listen": {"callers": "10.0.0.9:80", "readiness": "10.0.0.9:81", "hosts": "10.0.0.9:7000"}}`

func TestParseNodeAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	n, err := settings.ParseNode([]byte(gatewaySettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.MemoryMB).To(Equal(128))
	g.Expect(n.StopTimeout.Duration).To(Equal(8 * time.Second))
	g.Expect(n.Retries.Window.Duration).To(Equal(10 * time.Second))
}

func TestParseNodeReportsFaults(t *testing.T) {
	for want, text := range map[string]string{
		"role":             strings.Replace(gatewaySettings, "gateway", "router", 1),
		"listen.callers":   strings.Replace(gatewaySettings, `"callers": "10.0.0.9:80", `, "", 1),
		"listen.readiness": strings.Replace(gatewaySettings, `"10.0.0.9:81"`, `"here"`, 1),
		"data_dir":         strings.Replace(gatewaySettings, "gateway", "control", 1),
		"listen.control":   strings.Replace(gatewaySettings, "gateway", "control", 1),
		"seeds":            strings.Replace(gatewaySettings, `["10.0.0.1:80"]`, "[]", 1),
		"host":             strings.Replace(gatewaySettings, `"g1"`, `""`, 1),
		"memory_mb":        strings.Replace(gatewaySettings, `"zone"`, `"memory_mb": 1, "zone"`, 1),
		"retries.ratio":    strings.Replace(gatewaySettings, `"zone"`, `"retries": {"ratio": 2}, "zone"`, 1),
		"log.level":        strings.Replace(gatewaySettings, `"zone"`, `"log": {"level": "loud"}, "zone"`, 1),
		"unknown":          strings.Replace(gatewaySettings, `"zone"`, `"unknown": 1, "zone"`, 1),
		"not JSON":         "{",
	} {
		t.Run(want, func(t *testing.T) {
			_, err := settings.ParseNode([]byte(text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
		})
	}
	_, err := settings.LoadNode("/nonexistent/settings.json")
	NewWithT(t).Expect(err).To(HaveOccurred())
}
