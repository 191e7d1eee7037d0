package process

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"example.org/elmspan/operators"
	"example.org/elmspan/settings"
)

// controlAccess is the access control of the operator interface, as the control table of the
// tuning file has it: by default only its limits.
type controlAccess struct {
	registry    *operators.Registry    // nil: everybody may make every call
	certificate *operators.Certificate // nil: no TLS
}

// open reads the files that the settings name and returns next behind the access control. The
// error begins with the name of the setting.
func (a *controlAccess) open(t *settings.ControlTuning, next http.Handler, log *slog.Logger) (http.Handler, error) {
	var err error
	if t.Operators != "" {
		if a.registry, err = operators.Open(t.Operators); err != nil {
			return nil, fmt.Errorf("control.operators: %w", err)
		}
	}
	if t.Cert != "" {
		if a.certificate, err = operators.OpenCertificate(t.Cert, t.Key); err != nil {
			return nil, fmt.Errorf("control.cert: %w", err)
		}
	}
	access := &operators.AccessControl{
		Registry: a.registry,
		Limits:   operators.Limits{CallsPerS: t.CallsPerS, InFlight: int(t.InFlight)},
		Log:      log,
		Now:      time.Now,
	}
	return access.Handler(next), nil
}

// listener is l with TLS where there is a certificate.
func (a *controlAccess) listener(l net.Listener) net.Listener {
	if a.certificate == nil {
		return l
	}
	return tls.NewListener(l, a.certificate.Config())
}

// reload reads the files again. One that can't be used changes nothing.
func (a *controlAccess) reload(log *slog.Logger) {
	a.reloadRegistry(log)
	if a.certificate == nil {
		return
	}
	if err := a.certificate.Reload(); err != nil {
		log.Warn("control certificate rejected, the old one stays in force", "error", err)
	}
}

func (a *controlAccess) reloadRegistry(log *slog.Logger) {
	if a.registry == nil {
		return
	}
	changed, err := a.registry.Reload()
	switch {
	case err != nil:
		log.Warn("operators rejected, the old ones stay in force", "error", err)
	case changed:
		log.Info("operators reloaded")
	}
}
