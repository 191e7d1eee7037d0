package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/atomicfile"
)

type configCmd struct {
	Get  configGet  `cmd:"" help:"Print the newest configuration as JSON, or write it as it was sent."`
	Put  configPut  `cmd:"" help:"Check a configuration and bring it."`
	Diff configDiff `cmd:"" help:"Show in which routes, services and tenants a file differs from the newest configuration."`

	History  configHistory  `cmd:"" help:"List the versions that are remembered whole, the newest last."`
	Rollback configRollback `cmd:"" help:"Bring an earlier version again, under a new number."`
}

type controlFlag struct {
	Control string `help:"A control_port address of the system." required:"" placeholder:"HOST:PORT"`
	callerFlags
}

type configGet struct {
	controlFlag
	Revision uint64 `help:"An earlier version that is remembered; the newest where left out."`
	Out      string `help:"Write it to this file, in CBOR." placeholder:"FILE"`
}

type configPut struct {
	controlFlag
	File string `arg:"" help:"The configuration, .json or .cbor." type:"existingfile"`
	Base uint64 `help:"The version that it builds on; the current one where left out."`
}

type configDiff struct {
	controlFlag
	File string `arg:"" help:"The configuration, .json or .cbor." type:"existingfile"`
}

func current(c *controlFlag) (*api.Config, []byte, error) { return version(c, 0) }

// version reads a configuration; 0 is the newest.
func version(c *controlFlag, revision uint64) (*api.Config, []byte, error) {
	path := "/v1/Config.Get"
	if revision != 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	data, err := c.call(http.MethodGet, c.Control, path, nil, nil)
	if err != nil {
		return nil, nil, err
	}
	conf, err := api.ParseConfig(data)
	return conf, data, err
}

// Run prints the newest configuration.
func (c *configGet) Run() error {
	_, data, err := version(&c.controlFlag, c.Revision)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return atomicfile.WriteFile(c.Out, data, 0o600) // it holds keys
	}
	var any map[string]any
	m, err := cbor.DecOptions{DefaultMapType: nil}.DecMode()
	if err != nil {
		return err
	}
	if err := m.Unmarshal(data, &any); err != nil {
		return err
	}
	text, err := json.MarshalIndent(stringKeys(any), "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

func stringKeys(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = stringKeys(v[k])
		}
		return v
	case map[any]any:
		out := map[string]any{}
		for k, x := range v {
			out[fmt.Sprint(k)] = stringKeys(x)
		}
		return out
	case []any:
		for i := range v {
			v[i] = stringKeys(v[i])
		}
	}
	return v
}

// Run brings a configuration.
func (c *configPut) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	conf, body, err := configOf(c.File, data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Base == 0 {
		if now, _, err := current(&c.controlFlag); err == nil {
			c.Base = now.Revision
		}
	}
	return bring(&c.controlFlag, c.Base, conf.Revision, body)
}

// bring sends a configuration that builds on a version.
func bring(c *controlFlag, base, revision uint64, body []byte) error {
	h := http.Header{"Base-Revision": {strconv.FormatUint(base, 10)}, "Content-Type": {"application/cbor"}}
	if _, err := c.call(http.MethodPost, c.Control, "/v1/Config.Replace", h, body); err != nil {
		return err
	}
	fmt.Printf("version %d is acknowledged\n", revision)
	return nil
}

type configHistory struct{ controlFlag }

// Run lists what is remembered.
func (c *configHistory) Run() error {
	data, err := c.call(http.MethodGet, c.Control, "/v1/Config.History", nil, nil)
	if err != nil {
		return err
	}
	var versions []uint64
	if err := json.Unmarshal(data, &versions); err != nil {
		return fmt.Errorf("the history can't be read: %w", err)
	}
	for _, v := range versions {
		fmt.Println(v)
	}
	return nil
}

type configRollback struct {
	controlFlag
	Revision uint64 `arg:"" help:"The version to go back to."`
	As       uint64 `help:"Its new number; one above the current where left out."`
}

// Run brings what was in force before. It is a change like any other: it builds on
// the current version, and one that came meanwhile wins.
func (c *configRollback) Run() error {
	now, _, err := current(&c.controlFlag)
	if err != nil {
		return err
	}
	_, data, err := version(&c.controlFlag, c.Revision)
	if err != nil {
		return err
	}
	var any map[string]any
	if err := cbor.Unmarshal(data, &any); err != nil {
		return fmt.Errorf("revision %d can't be read: %w", c.Revision, err)
	}
	as := c.As
	if as == 0 {
		as = now.Revision + 1
	}
	any["revision"] = as
	body, err := cbor.Marshal(any)
	if err != nil {
		return err
	}
	return bring(&c.controlFlag, now.Revision, as, body)
}

// Run compares by name.
func (c *configDiff) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	to, _, err := configOf(c.File, data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	from, _, err := current(&c.controlFlag)
	if err != nil {
		return err
	}
	fmt.Printf("version %d -> %d\n", from.Revision, to.Revision)
	diff("route", named(from.Routes, func(r api.Route) string { return r.Name }), named(to.Routes, func(r api.Route) string { return r.Name }))
	diff("service", named(from.Upstreams, func(u api.Upstream) string { return u.Name }), named(to.Upstreams, func(u api.Upstream) string { return u.Name }))
	hide := func(t api.Tenant) api.Tenant { t.Keys = []string{fmt.Sprintf("%d keys", len(t.Keys))}; return t }
	for i := range from.Tenants {
		from.Tenants[i] = hide(from.Tenants[i])
	}
	for i := range to.Tenants {
		to.Tenants[i] = hide(to.Tenants[i])
	}
	diff("tenant", named(from.Tenants, func(t api.Tenant) string { return t.Name }), named(to.Tenants, func(t api.Tenant) string { return t.Name }))
	return nil
}

func named[T any](vs []T, name func(T) string) map[string]string {
	out := map[string]string{}
	for _, v := range vs {
		out[name(v)] = fmt.Sprintf("%+v", v)
	}
	return out
}

func diff(what string, from, to map[string]string) {
	var names []string
	for n := range from {
		names = append(names, n)
	}
	for n := range to {
		if _, ok := from[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		a, had := from[n]
		b, has := to[n]
		switch {
		case !has:
			fmt.Printf("- %s %s\n", what, n)
		case !had:
			fmt.Printf("+ %s %s %s\n", what, n, b)
		case a != b:
			fmt.Printf("~ %s %s\n    %s\n    %s\n", what, n, a, b)
		}
	}
}
