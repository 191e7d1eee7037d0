package controlplane

import (
	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

const (
	// chunkBytes is the size of the chunks in which larger messages are sent, one call after the
	// other. On a link of 1 Mbit/s a heartbeat behind a chunk arrives within 400 ms; smaller
	// chunks would cost more round trips.
	chunkBytes = 32 << 10
	// maxChunkedBytes bounds the total size of messages that are received in chunks.
	maxChunkedBytes = api.MaxConfigBytes + 1<<20
)

// reassembly reassembles messages that one sender delivers in several calls, one chunk after the
// other. The zero value is empty.
type reassembly struct {
	data []byte
	size int    // of the complete messages, in bytes
	sum  uint64 // XXH64 of the complete messages, which also identifies them
}

// add appends a chunk and returns how many bytes are held, and the complete messages once the last
// chunk has arrived and the checksum matches. The first chunk of other messages discards the bytes
// held. Any other chunk that doesn't continue them changes nothing: from the number returned the
// sender knows where to continue.
func (r *reassembly) add(chunk *api.MessageChunk) (held int, complete []byte) {
	if chunk.Size != r.size || chunk.Checksum != r.sum || r.data == nil {
		if chunk.Offset != 0 || chunk.Size < len(chunk.Data) || chunk.Size > maxChunkedBytes {
			return 0, nil // the first chunk is missing, for example after a restart
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
