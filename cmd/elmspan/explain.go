package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

type explainCmd struct {
	ID   string   `arg:"" help:"The Attempt-Id of the request."`
	Logs []string `arg:"" help:"Logs of the processes, text or JSON, at level debug." type:"existingfile"`
}

// Run prints the path of one request through the processes that logged it.
func (c *explainCmd) Run() error {
	var story []line
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines, err := linesOf(f, c.ID)
		for i := range lines {
			lines[i].from = cmp.Or(lines[i].from, filepath.Base(path))
		}
		story = append(story, lines...)
		if err := errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if len(story) == 0 {
		return fmt.Errorf("no line about %s: was it logged at level debug?", c.ID)
	}
	slices.SortStableFunc(story, func(a, b line) int { return a.at.Compare(b.at) })
	tell(os.Stdout, story)
	return nil
}

// line is one line of a log.
type line struct {
	at     time.Time
	from   string // what stood before the line, as where several logs are one
	fields map[string]string
}

// mostLine bounds a line of a log, in bytes.
const mostLine = 1 << 20

// linesOf returns the lines of a log that are about a request.
func linesOf(r io.Reader, id string) (out []line, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, mostLine)
	for in.Scan() {
		text := in.Text()
		if !strings.Contains(text, id) {
			continue
		}
		l := line{fields: map[string]string{}}
		if i := strings.Index(text, "{"); i >= 0 && json.Valid([]byte(text[i:])) {
			var all map[string]any
			if err := json.Unmarshal([]byte(text[i:]), &all); err != nil {
				return nil, err
			}
			for k, v := range all {
				l.fields[k] = fmt.Sprint(v)
			}
			l.from = strings.TrimSpace(text[:i])
		} else if i := strings.Index(text, "time="); i >= 0 {
			l.from, l.fields = strings.TrimSpace(text[:i]), fieldsOf(text[i:])
		}
		if l.fields["id"] != id {
			continue
		}
		if l.at, err = time.Parse(time.RFC3339Nano, l.fields["time"]); err != nil {
			return nil, fmt.Errorf("a line's time can't be read: %w", err)
		}
		out = append(out, l)
	}
	return out, in.Err()
}

// fieldsOf splits key=value pairs, some of them quoted.
func fieldsOf(text string) map[string]string {
	out := map[string]string{}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimSpace(text) {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			return out
		}
		value := ""
		if quoted, err := strconv.QuotedPrefix(rest); err == nil && strings.HasPrefix(rest, `"`) {
			value, _ = strconv.Unquote(quoted) // QuotedPrefix has checked it
			text = rest[len(quoted):]
		} else {
			value, text, _ = strings.Cut(rest, " ")
		}
		out[key] = value
	}
	return out
}

// tell writes the story, with times from its first line on.
func tell(w io.Writer, story []line) {
	begun := story[0].at
	if ms, err := strconv.ParseFloat(story[0].fields["took_ms"], 64); err == nil { // logged at its end
		begun = begun.Add(-time.Duration(ms * float64(time.Millisecond)))
	}
	for _, l := range story {
		f := l.fields
		what := f["msg"]
		switch what {
		case "try":
			what = fmt.Sprintf("server %s of %s (%s) was tried for %s ms: %s", f["server"], f["service"], f["zone"], f["took_ms"], f["result"])
			if f["ran"] == "true" && f["result"] != "good" {
				what += ", it may have run"
			}
			if f["hedge"] == "true" {
				what += ", beside another that was slow"
			}
		case "answered":
			what = fmt.Sprintf("answered %s by the %s after %s ms", f["status"], f["by"], f["after_ms"])
			if f["reason"] != "" {
				what += ": " + f["reason"]
			}
			if f["retry_after_ms"] != "" && f["retry_after_ms"] != "0" {
				what += ", come back after " + f["retry_after_ms"] + " ms"
			}
			if f["route"] != "" {
				what += fmt.Sprintf(" (route %s, tenant %s)", f["route"], cmp.Or(f["tenant"], "none"))
			}
		}
		fmt.Fprintf(w, "%9.1f ms  %-28s %s\n", float64(l.at.Sub(begun))/float64(time.Millisecond), l.from, what)
	}
}
