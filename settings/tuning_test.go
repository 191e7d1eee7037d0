package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// The error for an invalid tuning file contains the name of the setting. Settings that are not in
// the file have their defaults.
func TestTuning(t *testing.T) {
	for text, want := range map[string]string{
		"[log]\nlevel = \"loud\"":                      "log.level",
		"[log]\nlevel = 3":                             "log.level",
		"[log]\nrepeat_s = -1":                         "log.repeat_s",
		"[log]\nlvel = \"info\"":                       "log.lvel",
		"[metrics]\naddress = \"localhost\"":           "metrics.address",
		"[tls]\ndir = \"/nowhere/at/all\"":             "tls.dir",
		"[upstream]\nconnect_ms = 1":                   "upstream.connect_ms",
		"[upstream]\nidle_s = nan":                     "upstream.idle_s",
		"[log]\nlevel = \"x\"\n[upstream]\nidle_s = 0": "upstream.idle_s",
	} {
		if _, err := ParseTuning([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want an error with %s", text, err, want)
		}
	}
	got, err := ParseTuning([]byte("[log]\nformat = \"json\""))
	if err != nil || got.Log.Format != "json" || got.Log.Level != "info" || got.Upstream.ConnectMs != 300 {
		t.Errorf("%+v, %v", got, err)
	}
}

// The table describes exactly the fields of the tuning file, in the same order, and no description
// is empty.
func TestEveryTunableIsDescribed(t *testing.T) {
	var fields []string
	tables := reflect.TypeFor[Tuning]()
	for i := range tables.NumField() {
		table := tables.Field(i)
		for k := range table.Type.NumField() {
			fields = append(fields, table.Tag.Get("toml")+"."+table.Type.Field(k).Tag.Get("toml"))
		}
	}
	var described []string
	for _, d := range tunables {
		described = append(described, d.name)
		if d.allowed == "" || d.meaning == "" || d.tradeOff == "" {
			t.Errorf("%s: %+v", d.name, d)
		}
	}
	if !reflect.DeepEqual(fields, described) {
		t.Errorf("fields\n%v, described\n%v", fields, described)
	}
}

// docs/tuning.md matches the page that WriteReference generates.
func TestReferencePage(t *testing.T) {
	var page strings.Builder
	if err := WriteReference(&page); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile("../docs/tuning.md")
	if err != nil || string(written) != page.String() {
		t.Errorf("docs/tuning.md is not what 'elmspan reference' writes: %v", err)
	}
}
