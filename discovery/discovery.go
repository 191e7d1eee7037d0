// Package discovery asks the platform which servers there are. Within the
// system one process asks for all, the leader of the core; a limiter that has
// heard nothing of the core for long asks for itself, ever more seldom the more
// limiters there are, so that the platform's rate holds.
package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"example.org/elmspan/api"
)

const (
	callTimeout = time.Second
	mostPages   = 200
	mostPage    = 4 << 20
)

// ErrBusy tells that the platform's rate is exceeded.
var ErrBusy = fmt.Errorf("discovery: over the platform's rate")

type page struct {
	Members []api.Server `cbor:"members"`
	Next    *string      `cbor:"next_token"`
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConns: 1, IdleConnTimeout: 5 * time.Second,
	DisableCompression: true, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10}}

// List asks the platform at an address for the whole list, in as many calls as
// it has pages.
func List(ctx context.Context, addr string) (list []api.Server, pages int, err error) {
	var out []api.Server
	token := ""
	for pages < mostPages {
		p, err := ask(ctx, addr, token)
		if err != nil {
			return nil, pages, err
		}
		pages++
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
		return nil, ErrBusy
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
