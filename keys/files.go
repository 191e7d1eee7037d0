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

// Files in the folders of authorities and machines.
const (
	caFile        = "ca.pem"    // both: trusted CA certificates, the active one first
	gossipKeyFile = "words.key" // both: gossip keys in hexadecimal, one per line, the active one first
	caKeyFile     = "ca.key"    // authority: private key of the first certificate
	nextCAKeyFile = "next.key"  // authority, until the second stage of a rotation: key of the new CA
	// nextGossipKeyFile is in an authority's folder from the first to the second stage of
	// a rotation. It contains the new gossip key.
	nextGossipKeyFile = "next-words.key"
	certFile          = "node.pem" // machine: its certificate
	keyFile           = "node.key" // machine: its private key
)

const (
	filePerm       = 0o600
	folderPerm     = 0o700
	gossipKeyBytes = 32

	pemCertificate = "CERTIFICATE"
	pemPrivateKey  = "PRIVATE KEY"
)

// fileContent is a file to write.
type fileContent struct {
	name string
	data []byte
}

// writeFiles replaces each file atomically, in the given order. If it succeeds, all files
// are durable. If it fails, a prefix of the files may have been replaced.
func writeFiles(dir string, files ...fileContent) error {
	for _, f := range files {
		if err := atomicfile.WriteFile(filepath.Join(dir, f.name), f.data, filePerm); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	return nil
}

func readFile(dir, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return data, nil
}

// encodeCertificate converts a certificate from DER to PEM.
func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
}

// encodePrivateKey encodes a key as PKCS #8 in PEM.
func encodePrivateKey(k *ecdsa.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKey, Bytes: der}), nil
}

// readPrivateKey reads a file that contains a PKCS #8 private key in PEM.
func readPrivateKey(path string) (any, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("keys: %s contains no PEM block", path)
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("keys: %s: %w", path, err)
	}
	return k, nil
}

// splitPEM returns the PEM blocks in data, each encoded separately.
func splitPEM(data []byte) (blocks [][]byte) {
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			return blocks
		}
		blocks = append(blocks, pem.EncodeToMemory(block))
	}
}

// parseCertificates parses the content of [caFile]. It fails if there is no certificate.
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
		return nil, fmt.Errorf("keys: %s contains no certificate", caFile)
	}
	return out, nil
}

// parseGossipKeys parses the content of [gossipKeyFile]. It fails if there is no key.
func parseGossipKeys(data []byte) ([][]byte, error) {
	var out [][]byte
	for _, line := range strings.Fields(string(data)) {
		k, err := hex.DecodeString(line)
		if err != nil || len(k) != gossipKeyBytes {
			return nil, fmt.Errorf("keys: %s: invalid line: want 32 bytes in hexadecimal", gossipKeyFile)
		}
		out = append(out, k)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("keys: %s contains no key", gossipKeyFile)
	}
	return out, nil
}
