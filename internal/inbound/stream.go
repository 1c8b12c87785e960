package inbound

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/intake"
)

const (
	// streamWaitInterval is the time between two checks for memory for one more stream.
	streamWaitInterval = 10 * time.Millisecond
	// lostStreamAge is the time after the last new stream of a connection from which on
	// streams without a handler count no longer. net/http answers malformed requests and
	// drops reset ones without calling the handler. On 0.16 of a core, the handlers of all
	// streams that fit the memory take about 0.8 s.
	lostStreamAge = time.Second
)

// streams counts the HTTP/2 streams of a connection that hold memory: from the frame that
// begins one until its handler has returned. Each takes intake.StreamCost of the budget.
type streams struct {
	mu      sync.Mutex
	open    int       // streams that are counted
	running int       // handlers that run
	begun   time.Time // when the last stream began
}

// begin counts one more stream, whose memory is reserved.
func (s *streams) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.begun = time.Now()
}

// forgetLost stops counting streams without a handler if the last one began before t.
func (s *streams) forgetLost(b *Budget, t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.Before(t) {
		b.Release(int64(s.open-s.running) * intake.StreamCost)
		s.open = s.running
	}
}

// StartStream records that the handler of an HTTP/2 stream has begun.
func (c *Conn) StartStream() {
	s := &c.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	if s.running > s.open { // forgetLost was too early
		s.open++
		c.l.cfg.Streams.take(intake.StreamCost)
	}
}

// EndStream records that the handler of an HTTP/2 stream returns.
func (c *Conn) EndStream() {
	s := &c.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.open--
	c.l.cfg.Streams.Release(intake.StreamCost)
}

// admitStreams waits until there is memory for the streams that b begins. Until then
// nothing is read from the connection, and the kernel holds its client back.
func (c *Conn) admitStreams(b []byte) error {
	for range c.frames.countStreams(b) {
		for !c.l.cfg.Streams.Reserve(intake.StreamCost) {
			if c.closed.Load() {
				return net.ErrClosed
			}
			c.l.forgetLostStreams()
			time.Sleep(streamWaitInterval)
		}
		c.streams.begin()
		if c.closed.Load() { // maybe after the server has finished with c
			c.streams.forgetLost(c.l.cfg.Streams, time.Now())
			return net.ErrClosed
		}
	}
	return nil
}

// forgetLostStreams calls forgetLost for all connections, at most once in
// streamWaitInterval.
func (l *Listener) forgetLostStreams() {
	now := time.Now()
	last := l.lostChecked.Load()
	if now.UnixNano()-last < int64(streamWaitInterval) || !l.lostChecked.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.streams.forgetLost(l.cfg.Streams, now.Add(-lostStreamAge))
	}
}

// Sizes and types of RFC 9113 sections 3.4, 4.1 and 6.2.
const (
	prefaceSize      = 24
	frameHeaderSize  = 9
	frameTypeHeaders = 1
)

// frameScanner finds the frames of an HTTP/2 connection that begin a stream. It reads frame
// headers only; everything else is left to net/http.
type frameScanner struct {
	started bool // the preface is accounted for in skip
	skip    int  // bytes until the next frame header
	head    [frameHeaderSize]byte
	n       int    // bytes of head
	last    uint32 // highest stream
}

// countStreams returns the number of streams that the next bytes of the connection begin.
// HEADERS for a lower stream are trailers or an error.
func (f *frameScanner) countStreams(b []byte) int {
	if !f.started {
		f.started, f.skip = true, prefaceSize
	}
	count := 0
	for len(b) > 0 {
		if m := min(f.skip, len(b)); m > 0 {
			f.skip -= m
			b = b[m:]
			continue
		}
		m := copy(f.head[f.n:], b)
		f.n += m
		b = b[m:]
		if f.n < frameHeaderSize {
			break
		}
		f.n = 0
		f.skip = int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
		id := binary.BigEndian.Uint32(f.head[5:]) &^ (1 << 31) // the highest bit is reserved
		if f.head[3] == frameTypeHeaders && id > f.last {
			f.last = id
			count++
		}
	}
	return count
}
