package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/lab/scenario"
	"example.org/elmspan/settings"
)

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
		if tables := []string{"[log]", "[metrics]", "[tls]", "[upstream]", "[link]"}; !bytes.Contains(data, []byte("node_name")) &&
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
