package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"example.org/elmspan/internal/atomicfile"
)

// Files of an authority's folder, and of a machine's.
const (
	caFile        = "ca.pem"    // in both: trusted CA certificates, the one in use first
	gossipKeyFile = "words.key" // in both: gossip keys in hexadecimal, one a line, the one in use first
	caKeyFile     = "ca.key"    // of an authority: the key of the first certificate
	nextCAKeyFile = "next.key"  // of an authority between the first two stages of a rotation
	// nextGossipKeyFile has the new gossip key, of an authority between the first two stages of a rotation.
	nextGossipKeyFile = "next-words.key"
	certFile          = "node.pem" // of a machine
	keyFile           = "node.key" // of a machine
)

const (
	filePerm   = 0o600
	folderPerm = 0o700
	// gossipKeyBytes is the length of a gossip key.
	gossipKeyBytes = 32

	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// fileContent is a file to write.
type fileContent struct {
	name string
	data []byte
}

// writeFiles replaces each file atomically, in the order given. When it returns without an
// error all of them survive a loss of power. When it fails, the first ones may be new and
// the others old.
func writeFiles(dir string, files ...fileContent) error {
	for _, f := range files {
		if err := atomicfile.WriteFile(filepath.Join(dir, f.name), f.data, filePerm); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	return nil
}

// readFile reads a file of a folder.
func readFile(dir, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return data, nil
}

// encodeCertificate writes a certificate in DER as PEM.
func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
}

// encodePrivateKey writes a key as PEM with PKCS #8 in it.
func encodePrivateKey(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// readPrivateKey reads a key in PEM with PKCS #8 in it.
func readPrivateKey(path string) (any, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("keys: %s holds no key", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return k, nil
}

// splitPEM returns the blocks of a file, each as PEM of its own.
func splitPEM(data []byte) (blocks [][]byte) {
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			return blocks
		}
		blocks = append(blocks, pem.EncodeToMemory(block))
	}
}

// parseCertificates reads the content of [caFile]. There is at least one certificate.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for _, text := range splitPEM(data) {
		block, _ := pem.Decode(text)
		c, err := x509.ParseCertificate(block.Bytes)
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

// parseGossipKeys reads the content of [gossipKeyFile]. There is at least one key.
func parseGossipKeys(data []byte) ([][]byte, error) {
	var out [][]byte
	for _, line := range strings.Fields(string(data)) {
		k, err := hex.DecodeString(line)
		if err != nil || len(k) != gossipKeyBytes {
			return nil, fmt.Errorf("keys: %s: a line is no key of 32 bytes in hex", gossipKeyFile)
		}
		out = append(out, k)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: %s holds no key", gossipKeyFile)
	}
	return out, nil
}
