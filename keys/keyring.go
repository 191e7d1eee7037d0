package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// Keyring holds one machine's keys, as they are on disk now.
type Keyring struct {
	dir string
	now atomic.Pointer[held]
}

type held struct {
	sum   [sha256.Size]byte
	cert  tls.Certificate
	roots *x509.CertPool
	words [][]byte // the one in use first
}

// Open reads a machine's folder.
func Open(dir string) (*Keyring, error) {
	r := &Keyring{dir: dir}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the folder again and tells whether it has changed. What can't
// be used changes nothing.
func (r *Keyring) Reload() (bool, error) {
	files := map[string][]byte{}
	h := sha256.New()
	for _, name := range []string{caFile, certFile, keyFile, wordsFile} {
		data, err := os.ReadFile(filepath.Join(r.dir, name))
		if err != nil {
			return false, fmt.Errorf("keys: %w", err)
		}
		files[name] = data
		h.Write(data)
	}
	next := &held{}
	h.Sum(next.sum[:0])
	if old := r.now.Load(); old != nil && old.sum == next.sum {
		return false, nil
	}
	cas, err := certificates(files[caFile])
	if err != nil {
		return false, err
	}
	next.roots = x509.NewCertPool()
	for _, c := range cas {
		next.roots.AddCert(c)
	}
	if next.cert, err = tls.X509KeyPair(files[certFile], files[keyFile]); err != nil {
		return false, fmt.Errorf("keys: %s and %s: %w", certFile, keyFile, err)
	}
	for _, line := range strings.Fields(string(files[wordsFile])) {
		k, err := hex.DecodeString(line)
		if err != nil || len(k) != 32 {
			return false, fmt.Errorf("keys: %s: a line is no key of 32 bytes in hex", wordsFile)
		}
		next.words = append(next.words, k)
	}
	if len(next.words) == 0 {
		return false, fmt.Errorf("keys: %s holds no key", wordsFile)
	}
	if err := verify([]*x509.Certificate{next.cert.Leaf}, next.roots, nil); err != nil {
		return false, fmt.Errorf("keys: the machine's own certificate: %w", err)
	}
	r.now.Store(next)
	return true, nil
}

// Expires is when the machine's certificate ends.
func (r *Keyring) Expires() time.Time { return r.now.Load().cert.Leaf.NotAfter }

// ServerConfig is the TLS configuration of a process that is called.
func (r *Keyring) ServerConfig() *tls.Config {
	c := r.common()
	c.ClientAuth = tls.RequireAnyClientCert // verified by VerifyConnection, against what is trusted then
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return verify(s.PeerCertificates, r.now.Load().roots, nil)
	}
	return c
}

// ClientConfig is the TLS configuration of a process that calls another at an address.
func (r *Keyring) ClientConfig(ip net.IP) *tls.Config {
	c := r.common()
	c.InsecureSkipVerify = true // VerifyConnection does it, against what is trusted then
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return verify(s.PeerCertificates, r.now.Load().roots, ip)
	}
	return c
}

func (r *Keyring) common() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"},
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &r.now.Load().cert, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &r.now.Load().cert, nil }}
}

// verify tells whether a chain is the system's, and for an address where one is given.
func verify(chain []*x509.Certificate, roots *x509.CertPool, ip net.IP) error {
	if len(chain) == 0 {
		return errors.New("keys: no certificate")
	}
	if _, err := chain[0].Verify(x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if ip == nil {
		return nil
	}
	if err := chain[0].VerifyHostname(ip.String()); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}
