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

// checkFile returns every fault of a file, one a line.
func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	switch filepath.Ext(path) {
	case ".toml":
		return checkTOML(path, data)
	case ".cbor":
		_, err := api.ParseConfig(data)
		return err
	case ".json":
		_, _, err := readConfig(path, data)
		return err
	}
	return errors.New("neither .toml, .cbor nor .json")
}

// tuningTables are those by which a tuning file is known.
var tuningTables = []string{"[log]", "[metrics]", "[tls]", "[upstream]", "[link]"}

// checkTOML checks a day, a tuning file or a settings file, by what is in it.
func checkTOML(path string, data []byte) error {
	has := func(text string) bool { return bytes.Contains(data, []byte(text)) }
	var err error
	switch {
	case has("[[classes]]"):
		_, err = scenario.Read(path)
	case !has("node_name") && slices.ContainsFunc(tuningTables, has):
		_, err = settings.ParseTuning(data)
	default:
		_, err = settings.Parse(data)
	}
	return err
}

// readConfig reads a configuration in either form, by the ending of its file, and returns
// it in CBOR too.
func readConfig(path string, data []byte) (*api.Config, []byte, error) {
	if filepath.Ext(path) == ".json" {
		var fields map[string]any
		d := json.NewDecoder(bytes.NewReader(data))
		d.UseNumber()
		if err := d.Decode(&fields); err != nil {
			return nil, nil, fmt.Errorf("the configuration can't be read whole: %w", err)
		}
		var err error
		if data, err = cbor.Marshal(wholeNumbers(fields)); err != nil {
			return nil, nil, err
		}
	}
	c, err := api.ParseConfig(data)
	return c, data, err
}

// wholeNumbers turns JSON's numbers into whole ones where they are.
func wholeNumbers(v any) any {
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
			v[k] = wholeNumbers(v[k])
		}
	case []any:
		for i := range v {
			v[i] = wholeNumbers(v[i])
		}
	}
	return v
}
