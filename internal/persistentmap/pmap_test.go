package persistentmap

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Each version holds what was put into it, whatever later ones do.
func TestVersionsStand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var versions []Map[int, int]
		var want []map[int]int
		var last Map[int, int]
		model := map[int]int{}
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			e := last.Builder()
			for range rapid.IntRange(0, 20).Draw(t, "edits") {
				k := rapid.IntRange(0, 40).Draw(t, "key")
				if rapid.Bool().Draw(t, "delete") {
					e.Delete(k)
					delete(model, k)
				} else {
					v := rapid.Int().Draw(t, "value")
					e.Put(k, v)
					model[k] = v
				}
			}
			last = e.Map()
			versions, want = append(versions, last), append(want, maps.Clone(model))
		}
		for i, v := range versions {
			if got := maps.Collect(v.All); !maps.Equal(got, want[i]) || v.Len() != len(want[i]) {
				t.Fatalf("version %d holds %v (%d), not %v", i, got, v.Len(), want[i])
			}
			for k := range 41 {
				got, ok := v.Get(k)
				if x, is := want[i][k]; is != ok || x != got {
					t.Fatalf("version %d, key %d: %d %v", i, k, got, ok)
				}
			}
		}
	})
}
