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

// controlAccess is the access control of the operator interface, configured by the control
// table of the tuning file. By default it applies only the limits.
type controlAccess struct {
	registry    *operators.Registry    // nil: no authentication, every call is allowed
	certificate *operators.Certificate // nil: no TLS
}

// open reads the files named in the tuning and returns next wrapped in the access control. An
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

// listener returns l, wrapped in TLS if there is a certificate.
func (a *controlAccess) listener(l net.Listener) net.Listener {
	if a.certificate == nil {
		return l
	}
	return tls.NewListener(l, a.certificate.Config())
}

// reload reads the files again. The current contents stay in force if a file is invalid.
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
		log.Warn("operators file rejected, the old one stays in force", "error", err)
	case changed:
		log.Info("operators reloaded")
	}
}
