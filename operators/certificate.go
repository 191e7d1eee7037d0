package operators

import (
	"crypto/tls"
	"fmt"
	"sync/atomic"
)

// Certificate is the TLS certificate of the operator interface as it was when it was last
// read.
type Certificate struct {
	certFile, keyFile string
	pair              atomic.Pointer[tls.Certificate] // replaced whole, never changed
}

// OpenCertificate reads a certificate with its chain, and its key, both in PEM.
func OpenCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload reads the files again. Files that can't be used are an error and leave the
// certificate of before in force.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	c.pair.Store(&pair)
	return nil
}

// Config is the configuration of a listener: TLS 1.3, with the certificate as it is at
// each handshake.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.pair.Load(), nil
		},
	}
}
