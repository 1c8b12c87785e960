package hosted

import (
	"sync"

	"go.uber.org/zap"
)

// maxSkippedKeys bounds the number of keys of invalid rows that are remembered and
// logged. The counter of skipped rows has no bound.
const maxSkippedKeys = 100

// skippedRows remembers which invalid rows of the store have been logged: the same rows
// are read again and again.
type skippedRows struct {
	mu     sync.Mutex
	logged map[[2]string]bool // by table and key
}

// firstTime records a row and reports whether it is to be logged.
func (s *skippedRows) firstTime(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := [2]string{table, key}
	if s.logged[id] || len(s.logged) >= maxSkippedKeys {
		return false
	}
	if s.logged == nil {
		s.logged = make(map[[2]string]bool)
	}
	s.logged[id] = true
	return true
}

// logSkippedRow counts a row of the store that is left out since it is invalid, and logs
// it once.
func (n *Node) logSkippedRow(table, key string, err error) {
	n.metrics.CounterGroup("store_rows_skipped").Add(table, 1)
	if n.skipped.firstTime(table, key) {
		n.log.Warn("skipped invalid row of the store", zap.String("table", table), zap.String("key", key), zap.Error(err))
	}
}
