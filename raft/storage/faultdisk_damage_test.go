package storage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// fileKinds are the kinds of files that are damaged.
var fileKinds = []string{"CURRENT", "MANIFEST", "journal", "table", "seal"}

// The ways in which a file is damaged. The first ones need a file that is not empty.
const (
	flipBit = iota
	overwriteBlock
	truncateFile
	emptyFile
	removeFile
	zeroToEnd
	restoreOlder
	damageWays
)

const damagedBlockSize = 512 // bytes

// damage spoils one file of a kind in a folder in one way, and says which. older is the
// same disk as it was at an earlier time.
func (d *faultDisk) damage(r *rand.Rand, dir string, older *faultDisk, ofKind string) string {
	f := d.dirs[dir]
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.visible)) {
		if fileKind(name) == ofKind {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "no " + ofKind
	}
	name := names[r.IntN(len(names))]
	way := r.IntN(damageWays)
	data := slices.Clone(f.visible[name].visible)
	if len(data) == 0 && way < removeFile {
		way = removeFile
	}
	if way == restoreOlder {
		if old := older.dirs[dir]; old != nil && old.visible[name] != nil {
			f.visible[name] = newDurableFile(slices.Clone(old.visible[name].visible))
			return name + ": replaced by an older copy of itself"
		}
		way = removeFile
	}
	if way == removeFile {
		delete(f.visible, name)
		return name + ": removed"
	}
	data, what := damageBytes(r, way, data)
	f.visible[name] = newDurableFile(data)
	return name + ": " + what
}

func newDurableFile(data []byte) *diskFile {
	return &diskFile{visible: data, durable: slices.Clone(data)}
}

// damageBytes changes the bytes of a file in one way, and says which.
func damageBytes(r *rand.Rand, way int, data []byte) (damaged []byte, what string) {
	size := len(data)
	switch way {
	case flipBit:
		at := r.IntN(size)
		data[at] ^= 1 << r.IntN(8)
		return data, fmt.Sprintf("a bit of byte %d of %d flipped", at, size)
	case overwriteBlock:
		at := r.IntN(size)
		for i := at; i < min(size, at+damagedBlockSize); i++ {
			data[i] = byte(r.Uint32())
		}
		return data, fmt.Sprintf("%d bytes at %d of %d overwritten", damagedBlockSize, at, size)
	case truncateFile:
		kept := r.IntN(size)
		return data[:kept:kept], fmt.Sprintf("cut to %d of %d", kept, size)
	case zeroToEnd:
		clear(data[r.IntN(size+1):])
		return data, "zeros to its end"
	default:
		return nil, "emptied"
	}
}
