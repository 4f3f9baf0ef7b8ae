package ctl_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/ctl"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// commandFence starts a block of command lines in a page.
const commandFence = "```sh ctl\n"

// commandsIn returns the command lines in the blocks of a page that start with commandFence.
func commandsIn(page string) []string {
	var lines []string
	for _, block := range strings.Split(page, commandFence)[1:] {
		block, _, _ = strings.Cut(block, "```")
		lines = append(lines, strings.Split(strings.TrimSpace(block), "\n")...)
	}
	return lines
}

// splitWords splits a command line at spaces outside quotes, up to a redirection.
func splitWords(line string) []string {
	line, _, _ = strings.Cut(line, " > ")
	var list []string
	var word strings.Builder
	quote := rune(0)
	for _, c := range line + " " {
		switch {
		case quote != 0 && c == quote:
			quote = 0
		case quote == 0 && (c == '\'' || c == '"'):
			quote = c
		case quote == 0 && c == ' ':
			if word.Len() > 0 {
				list = append(list, word.String())
			}
			word.Reset()
		default:
			word.WriteRune(c)
		}
	}
	return list
}

func TestDocCommandsAreValid(t *testing.T) {
	g := NewWithT(t)
	for _, path := range []string{"../../docs/OPERATIONS.md", "../../README.md"} {
		page, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		commands := commandsIn(string(page))
		g.Expect(commands).NotTo(BeEmpty(), path)
		for _, line := range commands {
			args := splitWords(line)
			g.Expect(args[0]).To(Equal("godwitbendctl"), line)
			g.Expect(ctl.Check(args[1:])).To(Succeed(), line)
		}
	}
}

// createPrerequisites creates the request or grant that a command of the page refers to.
func createPrerequisites(r *rig, line string) {
	const session = "entry-4-1b4e28ba-2fa1-11d2-883f-0016d3cca427"
	switch {
	case strings.Contains(line, "request get"):
		r.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
			RequestID: "3f2a9c0d5e6b7a8899aabbccddeeff00", Organisation: "carvalho", Caller: "bakery-12",
			Budget: "carvalho-main", Service: "assistant", BodyHash: "x", Tokens: 5, Session: "s1",
		}})
	case strings.Contains(line, "grant write-off"):
		r.execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{
			Session: session, Host: "entry-4", Zone: "z", Address: "127.0.0.5:1", SchemaMin: 1, SchemaMax: 2,
		}})
		r.execute(&controlapi.Command{Grant: &controlapi.GrantRequest{Session: session, Budget: "carvalho-main", Total: 50}})
		r.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: session}})
	}
}

func TestOperationsPageCommandsRun(t *testing.T) {
	r := newRig(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	r.Expect(err).NotTo(HaveOccurred())
	t.Chdir(t.TempDir())
	records := []byte(`{"kind": "organisation", "name": "of-the-file", "spec": {}}`)
	r.Expect(os.WriteFile("records.json", records, 0o600)).To(Succeed())
	for _, line := range commandsIn(string(page)) {
		createPrerequisites(r, line)
		out := r.mustRun(splitWords(line)[1:]...)
		if _, file, redirected := strings.Cut(line, " > "); redirected {
			r.Expect(os.WriteFile(file, []byte(out), 0o600)).To(Succeed())
		}
	}
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestDocLinksResolve(t *testing.T) {
	g := NewWithT(t)
	pages, err := filepath.Glob("../../docs/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, path := range append(pages, "../../README.md") {
		page, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		for _, found := range link.FindAllStringSubmatch(string(page), -1) {
			g.Expect(filepath.Join(filepath.Dir(path), found[1])).To(BeAnExistingFile(), path)
		}
	}
}

func TestArchitecturePageListsPackages(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/ARCHITECTURE.md")
	g.Expect(err).NotTo(HaveOccurred())
	packages, err := os.ReadDir("..")
	g.Expect(err).NotTo(HaveOccurred())
	for _, p := range packages {
		g.Expect(string(page)).To(ContainSubstring("`" + p.Name() + "`"))
	}
}

func TestCheckRejectsInvalidCommands(t *testing.T) {
	g := NewWithT(t)
	for _, line := range []string{"sing", "caller create", "budget top-up b", "usage --loud", "order u --action sing"} {
		g.Expect(ctl.Check(splitWords(line))).NotTo(Succeed(), line)
	}
}

func TestErrorKindsAreDocumented(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, kind := range errkind.Kinds() {
		g.Expect(strings.Count(string(page), "| `"+string(kind)+"` | ")).To(Equal(1), string(kind))
	}
}
