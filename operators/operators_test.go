package operators

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// someone is an operator in a file, with the token.
func someone(t *testing.T, name string, role Role, expires time.Time) (Operator, string) {
	t.Helper()
	o, token, err := New(name, role, expires)
	if err != nil {
		t.Fatal(err)
	}
	return o, token
}

// Who has no token, a wrong one or one that has expired is a stranger; a reader
// changes nothing; each change is written down with who made it, and no token is.
func TestWhoMayDoWhat(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	reader, readToken := someone(t, "ops@example", RoleRead, time.Time{})
	ci, ciToken := someone(t, "ci", RoleChange, now.Add(time.Hour))
	old, oldToken := someone(t, "old", RoleChange, now.Add(-time.Hour))
	path := filepath.Join(t.TempDir(), "operators.toml")
	if err := Save(path, []Operator{reader, ci, old}); err != nil {
		t.Fatal(err)
	}
	book, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	g := &AccessControl{Registry: book, Log: slog.New(slog.NewTextHandler(&log, nil)), Now: func() time.Time { return now }}
	var who string
	h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who = Caller(r.Context())
		w.WriteHeader(http.StatusPreconditionFailed)
	}))
	for _, c := range []struct {
		method, auth string
		status       int
		who          string
	}{
		{"GET", "", 401, ""},
		{"GET", "Bearer", 401, ""},
		{"GET", "Bearer " + readToken + "x", 401, ""},
		{"GET", "Token " + readToken, 401, ""},
		{"GET", "Bearer " + oldToken, 401, ""},
		{"GET", "Bearer " + reader.Token, 401, ""}, // the hash opens nothing
		{"GET", "Bearer " + readToken, 412, "ops@example"},
		{"GET", "bearer " + ciToken, 412, "ci"},
		{"POST", "Bearer " + readToken, 403, ""},
		{"DELETE", "Bearer " + readToken, 403, ""},
		{"POST", "Bearer " + ciToken, 412, "ci"},
	} {
		who = ""
		r := httptest.NewRequest(c.method, "/v1/Config.Replace", strings.NewReader("x"))
		if c.auth != "" {
			r.Header.Set("Authorization", c.auth)
		}
		r.Header.Set("Base-Revision", "6")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != c.status || who != c.who {
			t.Errorf("%s %q: %d by %q, want %d by %q", c.method, c.auth, w.Code, who, c.status, c.who)
		}
		if w.Code == 401 && w.Header().Get("WWW-Authenticate") == "" {
			t.Error("a stranger is not told how to log in")
		}
	}
	text := log.String()
	if n := strings.Count(text, "msg=audit"); n != 1 || !strings.Contains(text, "who=ci") || !strings.Contains(text, "base=6") || !strings.Contains(text, "status=412") {
		t.Errorf("the log says:\n%s", text)
	}
	for _, secret := range []string{readToken, ciToken, oldToken, ci.Token} {
		if strings.Contains(text, secret) {
			t.Error("a token is in the log")
		}
	}
}

// The file is read again while it is used; one with faults changes nothing.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators.toml")
	a, token := someone(t, "a", RoleRead, time.Time{})
	if err := Save(path, []Operator{a}); err != nil {
		t.Fatal(err)
	}
	book, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if changed, err := book.Reload(); changed || err != nil {
		t.Errorf("changed %v, %v", changed, err)
	}
	if err := os.WriteFile(path, []byte("[[operator]]\nname = \"a b\"\nrole = \"all\"\nshoe = 44\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = book.Reload()
	for _, fault := range []string{`"a b"`, `"all"`, "token_sha256", "shoe"} {
		if err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%v does not name %s", err, fault)
		}
	}
	if _, ok := book.Authenticate(time.Now(), token); !ok {
		t.Error("a file with faults took the token away")
	}
	b, _ := someone(t, "b", RoleChange, time.Time{})
	if err := Save(path, []Operator{b}); err != nil {
		t.Fatal(err)
	}
	if changed, err := book.Reload(); !changed || err != nil {
		t.Errorf("changed %v, %v", changed, err)
	}
	if _, ok := book.Authenticate(time.Now(), token); ok {
		t.Error("a token that was taken away is known")
	}
	if err := Save(path, []Operator{b, b}); err == nil {
		t.Error("the same operator twice was written")
	}
}

// One caller can't take the interface from the others, and the table of callers
// is bounded.
func TestBounds(t *testing.T) { synctest.Test(t, testBounds) }

func testBounds(t *testing.T) {
	g := &AccessControl{Limits: Limits{CallsPerS: 5, InFlight: 2}, Log: slog.New(slog.DiscardHandler), Now: time.Now}
	in, out := make(chan bool), make(chan bool)
	h := g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			in <- true
			<-out
		}
	}))
	call := func(from, path string) (int, string) {
		r := httptest.NewRequest("GET", path, nil)
		r.RemoteAddr = from + ":1"
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code, w.Header().Get("Retry-After")
	}
	refused := 0
	for range 30 {
		if code, again := call("10.0.0.1", "/"); code == 429 && again != "" {
			refused++
		}
	}
	if refused != 20 { // two seconds' worth may come at once
		t.Errorf("%d of 30 calls at once were refused", refused)
	}
	time.Sleep(time.Second) // the bubble's
	refused = 0
	for range 30 {
		if code, again := call("10.0.0.1", "/"); code == 429 && again != "" {
			refused++
		}
	}
	if refused != 25 {
		t.Errorf("%d of 30 calls a second later were refused", refused)
	}
	if code, _ := call("10.0.0.2", "/"); code != 200 {
		t.Errorf("another caller is answered %d", code)
	}
	for i := range 2 {
		go call(fmt.Sprint("10.1.0.", i), "/wait")
		<-in
	}
	if code, again := call("10.2.0.1", "/"); code != 503 || again == "" {
		t.Errorf("a third call in hand is answered %d", code)
	}
	out <- true
	out <- true
	for i := range 3 * mostCallers {
		g.take(fmt.Sprint(i))
	}
	if n := len(g.rates); n > mostCallers+1 {
		t.Errorf("%d callers are remembered", n)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[operator]]\nname = \"a\"\nrole = \"read\"\ntoken_sha256 = \"" + strings.Repeat("ab", 32) + "\"\n"))
	f.Add([]byte("operator = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Parse(data)
		if err != nil {
			return
		}
		for _, o := range list { // what is read can be written and read again
			if err := o.check(); err != nil {
				t.Error(err)
			}
		}
	})
}
