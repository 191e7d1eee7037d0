// Package keys generates and loads the keys with which the processes of the system
// authenticate each other: a certificate authority (CA) and machine certificates for mutual
// TLS, and a shared key that encrypts the gossip messages between limiters.
//
// An operator creates an authority with [InitAuthority] and a folder for each machine with
// [Issue]. A process opens its machine's folder as a [Keyring], which provides the TLS
// configurations and the [Sealer]. [Rotate] replaces the keys without a restart, in three
// stages: all machines first trust the new keys, then use them, then drop the old ones.
// After each stage every machine's folder is issued again, and the processes reload it.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"example.org/elmspan/internal/atomicfile"
)

const (
	organization = "elmspan"
	caYears      = 10
	maxNodeDays  = 3650
	serialBits   = 120
	// backdate is how long before its creation a certificate becomes valid, to tolerate
	// clock skew between machines.
	backdate = time.Hour
)

// InitAuthority creates an authority in a folder, and the folder if it is missing. It fails
// with [ErrAuthorityExists] if the folder already contains an authority.
func InitAuthority(dir string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(ErrAuthorityExists, err)
	}
	if err := atomicfile.MkdirAll(dir, folderPerm); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	ca, err := newCA(now)
	if err != nil {
		return err
	}
	gossipKey, err := newGossipKey()
	if err != nil {
		return err
	}
	// The CA key is written last: its presence marks a complete authority, see the check
	// above.
	return writeFiles(dir,
		fileContent{gossipKeyFile, gossipKey},
		fileContent{caFile, ca.certificate},
		fileContent{caKeyFile, ca.key})
}

// Issue writes a machine's folder to out, using the authority in dir: the machine's
// certificate for an IP address, valid for 1 to 3650 days, its private key, the trusted CA
// certificates, and the gossip keys.
func Issue(dir, out, name string, ip net.IP, days int, now time.Time) error {
	if name == "" || ip == nil || days < 1 || days > maxNodeDays {
		return fmt.Errorf("keys: need a name, an IP address and 1 to 3650 days; got %q, %v and %d", name, ip, days)
	}
	caPEM, err := os.ReadFile(filepath.Join(dir, caFile))
	if err != nil {
		return fmt.Errorf("keys: no authority found (create one with 'elmspan keys init'): %w", err)
	}
	gossipKeys, err := readFile(dir, gossipKeyFile)
	if err != nil {
		return err
	}
	cas, err := parseCertificates(caPEM)
	if err != nil {
		return err
	}
	caKey, err := readPrivateKey(filepath.Join(dir, caKeyFile))
	if err != nil {
		return err
	}
	node, err := newNodeCertificate(cas[0], caKey, name, ip, now, now.AddDate(0, 0, days))
	if err != nil {
		return err
	}
	if err := atomicfile.MkdirAll(out, folderPerm); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return writeFiles(out,
		fileContent{caFile, caPEM},
		fileContent{gossipKeyFile, gossipKeys},
		fileContent{certFile, node.certificate},
		fileContent{keyFile, node.key})
}

// keyPair is a certificate and its private key, both in PEM.
type keyPair struct{ certificate, key []byte }

// newCA creates a self-signed CA certificate.
func newCA(now time.Time) (keyPair, error) {
	serial, err := newSerial()
	if err != nil {
		return keyPair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName:   fmt.Sprintf("elmspan %x", serial.Bytes()[:4]),
			Organization: []string{organization},
		},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.AddDate(caYears, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyPair{}, fmt.Errorf("keys: %w", err)
	}
	return sign(template, template, key, key)
}

// newNodeCertificate creates a machine's certificate for client and server authentication.
func newNodeCertificate(
	ca *x509.Certificate, caKey any, name string, ip net.IP, now, notAfter time.Time,
) (keyPair, error) {
	serial, err := newSerial()
	if err != nil {
		return keyPair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{organization}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     notAfter,
		IPAddresses:  []net.IP{ip},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return keyPair{}, fmt.Errorf("keys: %w", err)
	}
	return sign(template, ca, key, caKey)
}

// sign creates the certificate for a key, signed with the parent's key.
func sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey, parentKey any) (keyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return keyPair{}, fmt.Errorf("keys: signing: %w", err)
	}
	keyPEM, err := encodePrivateKey(key)
	if err != nil {
		return keyPair{}, err
	}
	return keyPair{encodeCertificate(der), keyPEM}, nil
}

// newSerial generates a random serial number. Its highest bit is set, so that all serial
// numbers have the same length.
func newSerial() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return n.SetBit(n, serialBits, 1), nil
}

// newGossipKey generates a gossip key and returns it as a line of [gossipKeyFile].
func newGossipKey() ([]byte, error) {
	k := make([]byte, gossipKeyBytes)
	if _, err := rand.Read(k); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return []byte(hex.EncodeToString(k) + "\n"), nil
}
