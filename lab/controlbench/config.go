package controlbench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
)

const (
	hosts          = 200 // among which routes are divided
	maxConnections = 100
	maxReasonBytes = 1 << 10
)

// buildConfig makes the first configuration.
func (b *bench) buildConfig() {
	b.config = api.Config{Revision: 1}
	for i := range b.spec.Services {
		b.config.Upstreams = append(b.config.Upstreams, upstream(serviceName(i, b.spec.Services)))
	}
	for i := range b.spec.Routes {
		b.config.Routes = append(b.config.Routes, b.newRoute(i))
	}
	for i := range b.spec.Tenants {
		tenant := api.Tenant{
			Name:  fmt.Sprint("t", i),
			Keys:  []string{fmt.Sprintf("k%d-%x", i, b.rng.Uint64())},
			Rate:  100,
			Burst: 100,
		}
		b.config.Tenants = append(b.config.Tenants, tenant)
	}
}

// serviceName is the name of the service that item i of some belongs to.
func serviceName(i, services int) string { return fmt.Sprint("service-", i%services) }

func upstream(name string) api.Upstream {
	return api.Upstream{Name: name, HealthCheck: "/health", MaxConnections: maxConnections, Protocol: "h1"}
}

// newRoute is a route whose requests two services share.
func (b *bench) newRoute(i int) api.Route {
	return api.Route{
		Name:        fmt.Sprintf("r-%05d", i),
		Host:        fmt.Sprintf("host%d.example", i%hosts),
		Prefix:      fmt.Sprintf("/p%d/%x/", i/hosts, b.rng.Uint32()),
		Type:        api.Idempotent,
		TimeoutMs:   1000,
		TargetMs:    300,
		MaxAttempts: 2,
		TrafficSplit: []api.WeightedUpstream{
			{Upstream: serviceName(i, b.spec.Services), Weight: 50},
			{Upstream: serviceName(i+1, b.spec.Services), Weight: 50},
		},
	}
}

// replaceConfig sends the configuration until it is acknowledged, and returns when it was.
func (b *bench) replaceConfig(ctx context.Context, base uint64) (time.Time, error) {
	body, err := cbor.Marshal(&b.config)
	if err != nil {
		return time.Time{}, err
	}
	last := errors.New("no answer")
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		for i := range b.spec.Members {
			if last = b.sendConfig(ctx, i, base, body); last == nil {
				return time.Now(), nil
			}
		}
		if err := sleep(ctx, retryPause); err != nil {
			break
		}
	}
	return time.Time{}, fmt.Errorf("controlbench: revision %d was not acknowledged: %w", b.config.Revision, last)
}

// sendConfig sends a configuration once, to one member.
func (b *bench) sendConfig(ctx context.Context, i int, base uint64, body []byte) (err error) {
	url := "http://" + b.addr(i, controlPort) + "/v1/Config.Replace"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	req.Header.Set("Base-Revision", fmt.Sprint(base))
	resp, err := b.control.Do(req)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	reason, err := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(reason)))
	}
	return err
}

// leader is the index of the member that says that it leads; 0 where none does.
func (b *bench) leader(ctx context.Context) int {
	for i := range b.spec.Members {
		status, err := b.memberStatus(ctx, i)
		if err == nil && status != nil && status.Role == raft.Leader.String() {
			return i
		}
	}
	return 0
}

// memberStatus asks a process for the status of its member, nil for none.
func (b *bench) memberStatus(ctx context.Context, i int) (status *controlplane.CoreStatus, err error) {
	url := "http://" + b.addr(i, controlPort) + "/v1/Status"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := b.control.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	var s struct{ Core *controlplane.CoreStatus }
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s.Core, err
}
