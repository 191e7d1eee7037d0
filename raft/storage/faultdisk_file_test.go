package storage

import (
	"errors"
	"io"
	"slices"
	"syscall"
)

// diskHandle is an open file of a faultDisk.
type diskHandle struct {
	disk   *faultDisk
	file   *diskFile
	offset int // position of the next Read or Write
	kind   string
}

func (h *diskHandle) ReadAt(p []byte, offset int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	n := copy(p, h.file.visible[min(int(offset), len(h.file.visible)):])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (h *diskHandle) Read(p []byte) (int, error) {
	n, err := h.ReadAt(p, int64(h.offset))
	if h.offset += n; n > 0 {
		err = nil
	}
	return n, err
}

func (h *diskHandle) Write(p []byte) (int, error) {
	n, err := h.WriteAt(p, int64(h.offset))
	h.offset += n
	return n, err
}

func (h *diskHandle) WriteAt(p []byte, offset int64) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if h.disk.powerLost {
		return 0, errPowerLost
	}
	err := h.disk.step()
	if err == nil && h.disk.full {
		err, p = syscall.ENOSPC, p[:len(p)/2] // only a part of the data fits
	}
	w := pendingWrite{int(offset), slices.Clone(p)} // a write interrupted by the power loss may be kept too
	h.file.pending = append(h.file.pending, w)
	h.file.visible = overwrite(h.file.visible, w)
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (h *diskHandle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.sync(); err != nil {
		if errors.Is(err, syscall.EIO) { // the kernel marks the pages clean, and never writes them
			h.file.pending = nil
		}
		return err
	}
	if h.kind == h.disk.skipSyncKind {
		return nil
	}
	for _, p := range h.file.pending {
		h.file.durable = overwrite(h.file.durable, p)
	}
	h.file.pending = nil
	return nil
}

func (h *diskHandle) Seek(offset int64, whence int) (int64, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	switch whence {
	case io.SeekCurrent:
		offset += int64(h.offset)
	case io.SeekEnd:
		offset += int64(len(h.file.visible))
	}
	h.offset = int(offset)
	return offset, nil
}

func (h *diskHandle) Close() error { return nil }
