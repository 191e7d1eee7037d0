package emulator

import (
	"errors"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// A SIGHUP just after the start ends no process: the settings may change while one is started again.
func TestSignalAtTheStartEndsNoProcess(t *testing.T) {
	const starts = 20
	program := filepath.Join(t.TempDir(), "elmspan")
	buildGateway(t, program)
	ended := 0
	for range starts {
		cmd := exec.Command(program, "gateway") // without settings it ends by itself soon
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		var exit *exec.ExitError
		if !errors.As(cmd.Wait(), &exit) {
			t.Fatal("it did not end")
		}
		if status, ok := exit.Sys().(syscall.WaitStatus); ok && status.Signaled() && status.Signal() == syscall.SIGHUP {
			ended++
		}
	}
	if ended > 0 {
		t.Errorf("SIGHUP ended %d of %d processes", ended, starts)
	}
}
