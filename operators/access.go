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

// busyRetryAfter is the Retry-After header, in seconds, sent when the limit of concurrent calls is
// reached.
const busyRetryAfter = "0.2"

// Limits are the rate and concurrency limits of the operator interface. 0 means no limit.
type Limits struct {
	CallsPerS float64 // calls per second per caller IP address; bursts are limited to burstSeconds
	InFlight  int     // concurrent calls of all callers
}

// AccessControl is the HTTP middleware of the operator interface. Its exported fields must be set
// before [AccessControl.Handler] is called and must not change afterwards. Handler must be called
// only once.
type AccessControl struct {
	Registry *Registry // nil: every caller may make every call
	Limits   Limits
	Log      *slog.Logger     // receives audit entries and rejected calls
	Now      func() time.Time // the wall clock, to check token expiry

	limiter *rateLimiter // set by Handler

	mu       sync.Mutex
	inFlight int // calls that passed all checks and are not answered yet; guarded by mu
}

type callerKey struct{}

// Caller returns the name of the operator whose call ctx belongs to. It is empty if no
// operators file is configured.
func Caller(ctx context.Context) string {
	name, _ := ctx.Value(callerKey{}).(string)
	return name
}

// Handler wraps next with the access control. It responds with
//   - 429 if the caller exceeds its rate limit,
//   - 401 if the call has no valid token, 403 if the operator's role does not allow the call,
//   - 503 if too many calls are in flight.
//
// The rate limit is checked first, so that it also limits attempts to guess tokens. Only calls
// that pass all checks count as in flight. Of these, each call that may change the configuration
// is written to the audit log after its response.
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
			rejectUnauthorized(w, err)
			return
		}
		if !a.acquire() {
			w.Header().Set("Retry-After", busyRetryAfter)
			http.Error(w, "too many calls in hand", http.StatusServiceUnavailable)
			return
		}
		defer a.release()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r.WithContext(context.WithValue(r.Context(), callerKey{}, name)))
		if role == RoleChange {
			a.Log.Info("audit", "call", r.URL.Path, "who", name, "from", address,
				"base", r.Header.Get("Base-Revision"), "bytes", r.ContentLength, "status", recorder.status)
		}
	})
}

// callerAddress returns the IP address of the caller.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// requiredRole returns the role that a call needs. Every method except GET and HEAD may change
// the configuration.
func requiredRole(r *http.Request) Role {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return RoleRead
	}
	return RoleChange
}

// authorize authenticates a call, checks the operator's role and returns the operator's name. The
// error is [ErrNoToken], [ErrUnknownToken] or [ErrRoleNotAllowed]; only the last comes with a name.
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

// rejectUnauthorized responds to a call that authorize rejected.
func rejectUnauthorized(w http.ResponseWriter, err error) {
	status := http.StatusUnauthorized
	if errors.Is(err, ErrRoleNotAllowed) {
		status = http.StatusForbidden
	} else {
		w.Header().Set("WWW-Authenticate", `Bearer realm="elmspan"`)
	}
	http.Error(w, err.Error(), status)
}

// acquire counts a call as in flight. It returns false if the limit is reached.
func (a *AccessControl) acquire() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Limits.InFlight > 0 && a.inFlight >= a.Limits.InFlight {
		return false
	}
	a.inFlight++
	return true
}

// release ends a call that acquire counted.
func (a *AccessControl) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// statusRecorder records the status code of a response for the audit log.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records the status code and forwards it.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets [http.ResponseController] reach the underlying writer.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
