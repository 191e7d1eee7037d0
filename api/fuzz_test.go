package api

import (
	"bytes"
	"testing"
)

// What another process sends is read whole or not at all; what was read can be
// sent on and means the same.
func FuzzMessages(f *testing.F) {
	c := codec{}
	for _, v := range []any{&Watch{Name: "a", Revision: 3}, &News{Lease: true, List: &Parcel{To: 3, Size: 1, Data: []byte{0}}, Core: []string{"x"}},
		&Beat{From: Peer{Name: "a", Life: 9}, Peers: []Peer{{Name: "b"}}}, &Result{Status: 409, Why: "x"}, &Join{ID: 7, Addr: "a"}} {
		data, err := c.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, v := range []func() any{func() any { return new(Watch) }, func() any { return new(News) }, func() any { return new(Beat) },
			func() any { return new(BeatReply) }, func() any { return new(Result) }, func() any { return new(Join) },
			func() any { return new(Replace) }, func() any { return new(Deliver) }} {
			a := v()
			if c.Unmarshal(data, a) != nil {
				continue
			}
			once, err := c.Marshal(a)
			if err != nil {
				t.Fatalf("%T was read and can't be sent on: %v", a, err)
			}
			b := v()
			if err := c.Unmarshal(once, b); err != nil {
				t.Fatalf("%T: %v", a, err)
			}
			if twice, err := c.Marshal(b); err != nil || !bytes.Equal(once, twice) {
				t.Fatalf("%T is another one after a second reading: %x, %x", a, once, twice)
			}
		}
	})
}
