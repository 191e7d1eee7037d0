package controlplane

import (
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
)

// replaceCommand is the command of a log entry: a compare-and-swap that replaces the
// configuration. It is the only kind of command. Its encoding has three forms, and a log may
// contain all of them: the configuration as it was sent; compressed, with its hash; compressed,
// with its hash and digest. New entries are written in the last form.
type replaceCommand struct {
	// Base is the revision that the new configuration is based on, 0 for none.
	Base uint64 `cbor:"1,keyasint"`
	// Revision is that of the new configuration.
	Revision uint64 `cbor:"2,keyasint"`
	// Uncompressed is the configuration as it was sent, in the first form.
	Uncompressed []byte `cbor:"3,keyasint,omitempty"`
	// Compressed is the configuration in the other forms.
	Compressed []byte `cbor:"4,keyasint,omitempty"`
	// Hash and Digest are the fingerprint of the configuration as it was sent. Members that run
	// a version without digests omit Digest.
	Hash   uint64 `cbor:"5,keyasint,omitempty"`
	Digest []byte `cbor:"6,keyasint,omitempty"`
}

// encodeReplaceCommand encodes the command that replaces revision base by a configuration.
func encodeReplaceCommand(base, revision uint64, config []byte) ([]byte, error) {
	compressed, err := compression.Compress(config)
	if err != nil {
		return nil, err
	}
	content := fingerprintOf(config)
	return cbor.Marshal(replaceCommand{
		Base:       base,
		Revision:   revision,
		Compressed: compressed,
		Hash:       content.Hash,
		Digest:     content.Digest[:],
	})
}

// fingerprint returns the fingerprint of the configuration in the command. If a member that runs
// a version without digests wrote the command, the fingerprint is computed from the configuration,
// so that all members have the same one.
func (c *replaceCommand) fingerprint() fingerprint {
	switch {
	case c.Compressed == nil:
		return fingerprintOf(c.Uncompressed)
	case len(c.Digest) == digestSize:
		return fingerprint{Hash: c.Hash, Digest: [digestSize]byte(c.Digest)}
	}
	config, err := compression.Decompress(c.Compressed, api.MaxConfigBytes)
	if err != nil {
		// Proposed configurations have been decoded before. Members that run a version without
		// digests would apply this command too, so it must not be rejected here.
		return fingerprint{Hash: c.Hash}
	}
	return fingerprintOf(config)
}
