package controlplane

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// bubbleLimit is against a hang: a core ticks for ever, so that no bubble with one is ever
	// found to be without anything to do.
	bubbleLimit = 20 * time.Minute
	// storeGrace is how long a store that was closed still has goroutines (goleveldb's pool).
	storeGrace = 2 * time.Second
)

// inBubble runs a test on a clock of its own, which goes on when all of it waits: what takes a
// second takes a second of the test's, however slow or busy the machine is.
func inBubble(t *testing.T, test func(*testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(storeGrace) }) // the last
		hangs := time.AfterFunc(bubbleLimit, func() {
			panic(fmt.Sprintf("%s: its clock has gone on for %v", t.Name(), bubbleLimit))
		})
		t.Cleanup(func() { hangs.Stop() })
		test(t)
	})
}

// runInBubble runs a subtest in a bubble.
func runInBubble(t *testing.T, name string, test func(*testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { inBubble(t, test) })
}

// memoryDir is a folder whose disk is memory where the machine has such (Linux), so that
// nobody waits for other programs' writes: what a loss of power takes is not asked here.
func memoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "elmspan-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}
