package controlplane

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// bubbleLimit bounds the fake time of a test. A core ticks forever, so synctest never detects
	// a deadlock in a bubble that runs one.
	bubbleLimit = 20 * time.Minute
	// storeCloseDelay is how long goroutines of a closed store (goleveldb's buffer pool) still run.
	storeCloseDelay = 2 * time.Second
)

// inBubble runs a test in a synctest bubble. Its fake clock advances only while all goroutines of
// the test are blocked, so timing doesn't depend on the speed or load of the machine.
func inBubble(t *testing.T, test func(*testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(storeCloseDelay) }) // registered first, so it runs last
		watchdog := time.AfterFunc(bubbleLimit, func() {
			panic(fmt.Sprintf("%s: timed out after %v of fake time", t.Name(), bubbleLimit))
		})
		t.Cleanup(func() { watchdog.Stop() })
		test(t)
	})
}

// runInBubble runs a subtest in a bubble of its own.
func runInBubble(t *testing.T, name string, test func(*testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { inBubble(t, test) })
}

// memoryDir returns a temporary directory, in memory where /dev/shm exists (Linux), so that tests
// don't wait for disk writes of other programs. Tests that use it can't show what a power failure
// would lose.
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
