package storage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// fileKinds lists the kinds of files that the tests damage.
var fileKinds = []string{"CURRENT", "MANIFEST", "journal", "table", "seal"}

// Damage modes. Those before removeFile need a file that is not empty.
const (
	flipBit = iota
	overwriteBlock
	truncateFile
	emptyFile
	removeFile
	zeroToEnd
	restoreOlder
	damageModeCount
)

const damagedBlockSize = 512 // bytes

// damage damages a random file of the given kind in a directory in a random way, and
// describes the damage. older is a copy of the disk from an earlier time.
func (d *faultDisk) damage(r *rand.Rand, dir string, older *faultDisk, ofKind string) string {
	directory := d.dirs[dir]
	var names []string
	for _, name := range slices.Sorted(maps.Keys(directory.visible)) {
		if fileKind(name) == ofKind {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "no " + ofKind
	}
	name := names[r.IntN(len(names))]
	mode := r.IntN(damageModeCount)
	data := slices.Clone(directory.visible[name].visible)
	if len(data) == 0 && mode < removeFile {
		mode = removeFile
	}
	if mode == restoreOlder {
		if old := older.dirs[dir]; old != nil && old.visible[name] != nil {
			directory.visible[name] = newDurableFile(slices.Clone(old.visible[name].visible))
			return name + ": replaced by an older copy"
		}
		mode = removeFile
	}
	if mode == removeFile {
		delete(directory.visible, name)
		return name + ": removed"
	}
	data, what := damageBytes(r, mode, data)
	directory.visible[name] = newDurableFile(data)
	return name + ": " + what
}

func newDurableFile(data []byte) *diskFile {
	return &diskFile{visible: data, durable: slices.Clone(data)}
}

// damageBytes damages the contents of a file, and describes the damage.
func damageBytes(r *rand.Rand, mode int, data []byte) (damaged []byte, what string) {
	size := len(data)
	switch mode {
	case flipBit:
		at := r.IntN(size)
		data[at] ^= 1 << r.IntN(8)
		return data, fmt.Sprintf("bit flipped in byte %d of %d", at, size)
	case overwriteBlock:
		at := r.IntN(size)
		for i := at; i < min(size, at+damagedBlockSize); i++ {
			data[i] = byte(r.Uint32())
		}
		return data, fmt.Sprintf("%d bytes overwritten at offset %d of %d", damagedBlockSize, at, size)
	case truncateFile:
		kept := r.IntN(size)
		return data[:kept:kept], fmt.Sprintf("truncated to %d of %d bytes", kept, size)
	case zeroToEnd:
		clear(data[r.IntN(size+1):])
		return data, "zeroed up to the end"
	default:
		return nil, "emptied"
	}
}
