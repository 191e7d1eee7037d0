package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

const (
	operatorPatience = time.Second            // so long an operator waits for an answer
	answeredIn       = 850 * time.Millisecond // that it can't be said
)

// A machine of the core is cut off for a time, as leader or not, both ways or one
// way, is started again meanwhile, and the others are after it: until it is back it
// says that it can't say, in time, to every operator; limiters have neither a
// lease nor a configuration of it. Once it is back it tells the newest. (Told by the
// users: it went on handing out an old configuration, refused orders, or confirmed
// them.)
func TestCutOffMachine(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name              string
		leader            bool
		says, hears, anew bool
	}{
		{"the leader", true, false, false, true}, {"another", false, false, false, true},
		{"a leader that is heard", true, true, false, false}, {"a leader that hears", true, false, true, false},
	} {
		runInBubble(t, v.name, func(t *testing.T) {
			c := newCutCore(t)
			off := c.leads("")
			if replace(c.at(off), 0, config(t, 5)) != http.StatusOK {
				t.Fatal("the first was not taken")
			}
			for _, a := range c.addrs {
				if !v.leader && a != c.leads("") {
					off = a
				}
			}
			c.until("it has the first", func() bool { return c.cores[off].Status().Revision == 5 })
			c.cuts.set(off, v.says, v.hears)
			c.sayNothing(off, "at once", !v.says)
			if got := c.take(off, 5, config(t, 6)); got != http.StatusOK {
				t.Fatalf("the others answer %d", got)
			}
			c.sayNothing(off, "after the others took another", !v.says)
			if v.anew {
				c.restart(off)
				c.sayNothing(off, "started again", !v.says)
				for _, a := range c.addrs {
					if a != off {
						c.restart(a)
					}
				}
				c.sayNothing(off, "after the others were started again", !v.says)
				if got := c.take(off, 5, config(t, 6)); got != http.StatusOK {
					t.Errorf("sent again to the others: %d", got)
				}
			}
			c.cuts.set("", false, false)
			h := c.at(off).Handler()
			c.until("it reads back", func() bool {
				w, _ := operator(h, "", nil)
				if w.Code == http.StatusOK && !bytes.Equal(w.Body.Bytes(), config(t, 6)) {
					t.Fatalf("an old one is read back: %q", w.Body)
				}
				return w.Code == http.StatusOK
			})
			for _, q := range []struct {
				base uint64
				body []byte
				want int
			}{{0, config(t, 5), 200}, {5, config(t, 6), 200}, {0, config(t, 7), 412}, {6, config(t, 3), 400}} {
				if got := replace(c.at(off), q.base, q.body); got != q.want {
					t.Errorf("once it is back, on %d: %d, want %d", q.base, got, q.want)
				}
			}
		})
	}
}

// The answer to an order that was taken is lost; it is sent again to another
// machine, after another change, after its leader has gone, and is acknowledged.
// Eight come at once, of two operators that picked the same numbers: one of each
// pair is taken.
func TestOrdersSentAgainElsewhere(t *testing.T) { inBubble(t, testOrdersSentAgainElsewhere) }

func testOrdersSentAgainElsewhere(t *testing.T) {
	c := newCutCore(t)
	l := c.leads("")
	var others []string
	for _, a := range c.addrs {
		if a != l {
			others = append(others, a)
		}
	}
	c.cuts.setMute(true)
	first := c.at(others[0])
	first.SetMembers(l, nil)
	w, _ := operator(first.Handler(), "0", config(t, 5))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Fatalf("without an answer of the leader: %d", w.Code)
	}
	if got := replace(c.at(l), 5, config(t, 6)); got != http.StatusOK {
		t.Fatalf("on top of it: %d", got)
	}
	c.cuts.setMute(false)
	for _, a := range c.addrs {
		if got := replace(c.at(a), 0, config(t, 5)); got != http.StatusOK {
			t.Errorf("sent again to %s: %d", a, got)
		}
	}
	c.stops[l]()
	if got := replace(c.at(others[1]), 0, config(t, 5)); got != http.StatusOK {
		t.Errorf("sent again to the next leader: %d", got)
	}
	base := uint64(6)
	for round := range 3 {
		named := func(i int) []byte {
			data, err := cbor.Marshal(&api.Config{Revision: base + 1, Upstreams: []api.Upstream{{Name: fmt.Sprint("operator-", i)}}})
			if err != nil {
				t.Fatal(err)
			}
			return data
		}
		got := make([]int, 8)
		var all sync.WaitGroup
		for i := range got {
			all.Go(func() { // two orders, each sent four times
				got[i] = http.StatusServiceUnavailable
				h := c.at(others[i/2%2]).Handler()
				for end := time.Now().Add(patience); got[i] == http.StatusServiceUnavailable && time.Now().Before(end); {
					w, _ := operator(h, strconv.FormatUint(base, 10), named(i%2))
					got[i] = w.Code
				}
			})
		}
		all.Wait()
		count := map[int]int{}
		for i, code := range got {
			if count[code]++; code != got[i%2] {
				t.Errorf("round %d: one order is answered %d and %d", round, code, got[i%2])
			}
		}
		if count[http.StatusOK] != 4 || count[http.StatusPreconditionFailed] != 4 {
			t.Errorf("round %d: %v", round, count)
		}
		base++
	}
}

// While a member lags, the leader is cut off, and so on, and the others take changes:
// whichever member gives a limiter a lease, with it comes no older configuration
// than one that was acknowledged before the limiter asked. A lease holds from then
// for revoke_ms less 0.5 s, so nobody serves by a version that was replaced for longer
// than that after the acknowledgement.
func TestLeasesAreOfTheNewest(t *testing.T) { inBubble(t, testLeasesAreOfTheNewest) }

func testLeasesAreOfTheNewest(t *testing.T) {
	c := newCutCore(t)
	c.leads("")
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var acked, leases atomic.Uint64
	over := make(chan struct{})
	var watchers sync.WaitGroup
	for a, k := range c.cores {
		watchers.Go(func() {
			for ctx.Err() == nil {
				select {
				case <-over:
					return
				default:
				}
				before := acked.Load()
				n, err := k.Watch(ctx, &api.WatchRequest{Revision: before, ServersVersion: math.MaxUint64})
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Millisecond) // else the bubble's clock stands where an answer waits for nothing
				if !n.Lease {
					continue
				}
				leases.Add(1)
				if n.Revision < before {
					t.Errorf("%s gives a lease with revision %d, %d was acknowledged before", a, n.Revision, before)
				}
			}
		})
	}
	version := uint64(0)
	bring := func(off string, n int) {
		for range n {
			if got := c.take(off, version, config(t, version+1)); got != http.StatusOK {
				t.Fatalf("revision %d: %d", version+1, got)
			}
			version++
			acked.Store(version)
		}
	}
	for range 3 {
		bring("", 3)
		off := c.leads("")
		late := c.addrs[0]
		if late == off {
			late = c.addrs[1]
		}
		c.cuts.lag(late) // the leader confirms to it what it has not applied
		bring(late, 3)
		c.cuts.set(off, false, false)
		bring(off, 3)
		c.cuts.set("", false, false)
	}
	had := leases.Load()
	c.until("leases once all is calm", func() bool { return leases.Load() > had+6 })
	close(over)
	watchers.Wait()
	if version != 27 {
		t.Errorf("%d changes", version)
	}
}
