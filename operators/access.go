package operators

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/elmspan/bucket"
)

const (
	mostCallers = 1024 // whose calls are counted; past it all others share one count
	burstS      = 2.0  // seconds' worth of calls may come at once
	busyAgain   = "0.2"
)

// Limits are how much the interface does at a time.
type Limits struct {
	CallsPerS float64 // of one caller; 0: no bound
	InFlight  int     // calls of all callers; 0: no bound
}

// AccessControl stands before the operator's interface.
type AccessControl struct {
	Registry *Registry // nil: everybody may do all
	Limits   Limits
	Log      *slog.Logger
	Now      func() time.Time // the time of day, for tokens that expire
	start    time.Time
	mu       sync.Mutex
	inHand   int
	rates    map[string]*rate
}

type rate struct {
	balance float64
	at      time.Duration
}

type caller struct{}

// Caller is who makes the call of a context: an operator's name, or empty where
// nobody is named.
func Caller(ctx context.Context) string {
	name, _ := ctx.Value(caller{}).(string)
	return name
}

// Handler returns an interface that is guarded: 401 to strangers, 403 to those who
// may not, 429 and 503 past the bounds. Calls that change something are written down.
func (g *AccessControl) Handler(next http.Handler) http.Handler {
	g.start, g.rates = time.Now(), map[string]*rate{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		need := RoleRead
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			need = RoleChange
		}
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		if wait := g.take(host); wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(wait, 'f', 2, 64))
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		name, err := g.allowed(r, need)
		if err != nil {
			g.Log.Warn("operator refused", "call", r.URL.Path, "from", host, "who", name, "why", err)
			status := http.StatusForbidden
			if name == "" {
				status = http.StatusUnauthorized
				w.Header().Set("WWW-Authenticate", `Bearer realm="elmspan"`)
			}
			http.Error(w, err.Error(), status)
			return
		}
		if !g.enter() {
			w.Header().Set("Retry-After", busyAgain)
			http.Error(w, "too many calls in hand", http.StatusServiceUnavailable)
			return
		}
		defer g.leave()
		seen := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(seen, r.WithContext(context.WithValue(r.Context(), caller{}, name)))
		if need == RoleChange {
			g.Log.Info("audit", "call", r.URL.Path, "who", name, "from", host, "base", r.Header.Get("Base-Revision"),
				"bytes", r.ContentLength, "status", seen.status)
		}
	})
}

var (
	errNoToken = errors.New("a token is needed: Authorization: Bearer TOKEN")
	errUnknown = errors.New("the token is not known, or has expired")
	errRole    = errors.New("the token's role does not allow this call")
)

// allowed tells who calls, and whether that one may.
func (g *AccessControl) allowed(r *http.Request, need Role) (name string, err error) {
	if g.Registry == nil {
		return "", nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", errNoToken
	}
	o, ok := g.Registry.Authenticate(g.Now(), strings.TrimSpace(token))
	switch {
	case !ok:
		return "", errUnknown
	case !o.Role.allows(need):
		return o.Name, errRole
	}
	return o.Name, nil
}

// take counts a call and tells how many seconds are too early for it.
func (g *AccessControl) take(who string) (wait float64) {
	if g.Limits.CallsPerS <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now, most := time.Since(g.start), math.Max(1, burstS*g.Limits.CallsPerS)
	v := g.rates[who]
	if v == nil {
		if len(g.rates) >= mostCallers {
			g.forget(now, most)
		}
		if len(g.rates) >= mostCallers {
			who = ""
		}
		if v = g.rates[who]; v == nil {
			v = &rate{balance: most, at: now}
			g.rates[who] = v
		}
	}
	v.balance = bucket.Refill(v.balance, (now - v.at).Seconds(), g.Limits.CallsPerS, most)
	v.at = now
	if v.balance < 1 {
		return bucket.Wait(v.balance, 1, g.Limits.CallsPerS)
	}
	v.balance--
	return 0
}

// forget drops callers whose balance is full again: nothing is known of them.
func (g *AccessControl) forget(now time.Duration, most float64) {
	for who, v := range g.rates {
		if bucket.Refill(v.balance, (now-v.at).Seconds(), g.Limits.CallsPerS, most) >= most {
			delete(g.rates, who)
		}
	}
}

func (g *AccessControl) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Limits.InFlight > 0 && g.inHand >= g.Limits.InFlight {
		return false
	}
	g.inHand++
	return true
}

func (g *AccessControl) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inHand--
}

// statusWriter notes the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
