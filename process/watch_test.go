package process

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/versioned"
)

// After an outage of the whole control plane its machines restart one after the other. A process
// without a lease tries the next machine promptly instead of spending a whole call time-out on one
// to which no connection can be established. Guards against waiting as long for the connection as
// for the answer, urgentTimeout per call.
func TestUnresponsiveMemberIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.DiscardHandler)
		dial := func(context.Context, string) (net.Conn, error) { // the connection stays open but nothing answers
			local, remote := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, remote) }() // returns when the connection is closed
			return local, nil
		}
		conns := api.NewConnPool(nil, grpc.WithContextDialer(dial))
		defer conns.Close()
		w := &watcher{
			name:   func() string { return "n" },
			start:  time.Now(),
			log:    log,
			conns:  conns,
			client: &controlplane.Client{Conns: conns, Log: log, Name: "n"},
		}
		w.client.SetMembers("", []string{"10.0.0.1:1"})
		for range 4 {
			start := time.Now()
			if w.watchOnce(t.Context(), true) {
				t.Fatal("got a lease although no member answers")
			}
			if took := time.Since(start); took >= urgentTimeout || took > connectTimeout {
				t.Errorf("waited %v for a machine that does not answer", took)
			}
		}
	})
}

// The chunks of a large delta were given two seconds together, so that a limiter on a slow link never got a large
// configuration (docs/incidents/0029). Each chunk has its time, and a member that answers no more is given up.
func TestLargeDeltaIsFetchedOnASlowLink(t *testing.T) {
	const chunkTakes = 26 * time.Millisecond // 16 KB at 5 Mbit/s
	for name, c := range map[string]struct {
		answeredChunks int // after them the member answers no more
		applied        bool
		within         time.Duration
	}{
		"slow":         {1 << 20, true, 300 * chunkTakes},
		"unresponsive": {3, false, 3*chunkTakes + chunkTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				data := largeDelta(t)
				chunks := 0
				member := watchedMember{fetch: func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
					if chunks++; chunks > c.answeredChunks {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					time.Sleep(chunkTakes)
					return &api.Chunk{Data: data[q.Offset:min(len(data), q.Offset+api.ChunkSize)]}, ctx.Err()
				}}
				w := &watcher{log: slog.New(slog.DiscardHandler)}
				first := &api.EncodedDelta{To: 1, Size: len(data), Data: data[:api.ChunkSize]}
				begun, rows := time.Now(), 0
				apply := func(r *versioned.DeltaReader) error { rows = r.RowCount; return nil }
				applied := w.applyDelta(t.Context(), member, api.ConfigTable, first, apply)
				if took := time.Since(begun); applied != c.applied || applied && rows != 1 || took > c.within {
					t.Errorf("applied %t, %d rows, after %v and %d chunks", applied, rows, took, chunks)
				}
			})
		})
	}
}

// largeDelta returns a delta of some MB that does not compress.
func largeDelta(t *testing.T) []byte {
	t.Helper()
	random := rand.NewChaCha8([32]byte{1})
	value := make([]byte, 3<<20)
	_, _ = random.Read(value) // never fails
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var table versioned.Table
	table.Replace(1, map[string][]byte{"k": encoded})
	delta, err := table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	return delta.Data
}
