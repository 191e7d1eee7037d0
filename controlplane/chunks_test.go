package controlplane

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// Chunked messages come complete or not at all: after doubled, late, missing or damaged chunks
// the sender goes on where the receiver is, or begins again.
func TestChunkedMessagesAreCompleteOrNothing(t *testing.T) {
	t.Parallel()
	body := []byte("what is large goes in parts")
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
		{"without a beginning", chunk(5, 9), 0, false},
		{"the first", chunk(0, 5), 5, false},
		{"the first, doubled", chunk(0, 5), 5, false},
		{"one that does not follow", chunk(9, 12), 5, false},
		{"of others, without a first", &api.MessageChunk{Size: 3, Checksum: 1, Offset: 1, Data: body[:2]}, 0, false},
		{"the rest", chunk(5, 27), 27, true},
		{"a first one again", chunk(0, 20), 20, false},
		{"damaged", &api.MessageChunk{Offset: 20, Size: len(body), Checksum: sum, Data: make([]byte, 7)}, 0, false},
		{"all in one", chunk(0, 27), 27, true},
		{"of too many bytes", &api.MessageChunk{Size: maxChunkedBytes + 1, Checksum: 1, Data: body}, 0, false},
		{"of fewer bytes than it has", &api.MessageChunk{Size: 3, Checksum: 1, Data: body}, 0, false},
	} {
		held, complete := r.add(c.chunk)
		if held != c.held || (complete != nil) != c.complete {
			t.Errorf("%s: %d bytes held, complete %q", c.name, held, complete)
		}
		if complete != nil && !bytes.Equal(complete, body) {
			t.Errorf("%s: %q", c.name, complete)
		}
	}
}
