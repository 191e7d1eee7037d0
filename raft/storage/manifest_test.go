package storage

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// After a power loss, no pointer file may exist without its manifest. Otherwise it would
// refer, after the next start, to a partly written new manifest of the same number.
// TestAcknowledgedDataSurvivesPowerLoss detects this in only 1 of 10,000 seeds.
func TestManifestPointerNeverOutlivesItsManifest(t *testing.T) {
	checkSeeds(t, 400, func(seed uint64) error {
		r := rand.New(rand.NewPCG(seed, 7))
		m := &testMember{rand: r, id: 7}
		d := newFaultDisk()
		for range 2 {
			s, err := m.start(d)
			if err != nil {
				return err
			}
			if err := m.run(d, s, 2, false); err != nil {
				return err
			}
			closeStore(s)
			d = d.clone()
		}
		d.powerLossAt = d.steps + 1 + r.IntN(25)
		if s, err := m.start(d); err == nil {
			closeStore(s)
		}
		names := d.losePower(r).dirs[storeDir].visible
		highest := -1
		for name := range names {
			if number, err := strconv.Atoi(strings.TrimPrefix(name, currentName+".")); err == nil {
				highest = max(highest, number)
			}
		}
		if names[fmt.Sprintf("MANIFEST-%06d", highest)] == nil {
			return fmt.Errorf("CURRENT.%d exists without its manifest: %s", highest, d.listing())
		}
		return nil
	})
}
