package keys

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"example.org/elmspan/internal/atomicfile"
)

// Stage is a step of a rotation of keys. Its text is shown to the operator.
type Stage string

// The stages, in their order. After each, every machine's folder is issued again and every
// process has reloaded it before the next begins: at any time two machines then trust what
// the other one uses.
const (
	StageAdded   Stage = "added"   // new keys are trusted beside the old ones
	StageInUse   Stage = "in use"  // new keys are used, old ones still trusted
	StageDropped Stage = "dropped" // old keys are not trusted any more
)

// trustedKeys are the trusted keys in an authority's folder: one of each kind, or two
// during a rotation, the one in use first.
type trustedKeys struct {
	certificates [][]byte // each in PEM
	gossipKeys   []string // each in hexadecimal
}

// Rotate takes a rotation one stage further, or begins one, and returns the stage that was
// reached.
func Rotate(dir string, now time.Time) (Stage, error) {
	caPEM, err := readFile(dir, caFile)
	if err != nil {
		return "", err
	}
	gossipKeys, err := readFile(dir, gossipKeyFile)
	if err != nil {
		return "", err
	}
	trusted := trustedKeys{splitPEM(caPEM), strings.Fields(string(gossipKeys))}
	if err := trusted.validate(); err != nil {
		return "", err
	}
	nextCAKey, err := readFile(dir, nextCAKeyFile)
	switch {
	case err == nil:
		return StageInUse, useNewKeys(dir, &trusted, nextCAKey)
	case !errors.Is(err, fs.ErrNotExist):
		return "", err
	case len(trusted.certificates) == 1:
		return StageAdded, addNewKeys(dir, &trusted, caPEM, now)
	}
	return StageDropped, dropOldKeys(dir, &trusted)
}

func (t *trustedKeys) validate() error {
	certificates, gossipKeys := len(t.certificates), len(t.gossipKeys)
	if certificates < 1 || certificates > 2 || gossipKeys != certificates {
		return fmt.Errorf("keys: %s holds %d certificates and %s %d keys: this is no authority's folder",
			caFile, certificates, gossipKeyFile, gossipKeys)
	}
	return nil
}

// addNewKeys makes keys that are trusted beside those in use. The new CA's key is written
// last: it marks that the other files have the new keys. Where it is missing, the next call
// drops what an interrupted one has added.
func addNewKeys(dir string, trusted *trustedKeys, caPEM []byte, now time.Time) error {
	ca, err := newCA(now)
	if err != nil {
		return err
	}
	gossipKey, err := newGossipKey()
	if err != nil {
		return err
	}
	return writeFiles(dir,
		fileContent{caFile, append(caPEM, ca.certificate...)},
		fileContent{gossipKeyFile, append([]byte(trusted.gossipKeys[0]+"\n"), gossipKey...)},
		fileContent{nextGossipKeyFile, gossipKey},
		fileContent{nextCAKeyFile, ca.key})
}

// useNewKeys puts the new keys first. Which are new is told by the files that addNewKeys has
// written, not by their place: a call that was interrupted may have moved some of them. The
// new CA's key is removed before the new gossip key: it marks that this is still to be done.
func useNewKeys(dir string, trusted *trustedKeys, nextCAKey []byte) error {
	gossipKey, err := nextGossipKey(dir, trusted, nextCAKey)
	if err != nil {
		return err
	}
	isNewCertificate := func(certificate []byte) bool { return keyFits(certificate, nextCAKey) }
	certificates, found := movedFirst(trusted.certificates, isNewCertificate)
	if !found {
		return fmt.Errorf("keys: %s fits no certificate in %s", nextCAKeyFile, caFile)
	}
	gossipKeys, found := movedFirst(trusted.gossipKeys, func(k string) bool { return k == gossipKey })
	if !found {
		return fmt.Errorf("keys: the key in %s is not in %s", nextGossipKeyFile, gossipKeyFile)
	}
	err = writeFiles(dir,
		fileContent{caKeyFile, nextCAKey},
		fileContent{caFile, bytes.Join(certificates, nil)},
		fileContent{gossipKeyFile, []byte(strings.Join(gossipKeys, "\n") + "\n")})
	if err != nil {
		return err
	}
	if err := removeFile(dir, nextCAKeyFile); err != nil {
		return err
	}
	return removeFile(dir, nextGossipKeyFile)
}

// nextGossipKey returns the new gossip key. An earlier release did not write it apart: where it
// has begun the rotation, the new one is the last, and is written down before anything is moved.
func nextGossipKey(dir string, trusted *trustedKeys, nextCAKey []byte) (string, error) {
	data, err := readFile(dir, nextGossipKeyFile)
	if err == nil {
		return strings.TrimSpace(string(data)), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", err
	}
	if keyFits(trusted.certificates[0], nextCAKey) {
		return trusted.gossipKeys[0], nil // an earlier release was interrupted; each key is trusted by all
	}
	key := trusted.gossipKeys[len(trusted.gossipKeys)-1]
	return key, writeFiles(dir, fileContent{nextGossipKeyFile, []byte(key + "\n")})
}

// keyFits reports whether a private key belongs to a certificate, both in PEM.
func keyFits(certificate, key []byte) bool {
	_, err := tls.X509KeyPair(certificate, key)
	return err == nil
}

// movedFirst returns the elements with the first that matches before all others.
func movedFirst[T any](elements []T, matches func(T) bool) (moved []T, found bool) {
	i := slices.IndexFunc(elements, matches)
	if i < 0 {
		return elements, false
	}
	moved = append([]T{elements[i]}, elements[:i]...)
	return append(moved, elements[i+1:]...), true
}

// removeFile removes a file of a folder, if it is there.
func removeFile(dir, name string) error {
	err := atomicfile.Remove(filepath.Join(dir, name))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// dropOldKeys leaves the keys in use alone.
func dropOldKeys(dir string, trusted *trustedKeys) error {
	err := writeFiles(dir,
		fileContent{caFile, trusted.certificates[0]},
		fileContent{gossipKeyFile, []byte(trusted.gossipKeys[0] + "\n")})
	if err != nil {
		return err
	}
	return removeFile(dir, nextGossipKeyFile) // left by an interrupted call
}
