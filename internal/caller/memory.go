package caller

import (
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/intake"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/inbound"
)

const (
	// refusalWriteTimeout bounds the time for writing a refusal to a caller that does not
	// read. It has an effect only with Config.Memory.
	refusalWriteTimeout = 5 * time.Second
	// smallHeaderRead is maxHeaderRead with Config.Memory: an HTTP/2 header block takes
	// several times its size, and the limit for HTTP/1 is that of the owner's listener.
	smallHeaderRead = 64 << 10
)

// http2Config returns the limits of HTTP/2 connections. With Config.Memory, a connection
// takes as little as HTTP/2 allows: net/http would otherwise accept frames of 1 MB and
// keep 1 MB of bodies for each.
func (c *Config) http2Config() *http.HTTP2Config {
	if c.Memory == nil {
		return &http.HTTP2Config{MaxConcurrentStreams: maxConcurrentStreams}
	}
	const (
		minWindow = 64 << 10
		minFrame  = 16 << 10
		// RFC 9113 section 6.5.2 advises 100. Streams that were reset before their request
		// was looked at took 119 MiB on 160 connections with 100.
		fewStreams = 32
	)
	return &http.HTTP2Config{
		MaxConcurrentStreams: fewStreams, MaxReadFrameSize: minFrame,
		MaxReceiveBufferPerConnection: minWindow, MaxReceiveBufferPerStream: minWindow,
	}
}

// headerRead returns the size up to which net/http reads a header.
func (c *Config) headerRead() int {
	if c.Memory == nil {
		return max(maxHeaderRead, c.MaxHeader)
	}
	return max(smallHeaderRead, c.MaxHeader)
}

// reserve takes memory for q in flight, which release gives back.
func (c *Caller) reserve(q *call, n int64) *fault.Error {
	if c.cfg.Memory == nil {
		return nil
	}
	if !c.cfg.Memory.Reserve(n) {
		c.cfg.Metrics.CounterGroup(refusedCounter).Add(reasonRequests, 1)
		return fault.New(fault.Overloaded, "requests in flight take all memory that is meant for them")
	}
	q.memory += n
	return nil
}

// refusedCounter counts what was refused for lack of memory or connections, and the
// connections that were closed; see internal/hosted, too.
const (
	refusedCounter = "inbound_refused"
	reasonRequests = "request_memory"
	// reasonCancellations counts connections that were closed for it.
	reasonCancellations = "caller_cancellations"
)

// refusalWriter returns what a refusal of q is written to. A caller that does not read must
// not hold it for long. Over HTTP/2 a body waits for the caller to open its window, so the
// refusal has none without memory for q, or if more than half of the memory is in use:
// otherwise refusals that nobody reads would take what requests need.
func (c *Caller) refusalWriter(q *call) http.ResponseWriter {
	if c.cfg.Memory == nil {
		return q.w
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if q.in.ProtoMajor > 1 && (q.memory == 0 || c.cfg.Memory.IsHalfUsed()) {
		return headerWriter{q.w}
	}
	return q.w
}

// headerWriter writes a response without its body.
type headerWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (w headerWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (w headerWriter) WriteHeader(status int) {
	w.Header().Set("Content-Length", "0")
	w.ResponseWriter.WriteHeader(status)
}

// dropCanceled ends q at once if its caller has canceled it before its handler began. It has
// an effect only with Config.Memory.
func (c *Caller) dropCanceled(q *call) {
	if c.cfg.Memory == nil || q.in.ProtoMajor < 2 || !q.canceled() {
		return
	}
	c.counts.refused.Add(string(fault.Canceled), 1)
	c.countEnd(q, true)
	panic(http.ErrAbortHandler) // nothing of the request was forwarded, and nobody waits
}

// countEnd closes the connection of q if its caller has canceled too many requests on it:
// with HTTP/2, a request that is canceled at once costs its caller next to nothing.
func (c *Caller) countEnd(q *call, canceled bool) {
	if q.conn != nil && q.conn.CountRequest(canceled) {
		c.cfg.Metrics.CounterGroup(refusedCounter).Add(reasonCancellations, 1)
		_ = q.conn.Close() // an error means that it is closed
	}
}

// startStream counts the handler of q, until release.
func (q *call) startStream() {
	if q.in.ProtoMajor < 2 {
		return
	}
	if nc, ok := hop.ConnOf(q.in).(*inbound.Conn); ok {
		q.conn = nc
		nc.StartStream()
	}
}

// flush sends the end of a small response, which net/http would send only after the handler
// has returned and its memory is given back: 4,000 goroutines waited there for windows that
// their callers never opened.
func (c *Caller) flush(q *call) {
	if c.cfg.Memory != nil && q.in.ProtoMajor > 1 {
		_ = http.NewResponseController(q.w).Flush() // fails if the caller has gone
	}
}

// requestCost returns the memory of q in flight, whose header has size bytes.
func requestCost(q *call, size int) int64 {
	fields := 0
	for _, vs := range q.in.Header {
		fields += len(vs)
	}
	return intake.RequestCost(size, fields, q.in.ProtoMajor > 1)
}

// bodyCost returns the memory of a body that is read ahead; its size is negative if
// unknown.
func bodyCost(size int64) int64 {
	if size < 0 {
		return maxBufferedBytes + 1
	}
	return size
}
