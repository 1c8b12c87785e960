package mesh

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// DigestSize is the length of a Digest in bytes.
const DigestSize = sha256.Size

// Digest is the SHA-256 digest that identifies immutable content.
type Digest [DigestSize]byte

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest {
	return sha256.Sum256(b)
}

// ParseDigest parses the hexadecimal form of a digest.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if len(s) != hex.EncodedLen(DigestSize) {
		return d, fmt.Errorf("digest %q has %d characters, want %d", s, len(s), hex.EncodedLen(DigestSize))
	}
	if _, err := hex.Decode(d[:], []byte(s)); err != nil {
		return Digest{}, fmt.Errorf("digest %q: %w", s, err)
	}
	return d, nil
}

// IsZero reports whether d is the zero digest, which identifies no content.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns the hexadecimal form of d.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	p, err := ParseDigest(string(b))
	if err != nil {
		return err
	}
	*d = p
	return nil
}
