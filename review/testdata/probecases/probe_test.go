//go:build review2

package probecases

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// TestSecondReviewCases plays the scripts of the second review, after the build of the deploy file and of
// review/build-2.sh. It fails where a script shows a broken rule or can't be played.
func TestSecondReviewCases(t *testing.T) {
	for _, number := range []string{"4", "5"} {
		t.Run(number, func(t *testing.T) {
			script := filepath.Join("../..", number, "run.sh")
			if out, err := exec.Command("sh", script).CombinedOutput(); err != nil {
				t.Errorf("%s: %v\n%s", script, err, out)
			}
		})
	}
}
