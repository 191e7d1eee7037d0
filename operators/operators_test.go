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

// newOperator returns an operator and its token.
func newOperator(t *testing.T, name string, role Role, expires time.Time) (Operator, string) {
	t.Helper()
	o, token, err := New(name, role, expires)
	if err != nil {
		t.Fatal(err)
	}
	return o, token
}

// newRegistry saves operators to a file and opens it.
func newRegistry(t *testing.T, list ...Operator) (path string, registry *Registry) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "operators.toml")
	if err := Save(path, list); err != nil {
		t.Fatal(err)
	}
	registry, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, registry
}

// Calls without a token, with an unknown one or with an expired one get 401. RoleRead can't make
// changes. Each change is logged with the operator who made it, and no token is logged.
func TestAccessByTokenAndRole(t *testing.T) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	reader, readToken := newOperator(t, "ops@example", RoleRead, time.Time{})
	ci, ciToken := newOperator(t, "ci", RoleChange, now.Add(time.Hour))
	old, oldToken := newOperator(t, "old", RoleChange, now.Add(-time.Hour))
	_, registry := newRegistry(t, reader, ci, old)
	var log bytes.Buffer
	access := &AccessControl{
		Registry: registry,
		Log:      slog.New(slog.NewTextHandler(&log, nil)),
		Now:      func() time.Time { return now },
	}
	var who string
	handler := access.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		{"GET", "Bearer " + reader.Token, 401, ""}, // the stored hash is not accepted as a token
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
		handler.ServeHTTP(w, r)
		if w.Code != c.status || who != c.who {
			t.Errorf("%s %q: status %d, operator %q; want %d, %q", c.method, c.auth, w.Code, who, c.status, c.who)
		}
		if w.Code == 401 && w.Header().Get("WWW-Authenticate") == "" {
			t.Error("401 response without a WWW-Authenticate header")
		}
	}
	text := log.String()
	if n := strings.Count(text, "msg=audit"); n != 1 || !strings.Contains(text, "who=ci") ||
		!strings.Contains(text, "base=6") || !strings.Contains(text, "status=412") {
		t.Errorf("unexpected log:\n%s", text)
	}
	for _, secret := range []string{readToken, ciToken, oldToken, ci.Token} {
		if strings.Contains(text, secret) {
			t.Error("the log contains a token or its hash")
		}
	}
}

// Reload picks up changes of the file. An invalid file leaves the previous operators in use.
func TestRegistryReload(t *testing.T) {
	a, token := newOperator(t, "a", RoleRead, time.Time{})
	path, registry := newRegistry(t, a)
	if changed, err := registry.Reload(); changed || err != nil {
		t.Errorf("changed %v, %v", changed, err)
	}
	faulty := []byte("[[operator]]\nname = \"a b\"\nrole = \"all\"\nshoe = 44\n")
	if err := os.WriteFile(path, faulty, 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := registry.Reload()
	for _, fault := range []string{`"a b"`, `"all"`, "token_sha256", "shoe"} {
		if err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("error %v does not mention %s", err, fault)
		}
	}
	if _, ok := registry.Authenticate(time.Now(), token); !ok {
		t.Error("an invalid file revoked the token")
	}
	b, _ := newOperator(t, "b", RoleChange, time.Time{})
	if err := Save(path, []Operator{b}); err != nil {
		t.Fatal(err)
	}
	if changed, err := registry.Reload(); !changed || err != nil {
		t.Errorf("changed %v, %v", changed, err)
	}
	if _, ok := registry.Authenticate(time.Now(), token); ok {
		t.Error("a removed token is still accepted")
	}
	if err := Save(path, []Operator{b, b}); err == nil {
		t.Error("a list with a duplicate operator was saved")
	}
}

// limitedInterface is an operator interface with limits. Calls to /wait stay in flight until a
// value is sent on release.
type limitedInterface struct {
	access           *AccessControl
	handler          http.Handler
	entered, release chan struct{}
}

func newLimitedInterface(limits Limits) *limitedInterface {
	i := &limitedInterface{
		access:  &AccessControl{Limits: limits, Log: slog.New(slog.DiscardHandler), Now: time.Now},
		entered: make(chan struct{}), release: make(chan struct{}),
	}
	i.handler = i.access.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			i.entered <- struct{}{}
			<-i.release
		}
	}))
	return i
}

func (i *limitedInterface) call(from, path string) (status int, retryAfter string) {
	r := httptest.NewRequest("GET", path, nil)
	r.RemoteAddr = from + ":1"
	w := httptest.NewRecorder()
	i.handler.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Retry-After")
}

// countRateLimited makes a number of calls at the same instant and counts those that got 429 with a
// Retry-After header.
func (i *limitedInterface) countRateLimited(calls int, from string) (limited int) {
	for range calls {
		if status, retryAfter := i.call(from, "/"); status == 429 && retryAfter != "" {
			limited++
		}
	}
	return limited
}

// The rate limit of one caller does not affect others. The test runs on the fake clock of
// synctest.
func TestRateLimitOfOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := newLimitedInterface(Limits{CallsPerS: 5, InFlight: 2})
		if n := limited.countRateLimited(30, "10.0.0.1"); n != 20 { // the burst is two seconds of the rate
			t.Errorf("%d of 30 calls at once were rate limited, want 20", n)
		}
		time.Sleep(time.Second)
		if n := limited.countRateLimited(30, "10.0.0.1"); n != 25 {
			t.Errorf("%d of 30 calls a second later were rate limited, want 25", n)
		}
		if status, _ := limited.call("10.0.0.2", "/"); status != 200 {
			t.Errorf("another caller got status %d, want 200", status)
		}
	})
}

// The number of token buckets is bounded, whatever the number of callers.
func TestCallersWithABucketAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimitedInterface(Limits{CallsPerS: 5}).access.limiter
		for i := range 3 * maxCallers {
			limiter.take(fmt.Sprint(i))
		}
		if n := len(limiter.buckets); n > maxCallers+1 {
			t.Errorf("%d token buckets", n)
		}
	})
}

// A call above the limit of concurrent calls gets 503 with a Retry-After header.
func TestLimitOfCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := newLimitedInterface(Limits{CallsPerS: 5, InFlight: 2})
		for i := range 2 {
			go limited.call(fmt.Sprint("10.1.0.", i), "/wait")
			<-limited.entered
		}
		if status, retryAfter := limited.call("10.2.0.1", "/"); status != 503 || retryAfter == "" {
			t.Errorf("a third concurrent call got status %d, want 503", status)
		}
		limited.release <- struct{}{}
		limited.release <- struct{}{}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[[operator]]\nname = \"a\"\nrole = \"read\"\ntoken_sha256 = \"" + strings.Repeat("ab", 32) + "\"\n"))
	f.Add([]byte("operator = 3"))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, err := Parse(data)
		if err != nil {
			return
		}
		for _, o := range list { // accepted entries are valid, so they can be saved and read again
			if err := o.validate(); err != nil {
				t.Error(err)
			}
		}
	})
}
