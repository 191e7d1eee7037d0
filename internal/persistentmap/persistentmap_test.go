package persistentmap

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

const maxKey = 40

func TestEachVersionKeepsItsContents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var versions []Map[int, int]
		var want []map[int]int
		var latest Map[int, int]
		model := map[int]int{}
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			b := latest.Builder()
			for range rapid.IntRange(0, 20).Draw(t, "changes") {
				change(t, b, model)
			}
			latest = b.Map()
			versions, want = append(versions, latest), append(want, maps.Clone(model))
		}
		for i, v := range versions {
			if got := maps.Collect(v.All); !maps.Equal(got, want[i]) || v.Len() != len(want[i]) {
				t.Fatalf("version %d contains %v (Len %d), want %v", i, got, v.Len(), want[i])
			}
			for key := range maxKey + 1 {
				got, ok := v.Get(key)
				if value, is := want[i][key]; is != ok || value != got {
					t.Fatalf("version %d, key %d: %d %v", i, key, got, ok)
				}
			}
		}
	})
}

// change applies the same random change to a builder and to its model.
func change(t *rapid.T, b *Builder[int, int], model map[int]int) {
	key := rapid.IntRange(0, maxKey).Draw(t, "key")
	if rapid.Bool().Draw(t, "delete") {
		b.Delete(key)
		delete(model, key)
		return
	}
	value := rapid.Int().Draw(t, "value")
	b.Put(key, value)
	model[key] = value
}
