package keys

import (
	"bytes"
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
// last: it marks that both files have the new keys. Where it is missing, the next call
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
		fileContent{nextCAKeyFile, ca.key})
}

// useNewKeys puts the new keys, which are the last ones, first.
func useNewKeys(dir string, trusted *trustedKeys, nextCAKey []byte) error {
	slices.Reverse(trusted.certificates)
	slices.Reverse(trusted.gossipKeys)
	err := writeFiles(dir,
		fileContent{caKeyFile, nextCAKey},
		fileContent{caFile, bytes.Join(trusted.certificates, nil)},
		fileContent{gossipKeyFile, []byte(strings.Join(trusted.gossipKeys, "\n") + "\n")})
	if err != nil {
		return err
	}
	return atomicfile.Remove(filepath.Join(dir, nextCAKeyFile))
}

// dropOldKeys leaves the keys in use alone.
func dropOldKeys(dir string, trusted *trustedKeys) error {
	return writeFiles(dir,
		fileContent{caFile, trusted.certificates[0]},
		fileContent{gossipKeyFile, []byte(trusted.gossipKeys[0] + "\n")})
}
