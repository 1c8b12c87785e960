package backend

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/link"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// bodyGrace is the time after the deadline of a request at which reading its body
// from the caller or writing the response to the caller times out. With it, the
// deadline itself takes effect first.
const bodyGrace = 100 * time.Millisecond

// readBody reads a small request body before admission, so that a slow caller
// holds no slot. For a larger body it sets the read deadline.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.Deadline.Add(bodyGrace))
	if err := hop.ReadSmallRequest(r); err != nil {
		if time.Now().After(c.Deadline) {
			return contextRefusal(context.DeadlineExceeded, fault.NotRun)
		}
		return fault.Newf(fault.BadRequest, "request body: %w", err)
	}
	return nil
}

const (
	// maxQueuedBodyBytes limits the memory for bodies of queued requests.
	maxQueuedBodyBytes = 8 << 20
	// queuedReadBytes is the size of one read of the body of a queued request.
	queuedReadBytes = 16 << 10
	// minPacedBytes is the size from which a request body is paced. Smaller ones fit the
	// queue of a link.
	minPacedBytes = 16 << 10
)

// pacedRequestBody returns body, the body of r, at the rate that keeps the queue of the
// link of this VM short. A link that is full of uploads holds up heartbeats between nodes
// and reads of the configuration.
func (g *Gate) pacedRequestBody(ctx context.Context, c *call, r *http.Request, body io.ReadCloser) io.ReadCloser {
	small := r.ContentLength >= 0 && r.ContentLength < minPacedBytes
	if g.conf.RequestPacer == nil || small || !g.managesBodies() || fromSameVM(r) {
		return body
	}
	return g.paceBody(ctx, c, g.conf.RequestPacer, body, r.ContentLength)
}

// paceBody returns body, of the given length, paced by p. Its end is that of c.
func (g *Gate) paceBody(ctx context.Context, c *call, p *hop.Pacer, body io.ReadCloser, length int64) io.ReadCloser {
	g.mu.Lock()
	defer g.mu.Unlock()
	paced := p.PaceBody(ctx, body, hop.Transfer{Length: link.Bytes(length), Deadline: c.Deadline})
	// Nodes of earlier versions that stop only set the time of admission.
	if end := cmp.Or(c.end(), c.AdmitBy); !end.IsZero() {
		hop.LimitEnd(paced, end)
	}
	c.paced = append(c.paced, paced)
	return paced
}

// managesBodies reports whether the configuration in force selects
// config.PlaceByFinish.
func (g *Gate) managesBodies() bool {
	s := g.conf.Snapshot()
	return s != nil && s.Placement == config.PlaceByFinish
}

// readQueuedBody reads the body of the queued c into memory until c is decided, so that a
// slow link holds no slot. It reads nothing if the length of the body is not known, or if
// maxQueuedBodyBytes does not allow it.
func (g *Gate) readQueuedBody(c *call) {
	r := c.request
	n := r.ContentLength
	if n < minPacedBytes || n > maxQueuedBodyBytes || !g.managesBodies() {
		return
	}
	if g.queuedBytes.Add(n) > maxQueuedBodyBytes {
		g.queuedBytes.Add(-n)
		return
	}
	c.queuedBytes = n
	buf := make([]byte, 0, n)
	var err error
	for len(c.decided) == 0 && int64(len(buf)) < n && err == nil {
		var read int
		end := min(int64(len(buf)+queuedReadBytes), n)
		read, err = r.Body.Read(buf[len(buf):end])
		buf = buf[:len(buf)+read]
	}
	rest := io.Reader(r.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		rest = errorReader{err}
	}
	r.Body = &queuedBody{Reader: io.MultiReader(bytes.NewReader(buf), rest), Closer: r.Body}
}

// releaseQueuedBody releases what readQueuedBody has reserved for c.
func (g *Gate) releaseQueuedBody(c *call) {
	g.queuedBytes.Add(-c.queuedBytes)
	c.queuedBytes = 0
}

// queuedBody is a body whose first part was read while the request was queued.
type queuedBody struct {
	io.Reader
	io.Closer
}

// errorReader is a reader that returns an error.
type errorReader struct{ err error }

// Read implements io.Reader.
func (r errorReader) Read([]byte) (int, error) { return 0, r.err }
