package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// config is a configuration as an operator sends it.
type config struct {
	Revision  int        `cbor:"revision"`
	Routes    []route    `cbor:"route_table"`
	Upstreams []upstream `cbor:"upstream_table"`
	Limits    limits     `cbor:"request_limits"`
	Tenants   []tenant   `cbor:"tenant_table"`
}

type route struct {
	Name      string  `cbor:"name"`
	Host      string  `cbor:"host_match"`
	Prefix    string  `cbor:"path_prefix"`
	Type      string  `cbor:"route_type"`
	TimeoutMs float64 `cbor:"timeout_ms"`
	TargetMs  float64 `cbor:"target_latency_ms"`
	Priority  int     `cbor:"priority"`
	Upstream  string  `cbor:"upstream"`
	Retries   int     `cbor:"retry_count"`
	Anonymous bool    `cbor:"anonymous"`
}

type upstream struct {
	Name    string `cbor:"name"`
	Health  string `cbor:"health_check"`
	MaxConn int    `cbor:"max_connections"`
	Proto   string `cbor:"protocol"`
	TLS     bool   `cbor:"tls_enabled"`
}

type limits struct {
	Header  int     `cbor:"max_header_bytes"`
	Body    int     `cbor:"max_body_bytes"`
	Timeout float64 `cbor:"header_timeout_ms"`
	Idle    float64 `cbor:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `cbor:"name"`
	Keys     []string `cbor:"api_keys"`
	Priority int      `cbor:"priority"`
	Rate     float64  `cbor:"rate_per_s"`
	Burst    float64  `cbor:"burst_size"`
}

// newConfig returns a configuration with services and no routes yet.
func newConfig(revision int, services ...string) *config {
	c := &config{Revision: revision, Limits: limits{16384, 67108864, 3000, 15000}}
	for _, s := range services {
		c.Upstreams = append(c.Upstreams, upstream{Name: s, Health: "/health", MaxConn: 150, Proto: "h1"})
	}
	return c
}

// bring brings a configuration on top of a version, again until it is acknowledged.
func (w *world) bring(c *config, base int) error {
	data, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for try := 0; try < 100; try++ {
		m := w.machines[try%len(w.machines)]
		status, reason := post(client, m.control, base, data)
		w.rec.note("config %d on %d at %s: %d %s", c.Revision, base, m.name, status, reason)
		switch status {
		case http.StatusOK:
			return nil
		case 400, 409, 412, 413, 422:
			return fmt.Errorf("configuration %d: %d %s", c.Revision, status, reason)
		}
		time.Sleep(time.Duration(50+20*min(try, 10)) * time.Millisecond)
	}
	return errors.New("the configuration is not acknowledged")
}

// post makes one call; status 0: no answer.
func post(client *http.Client, addr string, base int, data []byte) (status int, reason string) {
	q, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/Config.Replace", bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Base-Revision", strconv.Itoa(base))
	q.Header.Set("Content-Type", "application/cbor")
	resp, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	text, _ := io.ReadAll(resp.Body) // the reason is for the record only
	_ = resp.Body.Close()
	return resp.StatusCode, string(bytes.TrimSpace(text))
}
