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
	callTimeout  = time.Second // of the call for one page
	maxPages     = 2000
	maxPageBytes = 4 << 20
)

// A long list is read at a part of the platform's rate, and continues at the page where the
// rate was exceeded all the same: read at once it would be rejected at the same page each
// time, and never be complete.
const (
	// unpacedSeconds is up to how many seconds' worth of the rate is read at once.
	unpacedSeconds = 0.5
	// pacedRateFraction is the part of the rate at which the rest is read. More leaves less to
	// others that ask.
	pacedRateFraction = 0.8
	// maxRateLimited is how many times in a row a paced page is asked for again.
	maxRateLimited = 8
	// rateLimitedPause is the pause before that.
	rateLimitedPause = 500 * time.Millisecond
)

// page is one page of the platform's list.
type page struct {
	Members []api.Server `cbor:"members"`
	Next    *string      `cbor:"next_token"` // nil or empty: this is the last page
}

// httpClient keeps one idle connection at most, and only while a list is read.
var httpClient = &http.Client{Transport: &http.Transport{
	MaxIdleConns:       1,
	IdleConnTimeout:    5 * time.Second,
	DisableCompression: true,
	ReadBufferSize:     4 << 10,
	WriteBufferSize:    1 << 10,
}}

// ListServers reads the complete list of the platform at an address (host:port), and returns it
// with the number of pages. ratePerS is the platform's rate limit in calls per second; 0: none,
// and nothing is paced. Entries without an id, an address or a service are left out.
//
// The error is [ErrRateLimited] or [ErrTooLarge], [context.Canceled] when the context ended in a
// pause, or that of the call that failed.
func ListServers(ctx context.Context, addr string, ratePerS float64) (list []api.Server, pages int, err error) {
	r := pageReader{
		ratePerS:  ratePerS,
		fetchPage: func(token string) (*page, error) { return fetchPage(ctx, addr, token) },
		sleep:     func(d time.Duration) bool { return backoff.Sleep(ctx, d) },
	}
	return r.readAll()
}

// pageReader reads a list page by page.
type pageReader struct {
	ratePerS  float64
	fetchPage func(token string) (*page, error)
	sleep     func(time.Duration) bool // it reports whether all of the time has passed

	pages int // read so far
}

func (r *pageReader) readAll() (list []api.Server, pages int, err error) {
	token := ""
	for r.pages < maxPages {
		p, err := r.next(token)
		if err != nil {
			return nil, r.pages, err
		}
		for _, m := range p.Members {
			if m.ID != "" && m.Addr != "" && m.Upstream != "" {
				list = append(list, m)
			}
		}
		if p.Next == nil || *p.Next == "" {
			return list, r.pages, nil
		}
		token = *p.Next
	}
	return nil, r.pages, fmt.Errorf("%w: more than %d pages", ErrTooLarge, maxPages)
}

// next reads the page of a token. A paced one that is rejected is asked for again.
func (r *pageReader) next(token string) (*page, error) {
	paced := r.ratePerS > 0 && float64(r.pages) >= unpacedSeconds*r.ratePerS
	for rejected := 0; ; rejected++ {
		if paced && !r.sleep(time.Duration(float64(time.Second)/(pacedRateFraction*r.ratePerS))) {
			return nil, context.Canceled
		}
		p, err := r.fetchPage(token)
		if err == nil {
			r.pages++
			return p, nil
		}
		if !errors.Is(err, ErrRateLimited) || !paced || rejected >= maxRateLimited {
			return nil, err
		}
		if !r.sleep(rateLimitedPause) {
			return nil, context.Canceled
		}
	}
}

// fetchPage calls the platform for one page. An empty token is the first page's.
func fetchPage(ctx context.Context, addr, token string) (*page, error) {
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
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // all that is wanted has been read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("discovery: reading a page: %w", err)
	}
	return decodePage(resp.StatusCode, body)
}

func decodePage(status int, body []byte) (*page, error) {
	switch {
	case status == http.StatusTooManyRequests:
		return nil, ErrRateLimited
	case status != http.StatusOK:
		return nil, fmt.Errorf("discovery: the platform answered with status %d", status)
	case len(body) > maxPageBytes:
		return nil, fmt.Errorf("%w: a page of more than %d bytes", ErrTooLarge, maxPageBytes)
	}
	p := &page{}
	if err := api.Unmarshal(body, p); err != nil {
		return nil, fmt.Errorf("discovery: decoding a page: %w", err)
	}
	return p, nil
}
