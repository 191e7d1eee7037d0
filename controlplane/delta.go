package controlplane

import (
	"context"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// maxDeltaBytes bounds a delta that is fetched in chunks.
const maxDeltaBytes = 2 * api.MaxConfigBytes

// newDelta returns the first chunk of the delta from a version to the newest version of a table.
func newDelta(t *versioned.Table, from uint64) (*api.EncodedDelta, error) {
	b, err := t.DeltaSince(from)
	if err != nil {
		return nil, err
	}
	first := b.Data[:min(len(b.Data), api.ChunkSize)]
	return &api.EncodedDelta{From: b.From, To: b.To, Size: len(b.Data), Data: first}, nil
}

// FetchDelta returns a complete delta, given its first chunk. It fetches the other chunks one
// after the other; table is api.ConfigTable or api.ServerTable. It returns [ErrDeltaUnavailable] if
// the member no longer has the delta.
func FetchDelta(ctx context.Context, first *api.EncodedDelta,
	fetch func(context.Context, *api.FetchRequest) (*api.Chunk, error), table uint8,
) ([]byte, error) {
	if first.Size > maxDeltaBytes || len(first.Data) > first.Size {
		return nil, ErrDeltaUnavailable
	}
	data := first.Data
	for len(data) < first.Size {
		chunk, err := fetch(ctx, &api.FetchRequest{Table: table, From: first.From, To: first.To, Offset: len(data)})
		if err != nil {
			return nil, err
		}
		if len(chunk.Data) == 0 || len(data)+len(chunk.Data) > first.Size {
			return nil, ErrDeltaUnavailable
		}
		data = append(data, chunk.Data...)
	}
	return data, nil
}
