package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Buckets is the number of buckets of a view digest.
const Buckets = 32

func bucket(id mesh.NodeID) int { return int(xxhash.Sum64String(string(id)) % Buckets) }

// Digests returns one digest per bucket over the members that are alive or
// suspect. Equal digests mean that two views agree on these members. Dead and
// left members are excluded, since views forget them at different times.
func (l *List) Digests() []uint64 {
	ds := make([]uint64, Buckets)
	if l.self.Status < Dead {
		ds[bucket(l.self.ID)] ^= hash(l.self)
	}
	for id, r := range l.others {
		if r.Status < Dead {
			ds[bucket(id)] ^= hash(r.Member)
		}
	}
	return ds
}

// hash covers id and incarnation, which determine the rest of the record that a
// member publishes about itself.
func hash(m Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	return xxhash.Sum64(b)
}

// DifferingBuckets returns the buckets in which the digests of another view
// differ from those of this one. Digests of another length differ in all
// buckets.
func (l *List) DifferingBuckets(ds []uint64) []int {
	own := l.Digests()
	var bs []int
	for i := range own {
		if len(ds) != len(own) || ds[i] != own[i] {
			bs = append(bs, i)
		}
	}
	return bs
}

// BucketUpdates returns the updates of all members in the given buckets, this
// node included.
func (l *List) BucketUpdates(now time.Time, buckets []int) []Update {
	var want [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
			want[b] = true
		}
	}
	var us []Update
	for _, m := range l.Members() {
		if !want[bucket(m.ID)] {
			continue
		}
		if u, ok := l.updateFor(now, m.ID); ok {
			us = append(us, u)
		}
	}
	return us
}
