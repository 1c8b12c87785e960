package table

import (
	"slices"
	"sync"
	"time"
)

// historyAge is how long earlier states of rows are kept for stale reads.
const historyAge = time.Minute

// revision is the state of a row from a time on; item is nil once deleted.
type revision struct {
	at   time.Time
	item Item
}

// row holds the states of a row, oldest first.
type row []revision

// at returns the state of r at time t, or nil.
func (r row) at(t time.Time) Item {
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

// partition holds the rows of one pk.
type partition struct {
	rows map[string]row
	keys []string // sorted sort keys of rows, deleted rows included
}

type deletion struct {
	pk, sk string
	at     time.Time
}

// store holds one table. Its methods except read and query need mu held.
type store struct {
	created time.Time

	mu      sync.RWMutex
	parts   map[string]*partition
	deleted []deletion // oldest first, purged after historyAge
}

func newStore() *store {
	return &store{created: time.Now(), parts: make(map[string]*partition)}
}

func (s *store) current(pk, sk string) Item {
	p := s.parts[pk]
	if p == nil {
		return nil
	}
	return p.rows[sk].current()
}

// put stores it, or deletes the row if it is nil.
func (s *store) put(pk, sk string, it Item, now time.Time) {
	p := s.parts[pk]
	if p == nil {
		if it == nil {
			return
		}
		p = &partition{rows: make(map[string]row)}
		s.parts[pk] = p
	}
	r, ok := p.rows[sk]
	if !ok {
		if it == nil {
			return
		}
		i, _ := slices.BinarySearch(p.keys, sk)
		p.keys = slices.Insert(p.keys, i, sk)
	}
	p.rows[sk] = append(r.trim(now), revision{at: now, item: it})
	if it == nil {
		s.deleted = append(s.deleted, deletion{pk, sk, now})
	}
	s.purge(now)
}

// trim drops the states that no read can ask for any more.
func (r row) trim(now time.Time) row {
	i := 0
	for i+1 < len(r) && now.Sub(r[i+1].at) > historyAge {
		i++
	}
	return r[i:]
}

func (s *store) purge(now time.Time) {
	for len(s.deleted) > 0 && now.Sub(s.deleted[0].at) > historyAge {
		d := s.deleted[0]
		s.deleted = s.deleted[1:]
		p := s.parts[d.pk]
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
func (s *store) read(pk, sk string, t time.Time) Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if p := s.parts[pk]; p != nil {
		return p.rows[sk].at(t)
	}
	return nil
}

// page is the range that a query reads.
type page struct {
	pk      string
	match   func(sk string) bool
	forward bool
	after   *string // exclusive start
	limit   int     // items; 0 is unlimited
	at      time.Time
}

// maxPage is the most bytes of items that one query reads.
const maxPage = 1 << 20

// query returns the items of q and whether the page ended before the range.
func (s *store) query(q page) (items []Item, more bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.parts[q.pk]
	if p == nil {
		return nil, false
	}
	size := 0
	for i := range p.keys {
		if !q.forward {
			i = len(p.keys) - 1 - i
		}
		sk := p.keys[i]
		if q.after != nil && (sk == *q.after || (sk < *q.after) == q.forward) {
			continue
		}
		if !q.match(sk) {
			continue
		}
		it := p.rows[sk].at(q.at)
		if it == nil {
			continue
		}
		items = append(items, it)
		size += it.size()
		if len(items) == q.limit || size >= maxPage {
			return items, true
		}
	}
	return items, false
}
