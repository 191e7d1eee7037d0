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

// An invalid file named in the tuning fails the start with the name of the setting. If no file is
// named, the operator interface is open to everyone.
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
		t.Errorf("an open interface answers with status %d, want 200", w.Code)
	}
	access.reload(log) // no files to read: no effect
}
