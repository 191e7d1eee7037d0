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

// A file of the tuning that can't be used ends the start, with the setting's name; where none
// is named the interface is open.
func TestControlAccess(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(bad, []byte("[[operator]]\nname = \"a\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	log, next := slog.New(slog.DiscardHandler), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	for setting, c := range map[string]settings.ControlTuning{
		"control.operators": {Operators: bad},
		"control.cert":      {Cert: bad, Key: bad},
	} {
		var access controlAccess
		if _, err := access.open(&c, next, log); err == nil || !strings.HasPrefix(err.Error(), setting+":") {
			t.Errorf("%s: %v", setting, err)
		}
	}
	var access controlAccess
	h, err := access.open(&settings.DefaultTuning().Control, next, log)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	if h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/Config.Replace", nil)); w.Code != 200 {
		t.Errorf("an open interface answers %d", w.Code)
	}
	access.reload(log) // nothing to read: nothing happens
}
