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

// guarded is what stands before the operator's interface; nothing but its bounds
// where the tuning file names nothing.
type guarded struct {
	book *operators.Registry
	cert *operators.Certificate
}

func (g *guarded) open(t *settings.ControlTuning, next http.Handler, log *slog.Logger) (http.Handler, error) {
	var err error
	if t.Operators != "" {
		if g.book, err = operators.Open(t.Operators); err != nil {
			return nil, fmt.Errorf("control.operators: %w", err)
		}
	}
	if t.Cert != "" {
		if g.cert, err = operators.OpenCertificate(t.Cert, t.Key); err != nil {
			return nil, fmt.Errorf("control.cert: %w", err)
		}
	}
	guard := &operators.AccessControl{Registry: g.book, Log: log, Now: time.Now,
		Limits: operators.Limits{CallsPerS: t.CallsPerS, InFlight: int(t.InFlight)}}
	return guard.Handler(next), nil
}

func (g *guarded) listener(l net.Listener) net.Listener {
	if g.cert == nil {
		return l
	}
	return tls.NewListener(l, g.cert.Config())
}

// renew reads the files again.
func (g *guarded) renew(log *slog.Logger) {
	if g.book != nil {
		switch changed, err := g.book.Reload(); {
		case err != nil:
			log.Warn("kept the operators: the new ones can't be used", "err", err)
		case changed:
			log.Info("operators read again")
		}
	}
	if g.cert != nil {
		if err := g.cert.Reload(); err != nil {
			log.Warn("kept the certificate of control: the new one can't be used", "err", err)
		}
	}
}
