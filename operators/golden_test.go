package operators

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// readGolden returns the contents of a file written by an earlier release.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// An operators file written by an earlier release can be read, and saving it yields the same
// bytes.
func TestGoldenOperatorsFile(t *testing.T) {
	golden := readGolden(t, "operators.toml")
	list, err := Parse(golden)
	if err != nil {
		t.Fatal(err)
	}
	expires := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC)
	if len(list) != 2 || list[0].Name != "ops@example" || list[0].Role != RoleRead || !list[0].Expires.IsZero() ||
		list[1].Name != "ci" || list[1].Role != RoleChange || !list[1].Expires.Equal(expires) {
		t.Fatalf("decoded %+v", list)
	}
	path := filepath.Join(t.TempDir(), "operators.toml")
	if err := Save(path, list); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || !bytes.Equal(got, golden) {
		t.Errorf("saved again:\n%s\n%v, want\n%s", got, err, golden)
	}
}

// The tokens of an operators file written by an earlier release authenticate their operators
// until they expire.
func TestGoldenTokens(t *testing.T) {
	registry, err := Open(filepath.Join("testdata", "golden", "operators.toml"))
	if err != nil {
		t.Fatal(err)
	}
	expires := time.Date(2027, 1, 2, 3, 4, 5, 0, time.UTC) // of the token of ci
	tokens := strings.Fields(string(readGolden(t, "tokens.txt")))
	for i, name := range []string{"ops@example", "ci"} {
		o, ok := registry.Authenticate(expires.Add(-time.Second), tokens[i])
		if !ok || o.Name != name {
			t.Errorf("the token of %s authenticates %+v, %v", name, o, ok)
		}
		if _, ok := registry.Authenticate(expires, tokens[i]); ok != (name != "ci") {
			t.Errorf("the token of %s is accepted when that of ci expires: %v", name, ok)
		}
	}
}

// The audit log line of a change is the same as in earlier releases, apart from its time.
func TestGoldenAuditLine(t *testing.T) {
	registry, err := Open(filepath.Join("testdata", "golden", "operators.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var line bytes.Buffer
	withoutTime := func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}
	log := slog.New(slog.NewTextHandler(&line, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	now := func() time.Time { return time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC) }
	access := &AccessControl{Registry: registry, Log: log, Now: now}
	handler := access.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusPreconditionFailed)
	}))
	r := httptest.NewRequest("POST", "/v1/Config.Replace", strings.NewReader("config"))
	r.Header.Set("Authorization", "Bearer "+strings.Fields(string(readGolden(t, "tokens.txt")))[1])
	r.Header.Set("Base-Revision", "6")
	handler.ServeHTTP(httptest.NewRecorder(), r)
	if golden := readGolden(t, "audit.log"); !bytes.Equal(line.Bytes(), golden) {
		t.Errorf("%s, want %s", line.Bytes(), golden)
	}
}
