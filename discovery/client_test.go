package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// platform is a fake platform on a simulated clock, with a rate limit in calls per second and a
// burst of one second's worth of calls.
type platform struct {
	pages    int
	ratePerS float64
	tokens   float64 // number of calls that are accepted now
	slept    time.Duration
	calls    int
	rejected int
}

func newPlatform(pages int, ratePerS, tokens float64) *platform {
	return &platform{pages: pages, ratePerS: ratePerS, tokens: tokens}
}

func (p *platform) fetchPage(token string) (*page, error) {
	p.calls++
	if p.tokens < 1 {
		p.rejected++
		return nil, ErrRateLimited
	}
	p.tokens--
	at, _ := strconv.Atoi(token) // an empty token is page 0
	out := &page{Members: []api.Server{{ID: fmt.Sprint("i-", at), Addr: "10.0.0.1:80", Upstream: "u"}}}
	if at+1 < p.pages {
		next := strconv.Itoa(at + 1)
		out.Next = &next
	}
	return out, nil
}

// rejecting returns a fetchPage that rejects page 60 the given number of times.
func (p *platform) rejecting(times int) func(token string) (*page, error) {
	return func(token string) (*page, error) {
		if token == "60" && times > 0 {
			times--
			return nil, ErrRateLimited
		}
		return p.fetchPage(token)
	}
}

func (p *platform) sleep(d time.Duration) bool {
	p.slept += d
	p.tokens = min(p.ratePerS, p.tokens+p.ratePerS*d.Seconds())
	return true
}

// readAll reads the list, with pacing for a rate limit.
func (p *platform) readAll(ratePerS float64, fetch func(string) (*page, error)) ([]api.Server, int, error) {
	r := pageReader{ratePerS: ratePerS, fetchPage: fetch, sleep: p.sleep}
	return r.readAll()
}

// A long list is read repeatedly within the platform's rate limit, and a short one without
// delay. Without pacing, with 9,700 servers and 50 calls per second, page 51 of 194 was rejected
// each time, and no limiter ever became ready.
func TestLongListIsReadWithinTheRate(t *testing.T) {
	for _, c := range []struct {
		pages    int
		ratePerS float64
		maxTime  time.Duration
	}{
		{7, 50, 0},
		{25, 50, 0},
		{194, 50, 5 * time.Second},
		{194, 200, time.Second},
		{1900, 50, 50 * time.Second},
	} {
		p := newPlatform(c.pages, c.ratePerS, c.ratePerS)
		for round := range 3 {
			p.slept = 0
			list, pages, err := p.readAll(c.ratePerS, p.fetchPage)
			if err != nil || pages != c.pages || len(list) != c.pages {
				t.Fatalf("%+v, round %d: %d servers in %d pages, %v", c, round, len(list), pages, err)
			}
			if p.slept > c.maxTime {
				t.Errorf("%+v, round %d took %v", c, round, p.slept)
			}
			p.sleep(max(0, 2*time.Second-p.slept)) // until the next round
		}
		if p.rejected != 0 {
			t.Errorf("%+v: rejected %d times", c, p.rejected)
		}
	}
}

// If other clients use up the rate limit, a long list continues at the rejected page, with a
// bounded number of retries. For a short list, retrying is left to the caller.
func TestRateLimitedPlatform(t *testing.T) {
	t.Run("long list", func(t *testing.T) {
		p, rejections := newPlatform(100, 50, 40), 0
		fetch := p.rejecting(3)
		count := func(token string) (*page, error) {
			out, err := fetch(token)
			if err != nil {
				rejections++
			}
			return out, err
		}
		if list, _, err := p.readAll(50, count); err != nil || len(list) != 100 || rejections != 3 {
			t.Errorf("%d servers, %d rejections, %v", len(list), rejections, err)
		}
	})
	t.Run("always rejected", func(t *testing.T) {
		p := newPlatform(100, 50, 40)
		if _, _, err := p.readAll(50, p.rejecting(1<<30)); !errors.Is(err, ErrRateLimited) || p.calls > 200 {
			t.Errorf("%d calls, %v", p.calls, err)
		}
	})
	t.Run("short list", func(t *testing.T) {
		p := newPlatform(5, 50, 3)
		_, _, err := p.readAll(50, p.fetchPage)
		if !errors.Is(err, ErrRateLimited) || p.calls != 4 || p.slept != 0 {
			t.Errorf("%d calls, %v waited, %v", p.calls, p.slept, err)
		}
	})
}

// Without a rate limit, calls are not paced.
func TestListWithoutRateIsNotPaced(t *testing.T) {
	p := newPlatform(300, 1e9, 1e9)
	if list, _, err := p.readAll(0, p.fetchPage); err != nil || len(list) != 300 || p.slept != 0 {
		t.Errorf("%d servers, %v waited, %v", len(list), p.slept, err)
	}
}

// A page without a member list was taken for one without servers, and all servers were dropped
// (docs/incidents/0028). Only a list that is there and empty says that there are none.
func TestMissingMembersAreNotNoServers(t *testing.T) {
	for name, c := range map[string]struct {
		body    any
		wantErr error
		servers int
	}{
		"missing": {map[string]any{"next_token": nil}, ErrNoMembers, 0},
		"other":   {map[string]any{"error": "starting"}, ErrNoMembers, 0},
		"empty":   {map[string]any{"members": []any{}, "next_token": nil}, nil, 0},
		"null":    {map[string]any{"members": nil, "next_token": nil}, nil, 0},
		"one":     {map[string]any{"members": []api.Server{{ID: "i-1"}}}, nil, 1},
	} {
		body, err := cbor.Marshal(c.body)
		if err != nil {
			t.Fatal(err)
		}
		p, err := decodePage(http.StatusOK, body)
		if !errors.Is(err, c.wantErr) || err == nil && len(p.Members) != c.servers {
			t.Errorf("%s: %+v, %v; want %d servers, %v", name, p, err, c.servers, c.wantErr)
		}
	}
}
