// Package pages extracts code references from the repository's documentation pages
// (README.md, CONTRIBUTING.md and docs/): code spans and lines of code blocks. Only
// tests use it, to check the documentation against the code.
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

// renamesDir holds the lists of renamed identifiers. Read skips it, because the lists
// contain names that no longer exist.
const renamesDir = "docs/renames"

// Mention is a code span or a line of a code block on a page.
type Mention struct {
	Page string // slash-separated path relative to the repository root
	Line int    // 1-based
	Text string // without backquotes and indentation
}

// String returns the mention with its page and line.
func (m Mention) String() string { return fmt.Sprintf("%s:%d: `%s`", m.Page, m.Line, m.Text) }

// Fields splits the text at white space and quotation marks, which are dropped.
func (m Mention) Fields() []string {
	return strings.Fields(strings.NewReplacer(`"`, " ", `'`, " ").Replace(m.Text))
}

// Read returns the mentions on all pages of the repository at root, page by page. It
// includes the decision records and incident reports, whose paths and test names are
// kept up to date, and excludes the lists of renamed identifiers.
func Read(root string) ([]Mention, error) {
	files, err := listPages(root)
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

// listPages returns the paths of the pages relative to root.
func listPages(root string) ([]string, error) {
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
		if name == renamesDir {
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
	codeSpan  = regexp.MustCompile("`([^`]+)`")
	codeFence = regexp.MustCompile("^\\s*```")
)

// Parse returns the mentions on one page: each code span, which may extend over several
// lines, and each line of a code block, fenced or indented by four spaces.
func Parse(page, text string) []Mention {
	var mentions []Mention
	var prose strings.Builder // the page with the lines of its code blocks emptied
	fenced := false
	for i, line := range strings.Split(text, "\n") {
		isFence := codeFence.MatchString(line)
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
	proseText := prose.String()
	for _, loc := range codeSpan.FindAllStringSubmatchIndex(proseText, -1) {
		line := 1 + strings.Count(proseText[:loc[0]], "\n")
		mentions = append(mentions, Mention{page, line, strings.Join(strings.Fields(proseText[loc[2]:loc[3]]), " ")})
	}
	return mentions
}

// Commands returns the invocations of a program in the mentions, including
// `go run ./cmd/NAME`, each with its arguments up to the end of the shell command.
func Commands(mentions []Mention, program string) []Command {
	var commands []Command
	for _, m := range mentions {
		fields := m.Fields()
		for i, word := range fields {
			startsCommand := i == 0 || fields[i-1] == "&&" || fields[i-1] == "run" || strings.Contains(fields[i-1], "=")
			if startsCommand && slices.Contains([]string{program, "target/" + program, "./cmd/" + program}, word) {
				commands = append(commands, Command{m, cutAtShellOperator(fields[i+1:])})
			}
		}
	}
	return commands
}

// Command is an invocation of a program on a page.
type Command struct {
	Mention
	Args []string
}

// cutAtShellOperator returns the fields before the first one with a shell character
// that ends the command.
func cutAtShellOperator(fields []string) []string {
	for i, word := range fields {
		if strings.ContainsAny(word, "&|;>#") {
			return fields[:i]
		}
	}
	return fields
}

// Check returns an error if the arguments contain a subcommand or a flag that the
// program's command line does not define. It does not check values.
func (c Command) Check(commandLine *kong.Application) error {
	node := commandLine.Node
	for _, arg := range c.Args {
		flag, isFlag := strings.CutPrefix(arg, "--")
		flag, _, _ = strings.Cut(flag, "=")
		switch {
		case isFlag && !hasFlag(node, strings.Trim(flag, "[]")):
			return fmt.Errorf("%v: unknown flag --%s", c.Mention, flag)
		case isFlag || len(node.Children) == 0:
			// A flag, or an argument of a command without subcommands.
		default:
			child := findChild(node, arg)
			if child == nil {
				return fmt.Errorf("%v: unknown command %s", c.Mention, arg)
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

func findChild(node *kong.Node, name string) *kong.Node {
	for _, child := range node.Children {
		if child.Name == name || child.Type == kong.ArgumentNode {
			return child
		}
	}
	return nil
}
