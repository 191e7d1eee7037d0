package loglimit

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A fault that repeats is logged three times an interval, at the next time with the number
// of records left out. Other messages are not held up by it.
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
		t.Errorf("%d of 100 logged", n)
	}
	if n := strings.Count(out.String(), "fine"); n != 100 {
		t.Errorf("%d of 100 that are no fault", n)
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
		t.Errorf("%d messages are remembered", n)
	}
}
