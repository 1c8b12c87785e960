package hop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// errAborted is returned by writes to an aborted connection.
var errAborted = errors.New("hop: connection was aborted")

// conn counts the bytes of a connection and can be aborted.
//
// A write counts its bytes before it checks the aborted flag, and abort sets the
// flag before it reads the count. So a write that abort did not count sees the
// flag and fails, without a lock on the write path.
type conn struct {
	net.Conn
	id      ConnID
	written atomic.Int64
	aborted atomic.Bool

	requests atomic.Int64 // requests that were assigned to the connection
	waiting  atomic.Bool  // a request is assigned, and none of its bytes is written
	early    atomic.Int64 // bytes received while waiting, for the current request
}

// begin records that a request was assigned to c and returns its number.
func (c *conn) begin() int64 {
	c.early.Store(0)
	c.waiting.Store(true)
	return c.requests.Add(1)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.waiting.Load() {
		c.early.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.waiting.Store(false)
	c.written.Add(int64(len(p)))
	if c.aborted.Load() {
		return 0, errAborted
	}
	n, err := c.Conn.Write(p)
	if n < len(p) {
		// The kernel accepted only n bytes; on a broken connection often none.
		c.written.Add(int64(n - len(p)))
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. net/http copies request bodies with it and
// would otherwise allocate a buffer for each.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	p := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(p)
	var total int64
	for {
		n, rerr := r.Read(*p)
		if n > 0 {
			m, err := c.Write((*p)[:n])
			total += int64(m)
			if err != nil {
				return total, err
			}
		}
		if rerr == io.EOF {
			return total, nil
		}
		if rerr != nil {
			return total, rerr
		}
	}
}

// abort makes all later writes fail, closes the connection and returns the
// number of bytes that were or may still be written. The count may be too high
// while a write is failing, never too low.
func (c *conn) abort() int64 {
	c.aborted.Store(true)
	n := c.written.Load()
	c.Close()
	return n
}
