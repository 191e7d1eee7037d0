package operators

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// busyRetryAfter is the Retry-After, in seconds, of a call past the limit of calls in flight.
const busyRetryAfter = "0.2"

// Limits bound what the interface does. A field that is 0 sets no limit.
type Limits struct {
	CallsPerS float64 // calls a second of one caller, by its IP address; the burst is two seconds of it
	InFlight  int     // calls of all callers at once
}

// AccessControl is the middleware before the operator interface. Its fields are set before
// [AccessControl.Handler] is called, once, and not changed after.
type AccessControl struct {
	Registry *Registry // nil: everybody may make every call
	Limits   Limits
	Log      *slog.Logger     // of the audit lines and the refusals
	Now      func() time.Time // the time of day, for tokens that expire

	limiter *rateLimiter // set by Handler

	mu       sync.Mutex
	inFlight int // calls past all checks that are not answered yet; guarded by mu
}

type callerKey struct{}

// Caller is the name of the operator who makes the call of a context. It is empty where
// there is no operators file.
func Caller(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// Handler returns next behind the access control. It answers
//   - 429 to a caller above its rate,
//   - 401 to a call without a valid token, 403 where the role does not allow the call,
//   - 503 where too many calls are in flight.
//
// The rate is checked first, so that guessing tokens is limited too. Only calls that pass
// all checks count as in flight. Each call that may change something is logged when it is
// answered.
func (a *AccessControl) Handler(next http.Handler) http.Handler {
	a.limiter = newRateLimiter(a.Limits.CallsPerS)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		address := callerAddress(r)
		if wait := a.limiter.take(address); wait > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(wait, 'f', 2, 64))
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		role := requiredRole(r)
		name, err := a.authorize(r, role)
		if err != nil {
			a.Log.Warn("operator refused", "call", r.URL.Path, "from", address, "who", name, "error", err)
			refuse(w, err)
			return
		}
		if !a.enter() {
			w.Header().Set("Retry-After", busyRetryAfter)
			http.Error(w, "too many calls in hand", http.StatusServiceUnavailable)
			return
		}
		defer a.leave()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
		if role == RoleChange {
			a.Log.Info("audit", "call", r.URL.Path, "who", name, "from", address,
				"base", r.Header.Get("Base-Revision"), "bytes", r.ContentLength, "status", recorder.status)
		}
	})
}

// callerAddress is the IP address that a call comes from.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// requiredRole is the role that a call needs: methods other than GET and HEAD may change
// something.
func requiredRole(r *http.Request) Role {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return RoleRead
	}
	return RoleChange
}

// authorize returns the name of the operator who makes a call. The error is one of
// [ErrNoToken], [ErrUnknownToken] and [ErrRoleNotAllowed]; the name is known with the last.
func (a *AccessControl) authorize(r *http.Request, required Role) (name string, err error) {
	if a.Registry == nil {
		return "", nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", ErrNoToken
	}
	o, ok := a.Registry.Authenticate(a.Now(), strings.TrimSpace(token))
	if !ok {
		return "", ErrUnknownToken
	}
	if !o.Role.allows(required) {
		return o.Name, ErrRoleNotAllowed
	}
	return o.Name, nil
}

// refuse answers a call that is not authorized.
func refuse(w http.ResponseWriter, err error) {
	status := http.StatusUnauthorized
	if errors.Is(err, ErrRoleNotAllowed) {
		status = http.StatusForbidden
	} else {
		w.Header().Set("WWW-Authenticate", `Bearer realm="elmspan"`)
	}
	http.Error(w, err.Error(), status)
}

// enter counts a call as in flight. It reports false where the limit is reached.
func (a *AccessControl) enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Limits.InFlight > 0 && a.inFlight >= a.Limits.InFlight {
		return false
	}
	a.inFlight++
	return true
}

// leave ends what enter began.
func (a *AccessControl) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// statusRecorder keeps the status of an answer for the audit line.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader keeps the status and passes it on.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for [http.ResponseController].
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
