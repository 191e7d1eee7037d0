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
	var events []line
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		lines, err := linesOf(f, c.ID)
		for i := range lines {
			lines[i].from = cmp.Or(lines[i].from, filepath.Base(path))
		}
		events = append(events, lines...)
		if err := errors.Join(err, f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	if len(events) == 0 {
		return fmt.Errorf("no line about %s: was it logged at level debug?", c.ID)
	}
	slices.SortStableFunc(events, func(a, b line) int { return a.at.Compare(b.at) })
	return writeEvents(os.Stdout, events)
}

// line is one line of a log.
type line struct {
	at     time.Time
	from   string // what stood before the line, as where several logs are one
	fields map[string]string
}

// maxLineBytes is the longest line of a log that is read.
const maxLineBytes = 1 << 20

// linesOf returns the lines of a log that are about a request.
func linesOf(r io.Reader, id string) ([]line, error) {
	var found []line
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if !strings.Contains(in.Text(), id) {
			continue
		}
		l, err := parseLine(in.Text())
		if err != nil {
			return nil, err
		}
		if l.fields["id"] != id {
			continue
		}
		if l.at, err = time.Parse(time.RFC3339Nano, l.fields["time"]); err != nil {
			return nil, fmt.Errorf("a line's time can't be read: %w", err)
		}
		found = append(found, l)
	}
	return found, in.Err()
}

// parseLine reads a line of text or JSON, which may stand after something else. Its time
// is left in the fields.
func parseLine(text string) (line, error) {
	l := line{fields: map[string]string{}}
	if i := strings.Index(text, "{"); i >= 0 && json.Valid([]byte(text[i:])) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(text[i:]), &fields); err != nil {
			return l, err
		}
		for k, v := range fields {
			l.fields[k] = fmt.Sprint(v)
		}
		l.from = strings.TrimSpace(text[:i])
	} else if i := strings.Index(text, "time="); i >= 0 {
		l.from, l.fields = strings.TrimSpace(text[:i]), fieldsOf(text[i:])
	}
	return l, nil
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

// writeEvents writes the events, with times from its first line on.
func writeEvents(w io.Writer, events []line) error {
	begun := events[0].at
	if ms, err := strconv.ParseFloat(events[0].fields["took_ms"], 64); err == nil { // logged at its end
		begun = begun.Add(-time.Duration(ms * float64(time.Millisecond)))
	}
	for _, l := range events {
		ms := float64(l.at.Sub(begun)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%9.1f ms  %-28s %s\n", ms, l.from, l.event()); err != nil {
			return err
		}
	}
	return nil
}

// event describes a line.
func (l *line) event() string {
	switch l.fields["msg"] {
	case "try":
		return l.attemptEvent()
	case "answered":
		return l.answerEvent()
	}
	return l.fields["msg"]
}

func (l *line) attemptEvent() string {
	f := l.fields
	event := fmt.Sprintf("server %s of %s (%s) was tried for %s ms: %s",
		f["server"], f["service"], f["zone"], f["took_ms"], f["result"])
	if f["ran"] == "true" && f["result"] != "good" {
		event += ", it may have run"
	}
	if f["hedge"] == "true" {
		event += ", beside another that was slow"
	}
	return event
}

func (l *line) answerEvent() string {
	f := l.fields
	event := fmt.Sprintf("answered %s by the %s after %s ms", f["status"], f["by"], f["after_ms"])
	if f["reason"] != "" {
		event += ": " + f["reason"]
	}
	if f["retry_after_ms"] != "" && f["retry_after_ms"] != "0" {
		event += ", come back after " + f["retry_after_ms"] + " ms"
	}
	if f["route"] != "" {
		event += fmt.Sprintf(" (route %s, tenant %s)", f["route"], cmp.Or(f["tenant"], "none"))
	}
	return event
}
