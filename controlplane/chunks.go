package controlplane

import (
	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

const (
	// chunkBytes: larger messages go in chunks of so many bytes, one call after the other. A
	// heartbeat behind one comes within 400 ms on 1 Mbit/s; smaller chunks would wait for an
	// answer more often.
	chunkBytes = 32 << 10
	// maxChunkedBytes bounds the bytes of messages that come in chunks.
	maxChunkedBytes = api.MaxConfigBytes + 1<<20
)

// reassembly puts messages together that come in several calls of one sender, one chunk after
// the other. The zero value holds none.
type reassembly struct {
	data []byte
	size int    // of the complete messages
	sum  uint64 // XXH64 of them, which also identifies them
}

// add takes a chunk in and returns how many bytes are held, and the complete messages once they
// are there. A chunk that doesn't follow on what is held changes nothing: the answer says what is.
func (r *reassembly) add(chunk *api.MessageChunk) (held int, complete []byte) {
	if chunk.Size != r.size || chunk.Checksum != r.sum || r.data == nil {
		if chunk.Offset != 0 || chunk.Size < len(chunk.Data) || chunk.Size > maxChunkedBytes {
			return 0, nil // their beginning is not here, as after a restart
		}
		*r = reassembly{data: make([]byte, 0, chunk.Size), size: chunk.Size, sum: chunk.Checksum}
	}
	if chunk.Offset == len(r.data) && len(chunk.Data) <= r.size-len(r.data) {
		r.data = append(r.data, chunk.Data...)
	}
	if held = len(r.data); held < r.size {
		return held, nil
	}
	complete = r.data
	*r = reassembly{}
	if xxhash.Sum64(complete) != chunk.Checksum {
		return 0, nil
	}
	return held, complete
}
