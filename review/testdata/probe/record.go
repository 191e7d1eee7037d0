package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run, each line with its time in milliseconds since the start.
type record struct {
	start time.Time
	file  *os.File

	mu     sync.Mutex
	out    *bufio.Writer
	closed bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// ms is the time since the start in milliseconds.
func (r *record) ms(at time.Time) float64 {
	return float64(at.Sub(r.start)) / float64(time.Millisecond)
}

// note writes a line.
func (r *record) note(format string, args ...any) {
	at := r.ms(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		// An error stays with the writer; close returns it.
		_, _ = fmt.Fprintf(r.out, "%10.1f "+format+"\n", append([]any{at}, args...)...)
	}
}

// close writes the exit code and closes the file.
func (r *record) close(code int) error {
	r.note("exit code %d", code)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return errors.Join(r.out.Flush(), r.file.Close())
}
