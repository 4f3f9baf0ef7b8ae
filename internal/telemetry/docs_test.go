package telemetry_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var metricName = regexp.MustCompile(`(?:\.Counter|\.Gauge|counters\.event)\("([a-z_]+)"\)`)

func TestDocsListEveryMetric(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	found := 0
	err = filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, name := range metricName.FindAllStringSubmatch(string(source), -1) {
			found++
			g.Expect(string(page)).To(ContainSubstring("`godwitbend_"+name[1]+"`"), path)
		}
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(BeNumerically(">=", 10))
}
