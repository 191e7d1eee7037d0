package loglimit

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A repeated warning is logged three times per interval, and the first one of the next interval
// has the number of suppressed records. Other messages are not affected.
func TestRepeatedFaultsAreLimited(t *testing.T) {
	const interval = 10 * time.Second
	var out bytes.Buffer
	now := time.Unix(0, 0)
	handler := New(slog.NewTextHandler(&out, nil), interval, func() time.Time { return now })
	log := slog.New(handler).With("node", "n")
	for range 100 {
		log.Warn("down")
		log.Info("fine")
	}
	log.Error("other")
	if n := strings.Count(out.String(), "down"); n != 3 {
		t.Errorf("%d of 100 repeated warnings were logged, want 3", n)
	}
	if n := strings.Count(out.String(), "fine"); n != 100 {
		t.Errorf("%d of 100 info records were logged, want all", n)
	}
	out.Reset()
	now = now.Add(interval + time.Second)
	log.Warn("down")
	log.Warn("down")
	if got := out.String(); strings.Count(got, "down") != 2 || !strings.Contains(got, "left_out=97") {
		t.Error(got)
	}
	for i := range 10 * maxMessages {
		log.Warn(fmt.Sprint("m", i))
	}
	if n := len(log.Handler().(*Handler).limiter.messages); n > maxMessages {
		t.Errorf("%d messages are tracked", n)
	}
}
