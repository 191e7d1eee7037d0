package main

import (
	"encoding/json"
	"fmt"
	"maps"
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
	Diff configDiff `cmd:"" help:"${configcmd_diff}"`

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

// newestConfig reads the configuration in force.
func newestConfig(c *controlFlag) (*api.Config, []byte, error) { return fetchConfig(c, 0) }

// fetchConfig reads a configuration of a running system, as it is and encoded; 0 is the
// newest revision.
func fetchConfig(c *controlFlag, revision uint64) (*api.Config, []byte, error) {
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
	_, data, err := fetchConfig(&c.controlFlag, c.Revision)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return atomicfile.WriteFile(c.Out, data, 0o600) // it holds keys
	}
	var fields map[string]any
	m, err := cbor.DecOptions{DefaultMapType: nil}.DecMode()
	if err != nil {
		return err
	}
	if err := m.Unmarshal(data, &fields); err != nil {
		return err
	}
	text, err := json.MarshalIndent(stringKeys(fields), "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

// stringKeys turns the maps of a decoded configuration into ones that JSON can show.
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
	conf, body, err := readConfig(c.File, data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	if c.Base == 0 {
		if now, _, err := newestConfig(&c.controlFlag); err == nil {
			c.Base = now.Revision
		}
	}
	return replaceConfig(&c.controlFlag, c.Base, conf.Revision, body)
}

// replaceConfig sends an encoded configuration that builds on a revision.
func replaceConfig(c *controlFlag, base, revision uint64, body []byte) error {
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
	now, _, err := newestConfig(&c.controlFlag)
	if err != nil {
		return err
	}
	_, data, err := fetchConfig(&c.controlFlag, c.Revision)
	if err != nil {
		return err
	}
	var fields map[string]any
	if err := cbor.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("revision %d can't be read: %w", c.Revision, err)
	}
	as := c.As
	if as == 0 {
		as = now.Revision + 1
	}
	fields["revision"] = as
	body, err := cbor.Marshal(fields)
	if err != nil {
		return err
	}
	return replaceConfig(&c.controlFlag, now.Revision, as, body)
}

// Run compares by name.
func (c *configDiff) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	to, _, err := readConfig(c.File, data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	from, _, err := newestConfig(&c.controlFlag)
	if err != nil {
		return err
	}
	fmt.Printf("version %d -> %d\n", from.Revision, to.Revision)
	printDiff("route", describeRoutes(from), describeRoutes(to))
	printDiff("service", describeServices(from), describeServices(to))
	printDiff("tenant", describeTenants(from), describeTenants(to))
	if from.RequiresKeys() != to.RequiresKeys() {
		fmt.Printf("~ tenant_table: requests need a key: %t -> %t\n", from.RequiresKeys(), to.RequiresKeys())
	}
	return nil
}

func describeRoutes(c *api.Config) map[string]string {
	return describe(c.Routes, func(r api.Route) string { return r.Name })
}

func describeServices(c *api.Config) map[string]string {
	return describe(c.Upstreams, func(u api.Upstream) string { return u.Name })
}

// describeTenants counts the keys and does not show them.
func describeTenants(c *api.Config) map[string]string {
	tenants := slices.Clone(c.Tenants)
	for i := range tenants {
		tenants[i].Keys = []string{fmt.Sprintf("%d keys", len(tenants[i].Keys))}
	}
	return describe(tenants, func(t api.Tenant) string { return t.Name })
}

// describe returns the text of each value by its name.
func describe[T any](values []T, name func(T) string) map[string]string {
	out := map[string]string{}
	for _, v := range values {
		out[name(v)] = fmt.Sprintf("%+v", v)
	}
	return out
}

// printDiff prints what was removed, added and changed, by name.
func printDiff(kind string, from, to map[string]string) {
	names := slices.AppendSeq(slices.Collect(maps.Keys(from)), maps.Keys(to))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		before, had := from[name]
		after, has := to[name]
		switch {
		case !has:
			fmt.Printf("- %s %s\n", kind, name)
		case !had:
			fmt.Printf("+ %s %s %s\n", kind, name, after)
		case before != after:
			fmt.Printf("~ %s %s\n    %s\n    %s\n", kind, name, before, after)
		}
	}
}
