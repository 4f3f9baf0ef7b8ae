package ctl_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/ctl"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

const commandFence = "```sh ctl\n"

// commandsOf returns the command lines in the marked blocks of a page.
func commandsOf(page string) []string {
	var lines []string
	for _, block := range strings.Split(page, commandFence)[1:] {
		block, _, _ = strings.Cut(block, "```")
		lines = append(lines, strings.Split(strings.TrimSpace(block), "\n")...)
	}
	return lines
}

// words splits a command line at spaces, with quotes, up to a redirection.
func words(line string) []string {
	var list []string
	var word strings.Builder
	quote := rune(0)
	for _, c := range line + " " {
		switch {
		case quote != 0 && c == quote:
			quote = 0
		case quote == 0 && (c == '\'' || c == '"'):
			quote = c
		case quote == 0 && c == '>':
			return list
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

func TestCommandsOfThePagesAreValid(t *testing.T) {
	g := NewWithT(t)
	for _, path := range []string{"../../docs/OPERATIONS.md", "../../README.md"} {
		page, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		commands := commandsOf(string(page))
		g.Expect(commands).NotTo(BeEmpty(), path)
		for _, line := range commands {
			args := words(line)
			g.Expect(args[0]).To(Equal("godwitbendctl"), line)
			g.Expect(ctl.Check(args[1:])).To(Succeed(), line)
		}
	}
}

func TestCheckRefusesInvalidCommands(t *testing.T) {
	g := NewWithT(t)
	for _, line := range []string{"sing", "caller create", "budget top-up b", "usage --loud", "order u --action sing"} {
		g.Expect(ctl.Check(words(line))).NotTo(Succeed(), line)
	}
}

func TestEveryErrorKindIsExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, kind := range errkind.Kinds() {
		g.Expect(strings.Count(string(page), "| `"+string(kind)+"` | ")).To(Equal(1), string(kind))
	}
}
