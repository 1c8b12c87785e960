package config

import (
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// AccountPolicy is the policy of a client account that callers identify by API key.
type AccountPolicy struct {
	Name     mesh.ClientAccount
	Priority int     // 0 is the most urgent; takes precedence over the rank of the route
	Rate     float64 // requests per second over all nodes; 0 is unlimited
	Burst    float64 // requests beyond Rate that may be made at once
}

// AccountRank returns the name of the rank of requests that an account of the given
// priority makes on routes of rank r.
func AccountRank(priority int, r mesh.Rank) mesh.Rank {
	return mesh.Rank(fmt.Sprintf("a%d-%s", priority, r))
}

// Account returns the policy of account a, or nil if the snapshot has none.
func (s *Snapshot) Account(a mesh.ClientAccount) *AccountPolicy {
	i, ok := slices.BinarySearchFunc(s.ClientAccounts, a, func(p AccountPolicy, a mesh.ClientAccount) int {
		return strings.Compare(string(p.Name), string(a))
	})
	if !ok {
		return nil
	}
	return &s.ClientAccounts[i]
}

// Keys maps API keys to client accounts. It holds digests only. The zero value has no
// keys.
type Keys struct {
	byPrefix map[uint64][]keyEntry
}

type keyEntry struct {
	digest  mesh.Digest
	account mesh.ClientAccount
}

// Errors of Keys.Add.
var (
	ErrEmptyKey  = errors.New("API key is empty")
	ErrSharedKey = errors.New("API key belongs to another client account too")
)

// Add adds key as a key of account a. Adding a key of a again has no effect.
func (k *Keys) Add(key string, a mesh.ClientAccount) error {
	if key == "" {
		return ErrEmptyKey
	}
	return k.AddDigest(mesh.DigestOf([]byte(key)), a)
}

// AddDigest is Add for the key with the given SHA-256 digest.
func (k *Keys) AddDigest(digest mesh.Digest, a mesh.ClientAccount) error {
	if owner, ok := k.find(&digest); ok {
		if owner != a {
			return ErrSharedKey
		}
		return nil
	}
	if k.byPrefix == nil {
		k.byPrefix = make(map[uint64][]keyEntry)
	}
	p := prefix(&digest)
	k.byPrefix[p] = append(k.byPrefix[p], keyEntry{digest, a})
	return nil
}

// Account returns the client account that key belongs to, or false if there is none.
func (k *Keys) Account(key string) (mesh.ClientAccount, bool) {
	digest := mesh.DigestOf([]byte(key))
	return k.find(&digest)
}

// AccountOf is Account for the key with the given SHA-256 digest.
func (k *Keys) AccountOf(digest mesh.Digest) (mesh.ClientAccount, bool) { return k.find(&digest) }

func (k *Keys) find(digest *mesh.Digest) (mesh.ClientAccount, bool) {
	var found mesh.ClientAccount
	ok := false
	for i, es := 0, k.byPrefix[prefix(digest)]; i < len(es); i++ {
		if subtle.ConstantTimeCompare(es[i].digest[:], digest[:]) == 1 {
			found, ok = es[i].account, true
		}
	}
	return found, ok
}

func prefix(digest *mesh.Digest) uint64 { return binary.BigEndian.Uint64(digest[:]) }
