package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

const mode = 0o600

func TestWriteFileReplacesTheWholeFileThroughALink(t *testing.T) {
	dir := t.TempDir()
	path, link := filepath.Join(dir, "a"), filepath.Join(dir, "link")
	if err := os.WriteFile(path, []byte("old and longer"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(path, link); err != nil {
		t.Fatal(err)
	}
	if err := WriteFile(link, []byte("new"), mode); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil || string(data) != "new" {
		t.Errorf("%q, %v", data, err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != mode {
		t.Errorf("%v, %v", info, err)
	}
	if _, err := os.Readlink(link); err != nil {
		t.Errorf("the symbolic link was replaced: %v", err)
	}
	if names, _ := os.ReadDir(dir); len(names) != 2 {
		t.Errorf("temporary files were left behind: %v", names)
	}
	if err := Remove(path); err != nil {
		t.Error(err)
	}
}

func TestWriteFileDoesNotReplaceADevice(t *testing.T) {
	if err := WriteFile(os.DevNull, []byte("x"), mode); err != nil {
		t.Error(err)
	}
	if info, err := os.Stat(os.DevNull); err != nil || info.Mode().IsRegular() {
		t.Fatal("the device was replaced by a file")
	}
}

func TestMkdirAllMakesMissingParents(t *testing.T) {
	deep := filepath.Join(t.TempDir(), "x", "y")
	file := filepath.Join(deep, "b")
	if err := WriteFile(file, nil, mode); err == nil {
		t.Error("a file was written into a missing directory")
	}
	for range 2 {
		if err := MkdirAll(deep, 0o700); err != nil {
			t.Error(err)
		}
	}
	if err := WriteFile(file, nil, mode); err != nil {
		t.Error(err)
	}
	if err := MkdirAll(filepath.Join(file, "c"), 0o700); err == nil {
		t.Error("a directory was created below a file")
	}
}
