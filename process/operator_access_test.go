package process

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"example.org/elmspan/settings"
)

// What the tuning file names and can't be used ends the start, with the setting's
// name; where it names nothing the interface is open.
func TestGuardOfControl(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(bad, []byte("[[operator]]\nname = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, next := slog.New(slog.DiscardHandler), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for setting, c := range map[string]settings.ControlTuning{
		"control.operators": {Operators: bad},
		"control.cert":      {Cert: bad, Key: bad},
	} {
		var g guarded
		if _, err := g.open(&c, next, log); err == nil || !strings.HasPrefix(err.Error(), setting+":") {
			t.Errorf("%s: %v", setting, err)
		}
	}
	var g guarded
	h, err := g.open(&settings.DefaultTuning().Control, next, log)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	if h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/Config.Replace", nil)); w.Code != 200 {
		t.Errorf("an open interface answers %d", w.Code)
	}
	g.renew(log) // nothing to read: nothing happens
}
