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

// Stage is a stage of a key rotation. Its text is shown to the operator.
type Stage string

// The stages, in order. After each stage, every machine's folder must be issued again and
// every process must have reloaded it before the next stage begins. Then at any time, each
// machine trusts the keys that any other one uses.
const (
	StageAdded   Stage = "added"   // new keys are trusted in addition to the old ones
	StageInUse   Stage = "in use"  // new keys are used, old ones are still trusted
	StageDropped Stage = "dropped" // old keys are no longer trusted
)

// trustedKeys holds the trusted keys in an authority's folder: one of each kind, or two
// during a rotation, the active one first.
type trustedKeys struct {
	certificates [][]byte // each in PEM
	gossipKeys   []string // each in hexadecimal
}

// Rotate advances a rotation by one stage, or begins one, and returns the stage that was
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
	case len(trusted.certificates) == 1 && len(trusted.gossipKeys) == 1:
		return StageAdded, addNewKeys(dir, &trusted, caPEM, now)
	}
	return StageDropped, dropOldKeys(dir, &trusted)
}

// validate checks that there are one or two keys of each kind. The numbers differ after an
// interrupted call: addNewKeys and dropOldKeys write the certificates first.
func (t *trustedKeys) validate() error {
	certificates, gossipKeys := len(t.certificates), len(t.gossipKeys)
	if certificates < 1 || certificates > 2 || gossipKeys < 1 || gossipKeys > 2 {
		return fmt.Errorf("keys: not a valid authority folder: %s contains %d certificates and %s %d keys",
			caFile, certificates, gossipKeyFile, gossipKeys)
	}
	return nil
}

// addNewKeys generates new keys and adds them to the trusted ones. The new CA key is written
// last: its presence marks that the other files contain the new keys. If it is missing, the
// next call of Rotate drops the keys that an interrupted call has added.
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

// useNewKeys moves the new keys to the front. It identifies them by the files that addNewKeys
// has written, not by their position: an interrupted call may have moved some of them. The
// new CA key is removed before the new gossip key, as its presence marks that this stage is
// still incomplete.
func useNewKeys(dir string, trusted *trustedKeys, nextCAKey []byte) error {
	gossipKey, err := nextGossipKey(dir, trusted, nextCAKey)
	if err != nil {
		return err
	}
	isNewCertificate := func(certificate []byte) bool { return keyMatches(certificate, nextCAKey) }
	certificates, found := moveToFront(trusted.certificates, isNewCertificate)
	if !found {
		return fmt.Errorf("keys: %s matches no certificate in %s", nextCAKeyFile, caFile)
	}
	gossipKeys, found := moveToFront(trusted.gossipKeys, func(k string) bool { return k == gossipKey })
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

// nextGossipKey returns the new gossip key. An earlier release did not write it to a file of its
// own. If that release began the rotation, the new key is the last one, and nextGossipKey writes
// it to its file before any key is moved.
func nextGossipKey(dir string, trusted *trustedKeys, nextCAKey []byte) (string, error) {
	data, err := readFile(dir, nextGossipKeyFile)
	if err == nil {
		return strings.TrimSpace(string(data)), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", err
	}
	if keyMatches(trusted.certificates[0], nextCAKey) {
		// The earlier release was interrupted in this stage and may or may not have moved its
		// new gossip key. The active one can stay, as all machines trust both.
		return trusted.gossipKeys[0], nil
	}
	key := trusted.gossipKeys[len(trusted.gossipKeys)-1]
	return key, writeFiles(dir, fileContent{nextGossipKeyFile, []byte(key + "\n")})
}

// keyMatches reports whether a private key belongs to a certificate, both in PEM.
func keyMatches(certificate, key []byte) bool {
	_, err := tls.X509KeyPair(certificate, key)
	return err == nil
}

// moveToFront returns the elements with the first matching one moved to the front, and whether
// there is a match.
func moveToFront[T any](elements []T, matches func(T) bool) (moved []T, found bool) {
	i := slices.IndexFunc(elements, matches)
	if i < 0 {
		return elements, false
	}
	moved = append([]T{elements[i]}, elements[:i]...)
	return append(moved, elements[i+1:]...), true
}

// removeFile removes a file from a folder. It succeeds if there is no such file.
func removeFile(dir, name string) error {
	err := atomicfile.Remove(filepath.Join(dir, name))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// dropOldKeys removes all but the active keys, which are the first of each kind. It completes an
// interrupted call, and undoes an interrupted addNewKeys.
func dropOldKeys(dir string, trusted *trustedKeys) error {
	err := writeFiles(dir,
		fileContent{caFile, trusted.certificates[0]},
		fileContent{gossipKeyFile, []byte(trusted.gossipKeys[0] + "\n")})
	if err != nil {
		return err
	}
	return removeFile(dir, nextGossipKeyFile) // left by an interrupted call
}
