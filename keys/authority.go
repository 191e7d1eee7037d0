// Package keys makes and holds the keys by which the system's own processes
// know each other: an authority with certificates for mutual TLS, and a shared
// key with which words between limiters are sealed. Keys are changed without a
// restart, in three stages: all machines first trust the new ones, then use
// them, then forget the old ones.
package keys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"example.org/elmspan/internal/atomicfile"
)

// Files of an authority's folder, and of a machine's.
const (
	caFile    = "ca.pem"    // certificates that are trusted, the one in use first
	caKeyFile = "ca.key"    // of the authority only
	nextFile  = "next.key"  // of the authority only, between two stages
	wordsFile = "words.key" // hex, a line each, the one in use first
	certFile  = "node.pem"
	keyFile   = "node.key"

	caYears   = 10
	backdated = time.Hour // clocks of machines differ
)

// ErrAuthorityExists tells that a folder has an authority already.
var ErrAuthorityExists = errors.New("keys: there is an authority in this folder already")

// InitAuthority makes an authority in a folder.
func InitAuthority(dir string, now time.Time) error {
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(ErrAuthorityExists, err)
	}
	if err := atomicfile.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	cert, key, err := newCA(now)
	if err != nil {
		return err
	}
	words, err := newWordsKey()
	if err != nil {
		return err
	}
	return write(dir, named{wordsFile, words}, named{caFile, cert}, named{caKeyFile, key}) // the last one is looked for above
}

// Issue writes a machine's folder: its certificate, key, and what it trusts.
func Issue(dir, out, name string, ip net.IP, days int, now time.Time) error {
	if name == "" || ip == nil || days < 1 || days > 3650 {
		return fmt.Errorf("keys: a name, an address and 1 to 3650 days are needed, not %q, %v and %d", name, ip, days)
	}
	caPEM, err := os.ReadFile(filepath.Join(dir, caFile))
	if err != nil {
		return fmt.Errorf("keys: no authority; make one with 'elmspan keys init': %w", err)
	}
	words, err := os.ReadFile(filepath.Join(dir, wordsFile))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	cas, err := certificates(caPEM)
	if err != nil {
		return err
	}
	caKey, err := readKey(filepath.Join(dir, caKeyFile))
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name, Organization: []string{"elmspan"}},
		NotBefore: now.Add(-backdated), NotAfter: now.AddDate(0, 0, days), IPAddresses: []net.IP{ip}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, cas[0], &key.PublicKey, caKey)
	if err != nil {
		return fmt.Errorf("keys: signing: %w", err)
	}
	keyPEM, err := pemKey(key)
	if err != nil {
		return err
	}
	if err := atomicfile.MkdirAll(out, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return write(out, named{caFile, caPEM}, named{wordsFile, words}, named{certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}, named{keyFile, keyPEM})
}

// Stage is a step of a change of keys.
type Stage string

// The stages, in their order. After each, every machine is issued its folder anew.
const (
	StageAdded   Stage = "added"   // new ones are trusted beside the old ones
	StageInUse   Stage = "in use"  // new ones are used
	StageDropped Stage = "dropped" // old ones are trusted no more
)

// Rotate takes a change of keys one stage on and tells which was reached.
func Rotate(dir string, now time.Time) (Stage, error) {
	read := func(name string) ([]byte, error) {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			err = fmt.Errorf("keys: %w", err)
		}
		return data, err
	}
	caPEM, err := read(caFile)
	if err != nil {
		return "", err
	}
	words, err := read(wordsFile)
	if err != nil {
		return "", err
	}
	blocks, lines := pemBlocks(caPEM), strings.Fields(string(words))
	if len(blocks) == 0 || len(lines) == 0 || len(blocks) > 2 || len(lines) != len(blocks) {
		return "", fmt.Errorf("keys: %s holds %d certificates and %s %d keys: this is no authority's folder", caFile, len(blocks), wordsFile, len(lines))
	}
	swapped := func(k int) ([]byte, []byte) { // the k-th first
		a, b := [][]byte{blocks[k]}, []string{lines[k]}
		for i := range blocks {
			if i != k {
				a, b = append(a, blocks[i]), append(b, lines[i])
			}
		}
		return bytes.Join(a, nil), []byte(strings.Join(b, "\n") + "\n")
	}
	next, err := read(nextFile)
	switch {
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return "", err
	case err != nil && len(blocks) == 1:
		cert, key, err := newCA(now)
		if err != nil {
			return "", err
		}
		more, err := newWordsKey()
		if err != nil {
			return "", err
		}
		return StageAdded, write(dir, named{caFile, append(caPEM, cert...)}, named{wordsFile, append([]byte(lines[0]+"\n"), more...)}, named{nextFile, key})
	case err == nil:
		ca, w := swapped(len(blocks) - 1)
		if err := write(dir, named{caKeyFile, next}, named{caFile, ca}, named{wordsFile, w}); err != nil {
			return "", err
		}
		return StageInUse, atomicfile.Remove(filepath.Join(dir, nextFile))
	}
	return StageDropped, write(dir, named{caFile, blocks[0]}, named{wordsFile, []byte(lines[0] + "\n")})
}

// ---- Pieces ----

func newCA(now time.Time) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, nil, err
	}
	c := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: fmt.Sprintf("elmspan %x", serial.Bytes()[:4]), Organization: []string{"elmspan"}},
		NotBefore: now.Add(-backdated), NotAfter: now.AddDate(caYears, 0, 0), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		return nil, nil, fmt.Errorf("keys: %w", err)
	}
	key, err = pemKey(k)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), key, err
}

func newSerial() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return n.SetBit(n, 120, 1), nil // never short
}

func newWordsKey() ([]byte, error) {
	k := make([]byte, 32)
	if _, err := rand.Read(k); err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return []byte(hex.EncodeToString(k) + "\n"), nil
}

func pemKey(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

func readKey(path string) (any, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	b, _ := pem.Decode(data)
	if b == nil {
		return nil, fmt.Errorf("keys: %s holds no key", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(b.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return k, nil
}

func pemBlocks(data []byte) (out [][]byte) {
	for {
		var b *pem.Block
		if b, data = pem.Decode(data); b == nil {
			return out
		}
		out = append(out, pem.EncodeToMemory(b))
	}
}

func certificates(data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for _, b := range pemBlocks(data) {
		p, _ := pem.Decode(b)
		c, err := x509.ParseCertificate(p.Bytes)
		if err != nil {
			return nil, fmt.Errorf("keys: %s: %w", caFile, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: %s holds no certificate", caFile)
	}
	return out, nil
}

type named struct {
	name string
	data []byte
}

// write writes each file whole or not at all, one after the other, and each to
// survive a loss of power.
func write(dir string, files ...named) error {
	for _, f := range files {
		if err := atomicfile.WriteFile(filepath.Join(dir, f.name), f.data, 0o600); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	return nil
}
