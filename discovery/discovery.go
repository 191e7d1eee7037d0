// Package discovery asks the platform which servers there are. Within the
// system one process asks for all, the leader of the core; a limiter that has
// heard nothing of the core for long asks for itself, ever more seldom the more
// limiters there are, so that the platform's rate holds.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	callTimeout = time.Second
	mostPages   = 2000
	mostPage    = 4 << 20

	// A list of more pages than half a second of the platform's rate is read at a part of
	// that rate, and goes on where the platform was busy all the same: read at once it
	// would be turned away at the same page each time, and never be had.
	atOnce    = 0.5 // seconds of the rate
	ratePart  = 0.8
	mostBusy  = 8 // times that a page is asked for again
	busyPause = 500 * time.Millisecond
)

// ErrBusy tells that the platform's rate is exceeded.
var ErrRateLimited = fmt.Errorf("discovery: over the platform's rate")

type page struct {
	Members []api.Server `cbor:"members"`
	Next    *string      `cbor:"next_token"`
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: 5 * time.Second,
	DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10}}

// List asks the platform at an address for the whole list, in as many calls as
// it has pages, of which it takes so many a second; 0: any. [ErrBusy]: it is over
// that rate, with others that ask.
func ListServers(ctx context.Context, addr string, perS float64) (list []api.Server, pages int, err error) {
	return read(perS, func(token string) (*page, error) { return ask(ctx, addr, token) },
		func(d time.Duration) bool { return backoff.Sleep(ctx, d) })
}

// read reads a list page by page. sleep tells whether all of the time has passed.
func read(perS float64, ask func(token string) (*page, error), sleep func(time.Duration) bool) (list []api.Server, pages int, err error) {
	var out []api.Server
	token, busy := "", 0
	for pages < mostPages {
		paced := perS > 0 && float64(pages) >= atOnce*perS
		if paced && !sleep(time.Duration(float64(time.Second)/(ratePart*perS))) {
			return nil, pages, context.Canceled
		}
		p, err := ask(token)
		if errors.Is(err, ErrRateLimited) && paced && busy < mostBusy {
			if busy++; !sleep(busyPause) {
				return nil, pages, context.Canceled
			}
			continue
		}
		if err != nil {
			return nil, pages, err
		}
		pages++
		busy = 0
		for _, m := range p.Members {
			if m.ID != "" && m.Addr != "" && m.Upstream != "" {
				out = append(out, m)
			}
		}
		if p.Next == nil || *p.Next == "" {
			return out, pages, nil
		}
		token = *p.Next
	}
	return nil, pages, fmt.Errorf("discovery: more than %d pages", mostPages)
}

func ask(ctx context.Context, addr, token string) (*page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u := "http://" + addr + "/members"
	if token != "" {
		u += "?page_token=" + url.QueryEscape(token)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostPage+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("discovery: reading the list: %w", err)
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery: the platform answered %d", resp.StatusCode)
	case len(body) > mostPage:
		return nil, fmt.Errorf("discovery: a page of more than %d bytes", mostPage)
	}
	p := &page{}
	if err := api.Unmarshal(body, p); err != nil {
		return nil, fmt.Errorf("discovery: the list can't be read: %w", err)
	}
	return p, nil
}
