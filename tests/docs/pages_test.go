// Package docs_test checks pages of the documentation against the repository.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	root       = "../.."
	proofsPage = root + "/docs/PROOFS.md"
	readmePage = root + "/README.md"
)

var (
	// testCommand matches a command of the page that runs one test of one package.
	testCommand = regexp.MustCompile("`go test (\\./[a-z/]+) -run '\\^(Test\\w+)\\$'`")
	// testName matches the name of any test function, testFunc its declaration.
	testName = regexp.MustCompile(`\bTest[A-Z]\w+`)
	testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`)
)

func readFile(g *WithT, path string) string {
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// testNamesIn returns the names of the test functions in a directory.
func testNamesIn(g *WithT, dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	g.Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, file := range files {
		for _, found := range testFunc.FindAllStringSubmatch(readFile(g, file), -1) {
			names = append(names, found[1])
		}
	}
	return names
}

// TestProofsPageNamesExistingTests checks that each command names an existing test, that
// all commands have one form, and that no test is named outside a command.
func TestProofsPageNamesExistingTests(t *testing.T) {
	g := NewWithT(t)
	page := readFile(g, proofsPage)
	commands := testCommand.FindAllStringSubmatch(page, -1)
	g.Expect(commands).NotTo(BeEmpty())
	for _, c := range commands {
		g.Expect(testNamesIn(g, filepath.Join(root, c[1]))).To(ContainElement(c[2]), c[0])
	}
	for _, name := range testName.FindAllString(testCommand.ReplaceAllString(page, ""), -1) {
		t.Errorf("%s is named outside a test command", name)
	}
	g.Expect(strings.Count(page, "go test ./")).To(Equal(len(commands)), "a test command has an unexpected form")
}

// TestProofsPageCoversEveryFailure checks that each section has one row per failure.
func TestProofsPageCoversEveryFailure(t *testing.T) {
	g := NewWithT(t)
	const promises, failures = 8, 9
	sections := strings.Split(readFile(g, proofsPage), "\n## Promise ")[1:]
	g.Expect(sections).To(HaveLen(promises))
	for _, section := range sections {
		section, _, _ = strings.Cut(section, "\n## ")
		title, _, _ := strings.Cut(section, "\n")
		for i := range failures {
			row := "\n| " + string(rune('A'+i)) + " | "
			g.Expect(strings.Count(section, row)).To(Equal(1), "%s: row %c", title, 'A'+i)
		}
	}
}

// TestReadmeLinksEveryPage checks that each page, or its directory, is linked.
func TestReadmeLinksEveryPage(t *testing.T) {
	g := NewWithT(t)
	readme := readFile(g, readmePage)
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		page, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		fileLink := "](" + filepath.ToSlash(page) + ")"
		directoryLink := "](" + filepath.ToSlash(filepath.Dir(page)) + "/)"
		linked := strings.Contains(readme, fileLink) || strings.Contains(readme, directoryLink)
		g.Expect(linked).To(BeTrue(), "%s is not linked from the readme", page)
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
}

// TestReadmeNamesMakeTargets checks that the readme names the make targets a newcomer runs
// first, and that they exist.
func TestReadmeNamesMakeTargets(t *testing.T) {
	g := NewWithT(t)
	readme, makefile := readFile(g, readmePage), readFile(g, filepath.Join(root, "Makefile"))
	for _, target := range []string{"demo", "test"} {
		g.Expect(readme).To(ContainSubstring("make " + target))
		g.Expect(makefile).To(ContainSubstring("\n" + target + ":"))
	}
}
