//go:build review

package cases

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases plays the script of each case, after the build of the deploy file and of review/build.sh. It fails
// where a script shows a broken rule or can't be played.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("../../[0-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(filepath.Dir(script)), func(t *testing.T) {
			if out, err := exec.Command("sh", script).CombinedOutput(); err != nil {
				t.Errorf("%s: %v\n%s", script, err, out)
			}
		})
	}
}
