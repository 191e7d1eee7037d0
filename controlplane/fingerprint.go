package controlplane

import (
	"crypto/sha256"

	"github.com/cespare/xxhash/v2"
)

// fingerprint identifies the bytes of a configuration as they were sent. Together with the revision
// it is the idempotency key of a replace command: a command that is sent again has the same two.
type fingerprint struct {
	// Hash is the XXH64, for which anybody can construct collisions. Members that run a version
	// without digests compare it, so it is stored as long as there may be such members.
	Hash uint64 `cbor:"2,keyasint"`
	// Digest is the first half of the SHA-256. Nobody can find other bytes with the digest of a
	// command that another operator sent. An operator can construct two commands with the same
	// digest in 2^64 trials, but harms only themselves. All zero: unknown, because it comes from
	// an entry or a snapshot of a member that runs a version without digests.
	Digest [digestSize]byte `cbor:"3,keyasint"`
}

// digestSize is the size of a digest in bytes.
const digestSize = sha256.Size / 2

func fingerprintOf(config []byte) fingerprint {
	sum := sha256.Sum256(config)
	return fingerprint{
		Hash:   xxhash.Sum64(config),
		Digest: [digestSize]byte(sum[:digestSize]),
	}
}

// matches reports whether two fingerprints identify the same bytes. If either has no digest, the
// hashes decide.
func (f fingerprint) matches(other fingerprint) bool {
	var unknown [digestSize]byte
	if f.Digest == unknown || other.Digest == unknown {
		return f.Hash == other.Hash
	}
	return f.Digest == other.Digest
}
