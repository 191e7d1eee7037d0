package loglimit

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A fault that repeats is logged three times, then once a span with how many
// were left out; others are not held up by it.
func TestRepeatedFaults(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	log := slog.New(New(slog.NewTextHandler(&out, nil), 10*time.Second, func() time.Time { return now })).With("node", "n")
	for range 100 {
		log.Warn("down")
		log.Info("fine")
	}
	log.Error("other")
	if n := strings.Count(out.String(), "down"); n != 3 {
		t.Errorf("%d of 100 logged", n)
	}
	if n := strings.Count(out.String(), "fine"); n != 100 {
		t.Errorf("%d of 100 that are no fault", n)
	}
	out.Reset()
	now = now.Add(11 * time.Second)
	log.Warn("down")
	log.Warn("down")
	if got := out.String(); strings.Count(got, "down") != 2 || !strings.Contains(got, "left_out=97") {
		t.Error(got)
	}
	for i := range 10 * mostKept {
		log.Warn(fmt.Sprint("m", i))
	}
	if n := len(log.Handler().(*Handler).s.had); n > mostKept {
		t.Errorf("%d messages are remembered", n)
	}
}
