package settings_test

import (
	"fmt"
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
	g.Expect(n.MemoryMB).To(BeEquivalentTo(128))
	g.Expect(n.StopTimeout.Duration).To(Equal(8 * time.Second))
	g.Expect(n.Retries.Window.Duration).To(Equal(10 * time.Second))
	g.Expect(n.Admission.Order).To(Equal(settings.OrderByRank))
}

// A platform that plays a fleet at a fraction of its size scales the bound on retries with it.
func TestParseNodeAcceptsFractions(t *testing.T) {
	g := NewWithT(t)
	text := strings.Replace(gatewaySettings, `"zone"`,
		`"memory_mb": 87.5, "stop_timeout": "7.5s", "retries": {"ratio": 0.15, "slack": 32.73, "window": "2.5s"}, "zone"`, 1)
	n, err := settings.ParseNode([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.MemoryMB).To(BeEquivalentTo(87.5))
	g.Expect(n.StopTimeout.Duration).To(Equal(7500 * time.Millisecond))
	g.Expect(n.Retries).To(Equal(settings.Retries{Ratio: 0.15, Slack: 32.73, Window: settings.Duration{Duration: 2500 * time.Millisecond}}))
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
		"warm_up.burst":    strings.Replace(gatewaySettings, `"zone"`, `"warm_up": {"burst": -1}, "zone"`, 1),
		"retries.slack":    strings.Replace(gatewaySettings, `"zone"`, `"retries": {"slack": -0.5}, "zone"`, 1),
		"a number, not":    strings.Replace(gatewaySettings, `"zone"`, `"retries": {"slack": "many"}, "zone"`, 1),
		"admission.order":  strings.Replace(gatewaySettings, `"zone"`, `"admission": {"order": "size"}, "zone"`, 1),
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

func FuzzParseNode(f *testing.F) {
	f.Add(gatewaySettings)
	for _, odd := range []string{
		strings.Repeat("[", 10_001), "1e999", "-1", "9223372036854775808", `"1e999s"`, `"99999999h"`, "null", "{}",
	} {
		for _, name := range []string{"memory_mb", "stop_timeout", "seeds", "listen", "retries"} {
			f.Add(strings.Replace(gatewaySettings, `"host"`, fmt.Sprintf("%q: %s, %q", name, odd, "host"), 1))
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, err := settings.ParseNode([]byte(text))
		if err == nil && (n.MemoryMB <= 0 || n.StopTimeout.Duration <= 0 || n.Retries.Window.Duration <= 0) {
			t.Fatalf("accepted %q", text)
		}
	})
}
