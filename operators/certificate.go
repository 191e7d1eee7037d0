package operators

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is what the interface shows of itself, as it is on disk now.
type Certificate struct {
	cert, key string
	now       atomic.Pointer[tls.Certificate]
}

// OpenCertificate reads a certificate with its chain, and its key, both in PEM.
func OpenCertificate(cert, key string) (*Certificate, error) {
	c := &Certificate{cert: cert, key: key}
	return c, c.Reload()
}

// Reload reads the files again. What can't be used changes nothing.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	c.now.Store(&pair)
	return nil
}

// Config is for a listener: TLS 1.3, with the certificate as it is at each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.now.Load(), nil }}
}
