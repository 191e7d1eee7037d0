package membership

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// goldenViews returns two views that differ: each has processes that the other does not know,
// and the process of view b is leaving.
func goldenViews() (a, b *View, now time.Duration) {
	now = 10 * time.Second
	peer := func(i int, state uint8) api.Peer {
		return api.Peer{
			Name: fmt.Sprint("n", i), Addr: fmt.Sprint("10.0.0.", i, ":9"), Zone: "z", StartID: uint64(1000 + i),
			Incarnation: uint64(i), State: state, Edge: i%2 == 0, Core: i%3 == 0,
		}
	}
	a, b = NewView(peer(1, Alive)), NewView(peer(2, Alive))
	for i := 3; i < 30; i++ {
		a.Merge(now-time.Minute, []api.Peer{peer(i, Alive)})
		if i%2 == 0 {
			b.Merge(now-time.Minute, []api.Peer{peer(i, Alive)})
		}
	}
	a.Merge(now-time.Second, []api.Peer{peer(40, Alive), peer(6, Leaving)})
	b.Merge(now-time.Second, []api.Peer{peer(41, Alive)})
	b.Leave()
	return a, b, now
}

// Two views exchange byte for byte the same messages as in an earlier revision (f96d826),
// including digests, buckets and order.
func TestGoldenHeartbeatExchange(t *testing.T) {
	a, b, now := goldenViews()
	first := a.Heartbeat(now)
	response := b.HandleHeartbeat(now, first)
	second := a.HandleResponse(now, response)
	if second == nil {
		t.Fatal("no second round")
	}
	last := b.HandleHeartbeat(now, second)
	if third := a.HandleResponse(now, last); third != nil {
		t.Errorf("unexpected third round: %+v", third)
	}
	if a.Digest() != b.Digest() || len(a.Peers()) != 31 {
		t.Errorf("the views differ after the exchange; %d processes", len(a.Peers()))
	}
	for name, message := range map[string]any{
		"1-heartbeat": first, "2-response": response, "3-heartbeat": second, "4-response": last,
	} {
		want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".cbor"))
		if err != nil {
			t.Fatal(err)
		}
		if got, err := cbor.Marshal(message); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: %x (%v), want %x", name, got, err, want)
		}
		read := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err := cbor.Unmarshal(want, read); err != nil || !reflect.DeepEqual(read, message) {
			t.Errorf("%s is decoded as %+v (%v)", name, read, err)
		}
	}
}
