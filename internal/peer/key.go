package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// tagSize is the length of the tag of a datagram in bytes. HMAC-SHA256 is
// truncated to 128 bits, as RFC 2104 allows, to save 16 bytes in each datagram.
const tagSize = 16

// deriveKey derives the key for one purpose from the shared key.
func deriveKey(key []byte, purpose string) []byte {
	return hmacSum(key, []byte("lavenderrill "+purpose))
}

func hmacSum(key []byte, data ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	for _, d := range data {
		h.Write(d)
	}
	return h.Sum(nil)
}

// HopToken returns the token that a node sends in mesh.HopHeader with each
// request that it forwards to another node.
func HopToken(key []byte) string { return hex.EncodeToString(deriveKey(key, "hop")) }
