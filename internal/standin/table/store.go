package table

import (
	"slices"
	"sync"
	"time"
)

// historyRetention is how long earlier states of rows are kept for stale reads.
const historyRetention = time.Minute

// revision is the state of a row since a point in time; item is nil if the row
// was deleted.
type revision struct {
	at   time.Time
	item Item
}

// row holds the revisions of a row, oldest first.
type row []revision

// itemAt returns the item of r at time t, or nil.
func (r row) itemAt(t time.Time) Item {
	for i := len(r) - 1; i >= 0; i-- {
		if !r[i].at.After(t) {
			return r[i].item
		}
	}
	return nil
}

func (r row) current() Item {
	if len(r) == 0 {
		return nil
	}
	return r[len(r)-1].item
}

// partition holds the rows with the same pk.
type partition struct {
	rows map[string]row
	keys []string // sorted sort keys of rows, deleted rows included
}

type deletion struct {
	pk, sk string
	at     time.Time
}

// tableStore holds the rows of one table. All methods except apply, read and
// query must be called with mu held.
type tableStore struct {
	created time.Time

	mu         sync.RWMutex
	partitions map[string]*partition
	deletions  []deletion // oldest first, removed after historyRetention
}

func newTableStore() *tableStore {
	return &tableStore{created: time.Now(), partitions: make(map[string]*partition)}
}

func (s *tableStore) current(pk, sk string) Item {
	p := s.partitions[pk]
	if p == nil {
		return nil
	}
	return p.rows[sk].current()
}

// put stores the item it, or deletes the row if it is nil.
func (s *tableStore) put(pk, sk string, it Item, now time.Time) {
	p := s.partitions[pk]
	if p == nil {
		if it == nil {
			return
		}
		p = &partition{rows: make(map[string]row)}
		s.partitions[pk] = p
	}
	r, ok := p.rows[sk]
	if !ok {
		if it == nil {
			return
		}
		i, _ := slices.BinarySearch(p.keys, sk)
		p.keys = slices.Insert(p.keys, i, sk)
	}
	p.rows[sk] = append(r.trimHistory(now), revision{at: now, item: it})
	if it == nil {
		s.deletions = append(s.deletions, deletion{pk, sk, now})
	}
	s.purgeDeleted(now)
}

// trimHistory drops the revisions that are too old for any stale read.
func (r row) trimHistory(now time.Time) row {
	i := 0
	for i+1 < len(r) && now.Sub(r[i+1].at) > historyRetention {
		i++
	}
	return r[i:]
}

// purgeDeleted removes rows that were deleted more than historyRetention ago.
func (s *tableStore) purgeDeleted(now time.Time) {
	for len(s.deletions) > 0 && now.Sub(s.deletions[0].at) > historyRetention {
		d := s.deletions[0]
		s.deletions = s.deletions[1:]
		p := s.partitions[d.pk]
		if p == nil || p.rows[d.sk].current() != nil {
			continue
		}
		if _, ok := p.rows[d.sk]; !ok {
			continue
		}
		delete(p.rows, d.sk)
		if i, ok := slices.BinarySearch(p.keys, d.sk); ok {
			p.keys = slices.Delete(p.keys, i, i+1)
		}
	}
}

// read returns the item at time t, or nil.
func (s *tableStore) read(pk, sk string, t time.Time) Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if p := s.partitions[pk]; p != nil {
		return p.rows[sk].itemAt(t)
	}
	return nil
}

// keyRange is the range of rows that a query reads.
type keyRange struct {
	pk      string
	match   func(sk string) bool
	forward bool
	after   *string // exclusive start
	limit   int     // maximum number of items; 0 means no limit
	asOf    time.Time
}

// maxPageBytes limits the size of the items that one query reads.
const maxPageBytes = 1 << 20

// query returns the items of kr. more is true if a limit ended the page before
// the end of the range.
func (s *tableStore) query(kr keyRange) (items []Item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.partitions[kr.pk]
	if p == nil {
		return nil, false
	}
	size := 0
	for i := range p.keys {
		if !kr.forward {
			i = len(p.keys) - 1 - i
		}
		sk := p.keys[i]
		if kr.after != nil && (sk == *kr.after || (sk < *kr.after) == kr.forward) {
			continue
		}
		if !kr.match(sk) {
			continue
		}
		it := p.rows[sk].itemAt(kr.asOf)
		if it == nil {
			continue
		}
		items = append(items, it)
		size += it.size()
		if len(items) == kr.limit || size >= maxPageBytes {
			return items, true
		}
	}
	return items, false
}
