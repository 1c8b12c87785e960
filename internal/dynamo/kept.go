package dynamo

import "sync"

// kept holds the values of the last few keys put into it.
type kept[K comparable, V any] struct {
	mu     sync.Mutex
	limit  int
	order  []K
	values map[K]V
}

func newKept[K comparable, V any](limit int) *kept[K, V] {
	return &kept[K, V]{limit: limit, values: make(map[K]V)}
}

func (k *kept[K, V]) get(key K) (V, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	v, ok := k.values[key]
	return v, ok
}

func (k *kept[K, V]) put(key K, v V) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.values[key]; ok {
		return
	}
	if len(k.order) == k.limit {
		delete(k.values, k.order[0])
		k.order = k.order[1:]
	}
	k.order = append(k.order, key)
	k.values[key] = v
}
