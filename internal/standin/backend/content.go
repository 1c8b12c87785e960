package backend

import "sync"

// maxCached is the most bytes of immutable content kept in memory.
const maxCached = 64 << 20

type content struct {
	bytes  []byte
	digest string
}

type contentKey struct {
	path string
	size int
}

// contents caches immutable content, which follows from its path and size.
type contents struct {
	mu    sync.Mutex
	items map[contentKey]content
	size  int
}

func (c *contents) get(path string, size int) content {
	k := contentKey{path, size}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.items[k]; ok {
		return v
	}
	b := ResponseBody(path, size)
	v := content{b, FormatDigest(b)}
	if c.items == nil || c.size+size > maxCached {
		c.items, c.size = make(map[contentKey]content), 0
	}
	c.items[k] = v
	c.size += size
	return v
}
