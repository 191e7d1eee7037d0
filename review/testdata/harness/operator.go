package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// config is a configuration, as the operator sends it.
type config struct {
	Revision  uint64     `cbor:"revision"`
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
	Retries   int64   `cbor:"retry_count"`
	Anonymous bool    `cbor:"anonymous"`
}

type upstream struct {
	Name           string `cbor:"name"`
	HealthCheck    string `cbor:"health_check"`
	MaxConnections int    `cbor:"max_connections"`
	Protocol       string `cbor:"protocol"`
	TLS            bool   `cbor:"tls_enabled"`
}

type limits struct {
	MaxHeaderBytes  int     `cbor:"max_header_bytes"`
	MaxBodyBytes    int     `cbor:"max_body_bytes"`
	HeaderTimeoutMs float64 `cbor:"header_timeout_ms"`
	IdleTimeoutMs   float64 `cbor:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `cbor:"name"`
	Keys     []string `cbor:"api_keys"`
	Priority int      `cbor:"priority"`
	Rate     float64  `cbor:"rate_per_s"`
	Burst    float64  `cbor:"burst_size"`
}

const hostName = "jepu9.example"

// defaultLimits are those of the users' page.
var defaultLimits = limits{16384, 67108864, 3000, 15000}

// serviceNamed is the entry of a service.
func serviceNamed(name string) upstream {
	return upstream{Name: name, HealthCheck: "/health", MaxConnections: 130, Protocol: "h1"}
}

// operator is the stand-in of the operator.
type operator struct {
	world *world
	base  uint64 // the version that was acknowledged last
}

const operatorTries = 80

// bring sends a configuration until it is acknowledged, each time to another machine.
func (o *operator) bring(ctx context.Context, c *config) error {
	body, err := cbor.Marshal(c)
	if err != nil {
		return err
	}
	for try := range operatorTries {
		m := o.world.machines[try%len(o.world.machines)]
		status, _ := o.call(ctx, m, http.MethodPost, "/v1/Config.Replace", body)
		switch {
		case status == http.StatusOK:
			o.world.log.printf("operator: version %d (on top of %d) is acknowledged by %s", c.Revision, o.base, m.name)
			o.base = c.Revision
			return nil
		case status >= 400 && status < 500 && status != 408 && status != 429:
			return errors.New("the configuration was refused with status " + strconv.Itoa(status))
		}
		time.Sleep(pollEvery)
	}
	return errors.New("the configuration was not acknowledged")
}

// call calls a machine and returns the status of its answer, 0 if there is none, and the answer.
func (o *operator) call(ctx context.Context, m *machine, method, path string, body []byte) (int, []byte) {
	url := "http://" + o.world.addr(m, controlPort) + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Base-Revision", strconv.FormatUint(o.base, 10))
	req.Header.Set("Content-Type", "application/cbor")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // read whole, or given up
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}
