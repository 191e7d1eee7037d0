package controlplane

import (
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
)

// replaceCommand is the command of a log entry: replace the configuration by compare and
// swap. It is the only kind of command. Its encoding has three forms, and a log may hold all
// of them: the configuration as it was sent; compressed, with its hash; compressed, with its
// hash and digest. Only the last one is written now.
type replaceCommand struct {
	// Base is the revision that the new configuration is made from, 0 for none.
	Base uint64 `cbor:"1,keyasint"`
	// Revision is the number of the new configuration.
	Revision uint64 `cbor:"2,keyasint"`
	// Uncompressed is the configuration as it was sent, in the first form.
	Uncompressed []byte `cbor:"3,keyasint,omitempty"`
	// Compressed is the configuration in the other forms.
	Compressed []byte `cbor:"4,keyasint,omitempty"`
	// Hash and Digest are the fingerprint of the configuration as it was sent. Digest is
	// left out by members of a version without digests.
	Hash   uint64 `cbor:"5,keyasint,omitempty"`
	Digest []byte `cbor:"6,keyasint,omitempty"`
}

// encodeReplaceCommand returns the data of the log entry that replaces revision base by a
// configuration.
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

// fingerprint returns that of the configuration in a command. Where a member of a version
// without digests wrote the command, it is computed from the configuration, so that all
// members have the same one.
func (c *replaceCommand) fingerprint() fingerprint {
	switch {
	case c.Compressed == nil:
		return fingerprintOf(c.Uncompressed)
	case len(c.Digest) == digestSize:
		return fingerprint{Hash: c.Hash, Digest: [digestSize]byte(c.Digest)}
	}
	config, err := compression.Decompress(c.Compressed, api.MaxConfigBytes)
	if err != nil {
		// It was decoded before it was proposed. Members of a version without digests would
		// apply it too, so it is no error here.
		return fingerprint{Hash: c.Hash}
	}
	return fingerprintOf(config)
}
