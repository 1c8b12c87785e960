package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// maxBufferedBytes is the size of the largest request body that is kept in
// memory to be sent again.
const maxBufferedBytes = 64 << 10

// readGrace is added to the deadline, or to the time of a refusal, to set the
// read deadline of a request body.
const readGrace = time.Second

// errAttemptEnded is returned by reads of the body of an attempt that has
// ended.
var errAttemptEnded = errors.New("caller: request body read after the attempt ended")

// body is a request body that several attempts can send. The first part is held
// in memory. The rest, if any, can be read only once: after an attempt has
// started to read it, the request cannot be retried.
type body struct {
	buf  []byte
	rest io.Reader // nil if buf holds the whole body

	mu          sync.Mutex
	restStarted bool  // an attempt has started to read rest
	err         error // from reading rest, other than io.EOF
}

// bufferBody reads the body of q into memory, up to maxBufferedBytes. A body
// with a larger declared length is not buffered at all.
func (c *Caller) bufferBody(q *call) *fault.Error {
	in := q.in
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return nil
	}
	q.hasBody = true
	limited := hop.LimitBody(q.w, in, q.limits.MaxBody)
	rc := http.NewResponseController(q.w)
	if in.ContentLength > maxBufferedBytes {
		q.body.rest = limited
	} else {
		if e := c.reserve(q, bodyCost(in.ContentLength)); e != nil {
			return e
		}
		_ = rc.SetReadDeadline(q.deadline)
		if e := q.body.readAhead(limited, in.ContentLength); e != nil {
			return e
		}
	}
	if q.body.rest == nil {
		_ = rc.SetReadDeadline(time.Time{})
		return nil
	}
	// Later than the deadline, since net/http treats a read that times out as a
	// disconnected caller.
	_ = rc.SetReadDeadline(q.deadline.Add(readGrace))
	return nil
}

// readAhead reads up to maxBufferedBytes of r, whose size is negative if
// unknown, and keeps r as the rest if more data follows.
func (b *body) readAhead(r io.Reader, size int64) *fault.Error {
	var err error
	if size >= 0 {
		b.buf = make([]byte, size)
		_, err = io.ReadFull(r, b.buf)
	} else {
		b.buf, err = io.ReadAll(io.LimitReader(r, maxBufferedBytes+1))
	}
	if err != nil {
		return bodyFault(err, fault.NotRun)
	}
	if len(b.buf) > maxBufferedBytes {
		b.rest = r
	}
	return nil
}

// bodyFault returns the refusal for an error from reading a request body.
func bodyFault(err error, run fault.RunState) *fault.Error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return fault.Newf(fault.BodyTooLarge, "%w", err).WithRun(run)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "deadline passed while the request body was read").WithRun(run)
	}
	return fault.Newf(fault.BadRequest, "reading the request body: %w", err).WithRun(run)
}

// open returns a reader of the body for one attempt.
func (b *body) open() *bodyReader { return &bodyReader{b: b} }

// readErr returns the error from reading the rest, if any.
func (b *body) readErr() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// minDemandedBytes is the size from which a body that is held in memory is sent only on
// demand. A refusal of a smaller one costs the link less than the round trip that the
// demand adds to each request.
const minDemandedBytes = 16 << 10

// sendsBodyOnDemand reports whether the gate requests the body of q after it has admitted
// the request, so that a refused request costs the link nothing. A streamed body can only
// then be sent again.
func (q *call) sendsBodyOnDemand() bool {
	byFinish := q.table.Snapshot().Placement == config.PlaceByFinish
	return q.body.rest != nil || byFinish && len(q.body.buf) >= minDemandedBytes
}

// bodyReader reads a body for one attempt. The transport may go on reading
// after the attempt has ended, so seal keeps it from claiming the rest then.
type bodyReader struct {
	b       *body
	off     int
	claimed bool
	sealed  bool // guarded by b.mu
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.off < len(r.b.buf) {
		n := copy(p, r.b.buf[r.off:])
		r.off += n
		return n, nil
	}
	if r.b.rest == nil {
		return 0, io.EOF
	}
	if !r.claimed && !r.claim() {
		return 0, errAttemptEnded
	}
	n, err := r.b.rest.Read(p)
	if err != nil && err != io.EOF {
		r.b.mu.Lock()
		r.b.err = err
		r.b.mu.Unlock()
	}
	return n, err
}

func (r *bodyReader) claim() bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.sealed || r.b.restStarted {
		return false
	}
	r.b.restStarted, r.claimed = true, true
	return true
}

// Close implements io.Closer. It does nothing, since the server closes the
// body.
func (r *bodyReader) Close() error { return nil }

// seal prevents r from starting to read the rest and reports whether another
// attempt can send the body.
func (r *bodyReader) seal() bool {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.sealed = true
	return !r.b.restStarted
}
