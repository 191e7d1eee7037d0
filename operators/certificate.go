package operators

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is the TLS certificate of the operator interface. It can be reloaded while in use.
type Certificate struct {
	certFile, keyFile string
	pair              atomic.Pointer[tls.Certificate] // replaced as a whole, never modified
}

// OpenCertificate reads a certificate chain and its private key, both in PEM.
func OpenCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload reads the files again. If they are unusable it returns an error and the previous
// certificate stays in use.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	c.pair.Store(&pair)
	return nil
}

// Config returns the TLS configuration of a listener. It requires TLS 1.3, and each handshake uses
// the certificate that was loaded last.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
	}
}
