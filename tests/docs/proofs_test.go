// Package docs_test checks pages of the documentation against the tree.
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
	// command is a command of the page that runs one test of one package.
	command = regexp.MustCompile("`go test (\\./[a-z/]+) -run '\\^(Test\\w+)\\$'`")
	// testName is any name of a test function.
	testName = regexp.MustCompile(`\bTest[A-Z]\w+`)
	testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`)
)

func read(g *WithT, path string) string {
	text, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	return string(text)
}

// testsOf returns the names of the test functions in a directory.
func testsOf(g *WithT, dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	g.Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, file := range files {
		for _, found := range testFunc.FindAllStringSubmatch(read(g, file), -1) {
			names = append(names, found[1])
		}
	}
	return names
}

func TestEveryTestOfTheProofsPageExists(t *testing.T) {
	g := NewWithT(t)
	page := read(g, proofsPage)
	commands := command.FindAllStringSubmatch(page, -1)
	g.Expect(commands).NotTo(BeEmpty())
	for _, c := range commands {
		g.Expect(testsOf(g, filepath.Join(root, c[1]))).To(ContainElement(c[2]), c[0])
	}
	for _, name := range testName.FindAllString(command.ReplaceAllString(page, ""), -1) {
		t.Errorf("%s is named without its command", name)
	}
	g.Expect(strings.Count(page, "go test ./")).To(Equal(len(commands)), "a command has another form")
}

func TestProofsPageHasARowForEachFailure(t *testing.T) {
	g := NewWithT(t)
	const promises, failures = 8, 9
	sections := strings.Split(read(g, proofsPage), "\n## Promise ")[1:]
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

// A page is linked by itself, or by its directory.
func TestReadmeLinksEveryPage(t *testing.T) {
	g := NewWithT(t)
	readme := read(g, readmePage)
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		page, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		itself := "](" + filepath.ToSlash(page) + ")"
		directory := "](" + filepath.ToSlash(filepath.Dir(page)) + "/)"
		linked := strings.Contains(readme, itself) || strings.Contains(readme, directory)
		g.Expect(linked).To(BeTrue(), "%s is not linked", page)
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
}

func TestReadmeNamesTheTwoCommandsOfAFreshMachine(t *testing.T) {
	g := NewWithT(t)
	readme, makefile := read(g, readmePage), read(g, filepath.Join(root, "Makefile"))
	for _, target := range []string{"demo", "test"} {
		g.Expect(readme).To(ContainSubstring("make " + target))
		g.Expect(makefile).To(ContainSubstring("\n" + target + ":"))
	}
}
