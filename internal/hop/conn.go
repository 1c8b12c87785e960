package hop

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("hop: connection is sealed")

// conn counts the bytes written to a connection and can be sealed.
//
// A write announces its bytes before it checks the seal, and seal sets the seal
// before it reads the count. So a write that seal did not count sees the seal
// and fails, without a lock on the write path.
type conn struct {
	net.Conn
	written atomic.Int64
	sealed  atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n < len(p) {
		// The kernel took only n bytes; a broken connection often takes none.
		c.written.Add(int64(n - len(p)))
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. net/http copies request bodies with it and
// would otherwise allocate a buffer for each.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
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

// seal makes all later writes fail, closes the connection and returns the
// number of bytes that were or may still be written. The count may be too high
// while a write is failing, never too low.
func (c *conn) seal() int64 {
	c.sealed.Store(true)
	n := c.written.Load()
	c.Close()
	return n
}
