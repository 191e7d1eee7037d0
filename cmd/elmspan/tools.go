package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/emulator"
	"example.org/elmspan/scenario"
	"example.org/elmspan/settings"
)

const callFor = 5 * time.Second

// ---- check ----

type checkCmd struct {
	Files []string `arg:"" help:"The files." type:"existingfile"`
}

// Run checks each file by what it is.
func (c *checkCmd) Run() error {
	bad := 0
	for _, path := range c.Files {
		err := checkFile(path)
		if err == nil {
			fmt.Printf("%s: sound\n", path)
			continue
		}
		bad++
		for line := range strings.SplitSeq(err.Error(), "\n") {
			fmt.Printf("%s: %s\n", path, strings.TrimPrefix(line, "settings "+path+": "))
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files have faults", bad, len(c.Files))
	}
	return nil
}

func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch filepath.Ext(path) {
	case ".toml":
		if bytes.Contains(data, []byte("[[classes]]")) {
			_, err := scenario.Read(path)
			return err
		}
		if tables := []string{"[log]", "[metrics]", "[tls]", "[upstream]"}; !bytes.Contains(data, []byte("node_name")) &&
			slices.ContainsFunc(tables, func(t string) bool { return bytes.Contains(data, []byte(t)) }) {
			_, err := settings.ParseTuning(data)
			return err
		}
		_, err := settings.Parse(data)
		return err
	case ".cbor":
		_, err := api.ParseConfig(data)
		return err
	case ".json":
		_, _, err := configOf(path, data)
		return err
	}
	return errors.New("neither .toml, .cbor nor .json")
}

// configOf reads a configuration in either form and returns it in CBOR too.
func configOf(path string, data []byte) (*api.Config, []byte, error) {
	if filepath.Ext(path) == ".json" {
		var any map[string]any
		d := json.NewDecoder(bytes.NewReader(data))
		d.UseNumber()
		if err := d.Decode(&any); err != nil {
			return nil, nil, fmt.Errorf("the configuration can't be read whole: %w", err)
		}
		var err error
		if data, err = cbor.Marshal(plain(any)); err != nil {
			return nil, nil, err
		}
	}
	c, err := api.ParseConfig(data)
	return c, data, err
}

// plain turns JSON's numbers into whole ones where they are.
func plain(v any) any {
	switch v := v.(type) {
	case json.Number:
		if n, err := v.Int64(); err == nil {
			return n
		}
		f, err := v.Float64()
		if err != nil {
			return v.String()
		}
		return f
	case map[string]any:
		for k := range v {
			v[k] = plain(v[k])
		}
	case []any:
		for i := range v {
			v[i] = plain(v[i])
		}
	}
	return v
}

// ---- config ----

type configCmd struct {
	Get  configGet  `cmd:"" help:"Print the newest configuration as JSON, or write it as it was sent."`
	Put  configPut  `cmd:"" help:"Check a configuration and bring it."`
	Diff configDiff `cmd:"" help:"Show in which routes, services and tenants a file differs from the newest configuration."`
}

type controlFlag struct {
	Control string `help:"A control_port address of the system." required:"" placeholder:"HOST:PORT"`
}

type configGet struct {
	controlFlag
	Out string `help:"Write it to this file, in CBOR." placeholder:"FILE"`
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

// call asks a process; its plain text is the error where it does not say 200.
func call(method, control, path string, header http.Header, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callFor)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+control+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, api.MaxConfig))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", control, resp.StatusCode, bytes.TrimSpace(got))
	}
	return got, err
}

func current(control string) (*api.Config, []byte, error) {
	data, err := call(http.MethodGet, control, "/v1/Config.Get", nil, nil)
	if err != nil {
		return nil, nil, err
	}
	c, err := api.ParseConfig(data)
	return c, data, err
}

// Run prints the newest configuration.
func (c *configGet) Run() error {
	_, data, err := current(c.Control)
	if err != nil {
		return err
	}
	if c.Out != "" {
		return os.WriteFile(c.Out, data, 0o600) // it holds keys
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
		if now, _, err := current(c.Control); err == nil {
			c.Base = now.Revision
		}
	}
	h := http.Header{"Base-Revision": {strconv.FormatUint(c.Base, 10)}, "Content-Type": {"application/cbor"}}
	if _, err := call(http.MethodPost, c.Control, "/v1/Config.Replace", h, body); err != nil {
		return err
	}
	fmt.Printf("version %d is acknowledged\n", conf.Revision)
	return nil
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
	from, _, err := current(c.Control)
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

// ---- status, version, emulate ----

type statusCmd struct{ controlFlag }

// Run prints what a process says of itself.
func (c *statusCmd) Run() error {
	data, err := call(http.MethodGet, c.Control, "/v1/Status", nil, nil)
	if err == nil {
		os.Stdout.Write(data)
	}
	return err
}

type versionCmd struct{}

// Run prints how this program was built.
func (versionCmd) Run() error {
	version, built := "unknown", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision":
				version = s.Value
			case "vcs.modified":
				if s.Value == "true" {
					built = " (modified)"
				}
			}
		}
		built += " " + b.GoVersion
	}
	fmt.Println("elmspan " + version + built)
	return nil
}

type emulateCmd struct {
	Fleet   string  `arg:"" help:"The fleet and its day." type:"existingfile"`
	Seed    uint64  `help:"Another seed than the file's."`
	Seconds float64 `help:"Another length than the file's."`
	Dir     string  `help:"Folder for settings, data and logs; a new one below the system's for such where left out." placeholder:"DIR"`
	CSV     string  `help:"Write a line for each second to this file." placeholder:"FILE"`
	Debug   bool    `help:"Have the processes log all they do."`
}

// Run plays the day. A broken rule is exit code 3.
func (c *emulateCmd) Run() error {
	spec, err := scenario.Read(c.Fleet)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		spec.Seed = c.Seed
	}
	if c.Seconds > 0 {
		spec.Shorten(c.Seconds)
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "elmspan-"); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := []string{self, "gateway"}
	if c.Debug {
		program = append(program, "--log-level", "debug")
	}
	f, err := emulator.NewFleet(spec, program, c.Dir, os.Stderr)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	r, err := f.Run(ctx)
	if err != nil {
		return err
	}
	r.Write(os.Stdout)
	if c.CSV != "" {
		out, err := os.Create(c.CSV)
		if err != nil {
			return err
		}
		if err := errors.Join(r.WriteCSV(out), out.Close()); err != nil {
			return err
		}
	}
	if !r.Sound() {
		return errRule
	}
	return nil
}
