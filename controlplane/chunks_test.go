package controlplane

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// Chunked messages are delivered complete or not at all: after duplicated, late, missing or
// corrupt chunks the sender resumes at the receiver's offset or starts over.
func TestChunkedMessagesAreCompleteOrNothing(t *testing.T) {
	t.Parallel()
	body := []byte("large messages go in chunks")
	sum := xxhash.Sum64(body)
	chunk := func(from, to int) *api.MessageChunk {
		return &api.MessageChunk{Offset: from, Size: len(body), Checksum: sum, Data: body[from:to]}
	}
	r := &reassembly{}
	for _, c := range []struct {
		name     string
		chunk    *api.MessageChunk
		held     int
		complete bool
	}{
		{"no first chunk received", chunk(5, 9), 0, false},
		{"first chunk", chunk(0, 5), 5, false},
		{"duplicate first chunk", chunk(0, 5), 5, false},
		{"gap before the chunk", chunk(9, 12), 5, false},
		{"chunk of another message", &api.MessageChunk{Size: 3, Checksum: 1, Offset: 1, Data: body[:2]}, 0, false},
		{"remaining chunk", chunk(5, 27), 27, true},
		{"first chunk of the next transfer", chunk(0, 20), 20, false},
		{"damaged", &api.MessageChunk{Offset: 20, Size: len(body), Checksum: sum, Data: make([]byte, 7)}, 0, false},
		{"whole message in one chunk", chunk(0, 27), 27, true},
		{"message too large", &api.MessageChunk{Size: maxChunkedBytes + 1, Checksum: 1, Data: body}, 0, false},
		{"message size below that of the chunk", &api.MessageChunk{Size: 3, Checksum: 1, Data: body}, 0, false},
	} {
		held, complete := r.add(c.chunk)
		if held != c.held || (complete != nil) != c.complete {
			t.Errorf("%s: %d bytes held, message %q", c.name, held, complete)
		}
		if complete != nil && !bytes.Equal(complete, body) {
			t.Errorf("%s: reassembled to %q", c.name, complete)
		}
	}
}
