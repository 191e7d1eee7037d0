package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// platform is one on a clock of the test, which takes so many calls a second, and as
// many at once.
type platform struct {
	pages  int
	perS   float64
	credit float64
	slept  time.Duration
	calls  int
	busy   int
}

func (p *platform) ask(token string) (*page, error) {
	p.calls++
	if p.credit < 1 {
		p.busy++
		return nil, ErrRateLimited
	}
	p.credit--
	at, _ := strconv.Atoi(token) // no token is page 0
	out := &page{Members: []api.Server{{ID: fmt.Sprint("i-", at), Addr: "10.0.0.1:80", Upstream: "u"}}}
	if at+1 < p.pages {
		next := strconv.Itoa(at + 1)
		out.Next = &next
	}
	return out, nil
}

func (p *platform) sleep(d time.Duration) bool {
	p.slept += d
	p.credit = min(p.perS, p.credit+p.perS*d.Seconds())
	return true
}

// A long list is had within the platform's rate, look after look, and a short one at once.
// (Found at 9,700 servers and 50 calls a second: each look was turned away at the 51st
// page of 194, and no limiter ever served.)
func TestLongListsAreReadWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		pages int
		perS  float64
		most  time.Duration // that a look may take
	}{{7, 50, 0}, {25, 50, 0}, {194, 50, 5 * time.Second}, {194, 200, time.Second}, {1900, 50, 50 * time.Second}} {
		p := &platform{pages: c.pages, perS: c.perS, credit: c.perS}
		for look := range 3 {
			p.slept = 0
			list, pages, err := read(c.perS, p.ask, p.sleep)
			if err != nil || pages != c.pages || len(list) != c.pages {
				t.Fatalf("%+v, look %d: %d servers in %d pages, %v", c, look, len(list), pages, err)
			}
			if p.slept > c.most {
				t.Errorf("%+v, look %d took %v", c, look, p.slept)
			}
			p.sleep(max(0, 2*time.Second-p.slept)) // until the next look
		}
		if p.busy != 0 {
			t.Errorf("%+v: turned away %d times", c, p.busy)
		}
	}
}

// Where others use up the rate a long list goes on at the page where it was turned away,
// a bounded number of times; a short one is asked for anew by the caller, as ever.
func TestBusyPlatform(t *testing.T) {
	p := &platform{pages: 100, perS: 50, credit: 40}
	turned := 0
	ask := func(token string) (*page, error) {
		if token == "60" && turned < 3 {
			turned++
			return nil, ErrRateLimited
		}
		return p.ask(token)
	}
	if list, _, err := read(50, ask, p.sleep); err != nil || len(list) != 100 || turned != 3 {
		t.Errorf("%d servers, %v", len(list), err)
	}
	p = &platform{pages: 100, perS: 50, credit: 40}
	never := func(token string) (*page, error) {
		if token == "60" {
			return nil, ErrRateLimited
		}
		return p.ask(token)
	}
	if _, _, err := read(50, never, p.sleep); !errors.Is(err, ErrRateLimited) || p.calls > 200 {
		t.Errorf("%d calls, %v", p.calls, err)
	}
	p = &platform{pages: 5, perS: 50, credit: 3}
	if _, _, err := read(50, p.ask, p.sleep); !errors.Is(err, ErrRateLimited) || p.calls != 4 || p.slept != 0 {
		t.Errorf("%d calls, %v waited, %v", p.calls, p.slept, err)
	}
}

// Without a rate nothing is waited for.
func TestNoRate(t *testing.T) {
	p := &platform{pages: 300, perS: 1e9, credit: 1e9}
	if list, _, err := read(0, p.ask, p.sleep); err != nil || len(list) != 300 || p.slept != 0 {
		t.Errorf("%d servers, %v waited, %v", len(list), p.slept, err)
	}
}
