package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

// Keyring holds the keys of one machine's folder as of the last [Keyring.Reload]. It is safe
// for concurrent use. The TLS configurations that it returns use the current keys at each
// handshake.
type Keyring struct {
	dir     string
	current atomic.Pointer[keySet] // never nil in an open keyring; replaced as a whole, never modified
}

// keySet is the content of a machine's folder.
type keySet struct {
	sum         [sha256.Size]byte // checksum of all files
	certificate tls.Certificate
	roots       *x509.CertPool
	gossipKeys  [][]byte // at least one; the first is the active one
}

// Open reads a machine's folder and returns its keyring.
func Open(dir string) (*Keyring, error) {
	r := &Keyring{dir: dir}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the folder again and reports whether it has changed. If a file is missing or
// invalid, Reload fails and the previous keys stay in use.
func (r *Keyring) Reload() (changed bool, err error) {
	files := map[string][]byte{}
	hash := sha256.New()
	for _, name := range []string{caFile, certFile, keyFile, gossipKeyFile} {
		data, err := readFile(r.dir, name)
		if err != nil {
			return false, err
		}
		files[name] = data
		hash.Write(data)
	}
	sum := [sha256.Size]byte(hash.Sum(nil))
	if old := r.current.Load(); old != nil && old.sum == sum {
		return false, nil
	}
	next, err := parseKeySet(files)
	if err != nil {
		return false, err
	}
	next.sum = sum
	r.current.Store(next)
	return true, nil
}

// parseKeySet parses the files of a machine's folder. It fails unless the machine's
// certificate is currently valid and was issued by a CA in the same folder.
func parseKeySet(files map[string][]byte) (*keySet, error) {
	cas, err := parseCertificates(files[caFile])
	if err != nil {
		return nil, err
	}
	set := &keySet{roots: x509.NewCertPool()}
	for _, c := range cas {
		set.roots.AddCert(c)
	}
	if set.certificate, err = tls.X509KeyPair(files[certFile], files[keyFile]); err != nil {
		return nil, fmt.Errorf("keys: %s and %s: %w", certFile, keyFile, err)
	}
	if set.gossipKeys, err = parseGossipKeys(files[gossipKeyFile]); err != nil {
		return nil, err
	}
	if err := verify([]*x509.Certificate{set.certificate.Leaf}, set.roots, nil); err != nil {
		return nil, fmt.Errorf("keys: machine certificate invalid: %w", err)
	}
	return set, nil
}

// Expires returns when the machine's certificate expires.
func (r *Keyring) Expires() time.Time { return r.current.Load().certificate.Leaf.NotAfter }

// ServerConfig returns a TLS configuration for servers. Clients must present a certificate
// of the same authority.
func (r *Keyring) ServerConfig() *tls.Config {
	c := r.config()
	// The root CAs of a tls.Config are fixed, while those of a keyring can change. So
	// VerifyConnection verifies the client against the CAs trusted at the handshake.
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return verify(s.PeerCertificates, r.current.Load().roots, nil)
	}
	return c
}

// ClientConfig returns a TLS configuration for clients. The server must present a
// certificate of the same authority for the given IP address.
func (r *Keyring) ClientConfig(ip net.IP) *tls.Config {
	c := r.config()
	// VerifyConnection does the verification that InsecureSkipVerify disables, for the same
	// reason as in ServerConfig.
	c.InsecureSkipVerify = true
	c.VerifyConnection = func(s tls.ConnectionState) error {
		return verify(s.PeerCertificates, r.current.Load().roots, ip)
	}
	return c
}

// config returns the TLS configuration that servers and clients have in common.
func (r *Keyring) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.current.Load().certificate, nil
		},
	}
}

// verify checks that the first certificate was issued by one of the roots and, unless ip is
// nil, that it is valid for that IP address.
func verify(chain []*x509.Certificate, roots *x509.CertPool, ip net.IP) error {
	if len(chain) == 0 {
		return errors.New("keys: peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: roots, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := chain[0].Verify(options); err != nil {
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
