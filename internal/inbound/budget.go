package inbound

import "sync/atomic"

// Budget is an amount of memory that requests share. The zero value and nil have no bound.
type Budget struct {
	limit atomic.Int64 // in bytes; 0 for no bound
	used  atomic.Int64
}

// SetLimit sets the limit in bytes; 0 means no bound. What is in use stays in use.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(limit) }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// IsHalfUsed reports whether more than half of the limit is in use.
func (b *Budget) IsHalfUsed() bool {
	l := b.limit.Load()
	return l > 0 && b.used.Load() > l/2
}

// Reserve takes n bytes and reports whether they were left. If not, it takes none.
func (b *Budget) Reserve(n int64) bool {
	if b == nil {
		return true
	}
	if l := b.limit.Load(); b.used.Add(n) > l && l > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// take takes n bytes, even if they are not left.
func (b *Budget) take(n int64) {
	if b != nil {
		b.used.Add(n)
	}
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) {
	if b != nil {
		b.used.Add(-n)
	}
}
