package hop

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// errAborted is returned by writes to an aborted connection.
var errAborted = errors.New("hop: connection was aborted")

// errReset is returned by reads instead of io.EOF if a write got the error of the
// connection.
var errReset = errors.New("hop: connection broke while the request was sent")

// conn counts the bytes of a connection and can be aborted.
//
// A write counts its bytes before it checks the aborted flag, and abort sets the
// flag before it reads the count. So a write that abort did not count sees the
// flag and fails, although abort does not wait for it.
type conn struct {
	net.Conn
	id      ConnID
	written atomic.Int64
	aborted atomic.Bool

	writeMu sync.Mutex // held during a write
	broken  bool       // a write got the error of the connection; guarded by writeMu

	// judged is held from the assignment of a request until the owner of its response is
	// known. net/http assigns the next request as soon as a response without a body arrives.
	judged sync.Mutex

	requests atomic.Int64                 // requests that were assigned to the connection
	waiting  atomic.Bool                  // c is new or assigned to a request, of which no byte is written
	early    atomic.Pointer[atomic.Int64] // bytes received while waiting, for the current request

	headDue atomic.Bool // a request was begun, and none of its response was read
	head    headScanner // used by Read only
	faulty  atomic.Bool // head has found a response whose framing is faulty
}

// newConn returns nc with the number id. Bytes that arrive before its first request
// count as early for that request.
func newConn(nc net.Conn, id ConnID) *conn {
	c := &conn{Conn: nc, id: id}
	c.early.Store(new(atomic.Int64))
	c.waiting.Store(true)
	return c
}

// begin records that a request was assigned to c. It returns the number of the request
// and its count of early bytes. Each request has its own count, since the transport may
// assign c to the next request before the count is read.
func (c *conn) begin() (requests int64, early *atomic.Int64) {
	requests = c.requests.Add(1)
	if requests > 1 {
		c.early.Store(new(atomic.Int64))
	}
	c.waiting.Store(true)
	return requests, c.early.Load()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.waiting.Load() {
		c.early.Load().Add(int64(n))
	}
	if n > 0 {
		if c.headDue.Load() {
			c.headDue.Store(false)
			c.head.begin()
		}
		if c.head.isFaulty(p[:n]) {
			c.faulty.Store(true)
		}
	}
	if errors.Is(err, io.EOF) && c.isBroken() {
		err = errReset
	}
	return n, err
}

// isBroken reports whether a write got the error of the connection. The kernel
// reports a reset once: after a write got it, reads return io.EOF, which would
// complete a response without a length. It ends a write in progress, since that
// write may be the one that got the error.
func (c *conn) isBroken() bool {
	_ = c.SetWriteDeadline(time.Now()) // fails if c is closed, which ends writes, too
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.broken
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.waiting.Swap(false) {
		c.headDue.Store(true)
	}
	c.written.Add(int64(len(p)))
	if c.aborted.Load() {
		c.written.Add(-int64(len(p)))
		return 0, errAborted
	}
	n, err := c.Conn.Write(p)
	if n < len(p) {
		// The kernel accepted only n bytes; on a broken connection often none.
		c.written.Add(int64(n - len(p)))
	}
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		// EPIPE means that the peer had closed the connection, or that a read got
		// the error.
		c.broken = true
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
