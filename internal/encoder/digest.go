package encoder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Digest is a SHA-256 digest. The zero value means that there is none.
type Digest [sha256.Size]byte

const shortDigestLength = 12

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Short returns the first characters of the digest, for logs and messages.
func (d Digest) Short() string {
	return d.String()[:shortDigestLength]
}

// IsZero reports whether d is the zero value.
func (d Digest) IsZero() bool {
	return d == Digest{}
}

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(s string) (Digest, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Digest{}, fmt.Errorf("encoder: digest: %w", err)
	}
	return DigestFromBytes(b)
}

// DigestFromBytes converts a digest of exactly 32 bytes.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return Digest{}, fmt.Errorf("encoder: digest of %d bytes, expected %d", len(b), len(d))
	}
	copy(d[:], b)
	return d, nil
}
