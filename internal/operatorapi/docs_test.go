package operatorapi

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestDocsListEveryRoute(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATORS-API.md")
	g.Expect(err).NotTo(HaveOccurred())
	s := &server{}
	for _, r := range s.routes() {
		path := strings.ReplaceAll(r.path, "{id}", "{operation id}")
		for _, plural := range plurals {
			path = strings.ReplaceAll(path, "/"+plural+"/{name}", "/{plural}/{name}")
		}
		path = strings.ReplaceAll(path, "{plural}/{name}"+PathTopUps, "budgets/{name}"+PathTopUps)
		listed := strings.Contains(string(page), r.path) || strings.Contains(string(page), path)
		g.Expect(listed).To(BeTrue(), r.method+" "+r.path)
	}
}
