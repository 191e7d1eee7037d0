// Package pages reads the repository's pages (README.md, CONTRIBUTING.md and docs/)
// for what they say of the code: names in backquotes and lines of code blocks. Tests
// hold the pages to the code with it; no program uses it.
package pages

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// renames is the folder of the lists of old names, which name what is no longer there.
const renames = "docs/renames"

// Mention is a piece of code that a page names.
type Mention struct {
	Page string // path from the root of the repository, with slashes
	Line int    // from 1
	Text string // without the backquotes or the indent
}

// String says where the mention stands.
func (m Mention) String() string { return fmt.Sprintf("%s:%d: `%s`", m.Page, m.Line, m.Text) }

// Fields are the parts of the text between blanks, without quotation marks.
func (m Mention) Fields() []string {
	return strings.Fields(strings.NewReplacer(`"`, " ", `'`, " ").Replace(m.Text))
}

// Read returns what the pages of the repository at root name, page by page. Pages on
// decisions and incidents are among them: their paths and tests are today's. The lists
// of old names are not.
func Read(root string) ([]Mention, error) {
	files, err := list(root)
	if err != nil {
		return nil, fmt.Errorf("pages: %w", err)
	}
	var mentions []Mention
	for _, name := range files {
		data, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(name)))
		if err != nil {
			return nil, fmt.Errorf("pages: %w", err)
		}
		mentions = append(mentions, Parse(name, string(data))...)
	}
	return mentions, nil
}

// list returns the paths of the pages, from the root on.
func list(root string) ([]string, error) {
	files := []string{"README.md", "CONTRIBUTING.md"}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name := filepath.ToSlash(relative)
		if name == renames {
			return fs.SkipDir
		}
		if strings.HasSuffix(name, ".md") {
			files = append(files, name)
		}
		return nil
	})
	return files, err
}

var (
	span  = regexp.MustCompile("`([^`]+)`")
	fence = regexp.MustCompile("^\\s*```")
)

// Parse returns what one page names: each span in backquotes, which may go over the end
// of a line, and each line of a code block, fenced or indented by four blanks.
func Parse(page, text string) []Mention {
	var mentions []Mention
	var prose strings.Builder // the page with its code blocks blanked
	fenced := false
	for i, line := range strings.Split(text, "\n") {
		isFence := fence.MatchString(line)
		switch {
		case isFence:
			fenced = !fenced
		case fenced || strings.HasPrefix(line, "    "):
			mentions = append(mentions, Mention{page, i + 1, strings.TrimSpace(line)})
		default:
			prose.WriteString(line)
		}
		prose.WriteByte('\n')
	}
	rest := prose.String()
	for _, at := range span.FindAllStringSubmatchIndex(rest, -1) {
		line := 1 + strings.Count(rest[:at[0]], "\n")
		mentions = append(mentions, Mention{page, line, strings.Join(strings.Fields(rest[at[2]:at[3]]), " ")})
	}
	return mentions
}

// Commands returns the uses of a program among the mentions: for each the fields after
// the program's name, up to the end of that command. `go run ./cmd/NAME` is one too.
func Commands(mentions []Mention, program string) []Command {
	var commands []Command
	for _, m := range mentions {
		fields := m.Fields()
		for i, word := range fields {
			begins := i == 0 || fields[i-1] == "&&" || fields[i-1] == "run" || strings.Contains(fields[i-1], "=")
			if begins && slices.Contains([]string{program, "target/" + program, "./cmd/" + program}, word) {
				commands = append(commands, Command{m, untilEnd(fields[i+1:])})
			}
		}
	}
	return commands
}

// Command is a use of a program on a page.
type Command struct {
	Mention
	Args []string
}

// untilEnd returns the fields up to a sign of the shell that ends a command.
func untilEnd(fields []string) []string {
	for i, word := range fields {
		if strings.ContainsAny(word, "&|;>#") {
			return fields[:i]
		}
	}
	return fields
}

// Check returns an error where a command's arguments name a command or a flag that the
// program's command line does not have. Values are not looked at.
func (c Command) Check(commandLine *kong.Application) error {
	node := commandLine.Node
	for _, arg := range c.Args {
		flag, isFlag := strings.CutPrefix(arg, "--")
		flag, _, _ = strings.Cut(flag, "=")
		switch {
		case isFlag && !hasFlag(node, strings.Trim(flag, "[]")):
			return fmt.Errorf("%v: no flag --%s", c.Mention, flag)
		case isFlag || len(node.Children) == 0:
			// A value, or what a leaf command is given.
		default:
			child := childOf(node, arg)
			if child == nil {
				return fmt.Errorf("%v: no command %s", c.Mention, arg)
			}
			node = child
		}
	}
	return nil
}

func hasFlag(node *kong.Node, name string) bool {
	for _, group := range node.AllFlags(false) {
		for _, flag := range group {
			if flag.Name == name {
				return true
			}
		}
	}
	return false
}

func childOf(node *kong.Node, name string) *kong.Node {
	for _, child := range node.Children {
		if child.Name == name || child.Type == kong.ArgumentNode {
			return child
		}
	}
	return nil
}
