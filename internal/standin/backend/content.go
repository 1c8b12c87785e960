package backend

import "sync"

// maxCachedBytes limits the immutable content kept in memory.
const maxCachedBytes = 64 << 20

type cachedContent struct {
	bytes  []byte
	digest string
}

type contentKey struct {
	path string
	size int
}

// contentCache caches immutable content, which is derived from its path and
// size.
type contentCache struct {
	mu        sync.Mutex
	entries   map[contentKey]cachedContent
	sizeBytes int
}

func (c *contentCache) get(path string, size int) cachedContent {
	k := contentKey{path, size}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.entries[k]; ok {
		return v
	}
	b := ResponseBody(path, size)
	v := cachedContent{b, FormatDigest(b)}
	if c.entries == nil || c.sizeBytes+size > maxCachedBytes {
		c.entries, c.sizeBytes = make(map[contentKey]cachedContent), 0
	}
	c.entries[k] = v
	c.sizeBytes += size
	return v
}
