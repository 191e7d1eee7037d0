package settings

import (
	"os"
	"strings"
	"testing"
)

// Every fault of a tuning file is named with its setting; what is left out has
// its default.
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
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	got, err := ParseTuning([]byte("[log]\nformat = \"json\""))
	if err != nil || got.Log.Format != "json" || got.Log.Level != "info" || got.Upstream.ConnectMs != 300 {
		t.Errorf("%+v, %v", got, err)
	}
}

// The reference page is the one that the code makes.
func TestReferencePage(t *testing.T) {
	var b strings.Builder
	if err := WriteReference(&b); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../docs/tuning.md")
	if err != nil || string(page) != b.String() {
		t.Errorf("docs/tuning.md is not what 'elmspan reference' writes: %v", err)
	}
}
