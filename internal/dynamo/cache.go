package dynamo

import "sync"

// fifoCache holds up to limit values and evicts the oldest first.
type fifoCache[K comparable, V any] struct {
	mu     sync.Mutex
	limit  int
	order  []K
	values map[K]V
}

func newFIFOCache[K comparable, V any](limit int) *fifoCache[K, V] {
	return &fifoCache[K, V]{limit: limit, values: make(map[K]V)}
}

func (c *fifoCache[K, V]) get(key K) (V, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.values[key]
	return v, ok
}

func (c *fifoCache[K, V]) put(key K, v V) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.values[key]; ok {
		return
	}
	if len(c.order) == c.limit {
		delete(c.values, c.order[0])
		c.order = c.order[1:]
	}
	c.order = append(c.order, key)
	c.values[key] = v
}
