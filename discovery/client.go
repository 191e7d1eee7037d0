package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	callTimeout  = time.Second // for one page
	maxPages     = 2000
	maxPageBytes = 4 << 20
)

// A long list is read at a fraction of the platform's rate limit. If a page is rejected anyway,
// reading continues with that page. Without pacing, every attempt would be rejected at the same
// page and the list would never be complete.
const (
	// unpacedSeconds bounds the number of pages that are read without pacing: as many as the
	// rate limit allows in this time.
	unpacedSeconds = 0.5
	// pacedRateFraction is the fraction of the rate limit at which the remaining pages are read.
	// A higher value leaves less for other clients of the platform.
	pacedRateFraction = 0.8
	// maxPageRetries bounds the consecutive retries of a paced page.
	maxPageRetries = 8
	// pageRetryDelay is the delay before such a retry.
	pageRetryDelay = 500 * time.Millisecond
)

// page is one page of the platform's list.
type page struct {
	Members []api.Server
	Next    *string // nil or empty: last page
}

// encodedPage is a page whose members have not been decoded.
type encodedPage struct {
	Members cbor.RawMessage `cbor:"members"` // empty: the field is missing
	Next    *string         `cbor:"next_token"`
}

// httpClient keeps at most one idle connection, and closes it soon after a list has been read.
var httpClient = &http.Client{Transport: &http.Transport{
	MaxIdleConns:       1,
	IdleConnTimeout:    5 * time.Second,
	DisableCompression: true,
	ReadBufferSize:     4 << 10,
	WriteBufferSize:    1 << 10,
}}

// ListServers reads the complete server list of the platform at an address (host:port), and
// returns it with the number of pages. ratePerS is the platform's rate limit in calls per second;
// 0: unlimited, without pacing. Entries without an ID, an address or a service are skipped.
//
// The error is [ErrRateLimited], [ErrTooLarge], [ErrNoMembers], [context.Canceled] if the context
// ended during a pause, or the error of the failed call.
func ListServers(ctx context.Context, addr string, ratePerS float64) (list []api.Server, pages int, err error) {
	r := pageReader{
		ratePerS:  ratePerS,
		fetchPage: func(token string) (*page, error) { return fetchPage(ctx, addr, token) },
		sleep:     func(d time.Duration) bool { return backoff.Sleep(ctx, d) },
	}
	return r.readAll()
}

// pageReader reads the server list page by page.
type pageReader struct {
	ratePerS  float64
	fetchPage func(token string) (*page, error)
	sleep     func(time.Duration) bool // returns false if it was interrupted

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

// next reads the page of a token. A paced page is retried if the platform rejects it.
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
		if !errors.Is(err, ErrRateLimited) || !paced || rejected >= maxPageRetries {
			return nil, err
		}
		if !r.sleep(pageRetryDelay) {
			return nil, context.Canceled
		}
	}
}

// fetchPage requests one page from the platform. An empty token selects the first page.
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
	defer func() { _ = resp.Body.Close() }() // the body has been read
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
		return nil, fmt.Errorf("discovery: platform returned HTTP status %d", status)
	case len(body) > maxPageBytes:
		return nil, fmt.Errorf("%w: page exceeds %d bytes", ErrTooLarge, maxPageBytes)
	}
	var encoded encodedPage
	if err := api.Unmarshal(body, &encoded); err != nil {
		return nil, fmt.Errorf("discovery: decoding a page: %w", err)
	}
	if len(encoded.Members) == 0 {
		return nil, ErrNoMembers
	}
	p := &page{Next: encoded.Next}
	if err := api.Unmarshal(encoded.Members, &p.Members); err != nil {
		return nil, fmt.Errorf("discovery: decoding the members of a page: %w", err)
	}
	return p, nil
}
