package hop

import (
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

const (
	// pacedLinkShare is the share of the link rate that paced bodies may use. The
	// rest keeps the queue of the link short for other responses, which would
	// otherwise wait behind whole downloads.
	pacedLinkShare = 0.9
	// paceChunkSize is the largest number of bytes read at a time.
	paceChunkSize = 16 << 10
	// maxPaceMicros is the longest wait that a Pacer records.
	maxPaceMicros = int64(5 * time.Minute / time.Microsecond)
)

// Pacer limits the rate of bulk bodies on a link that all responses share. A nil
// Pacer sets no limit. It is safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter

	mu     sync.Mutex // guards the fields below
	bodies map[*pacedBody]struct{}
	waits  *hdrhistogram.Histogram // microseconds, one value for each body
}

// NewPacer returns a Pacer for a link of the given rate in bytes per second, or
// nil if the rate is not known.
func NewPacer(linkRate float64) *Pacer {
	if linkRate <= 0 {
		return nil
	}
	return &Pacer{
		limiter: rate.NewLimiter(rate.Limit(pacedLinkShare*linkRate), 2*paceChunkSize),
		bodies:  make(map[*pacedBody]struct{}),
		waits:   hdrhistogram.New(1, maxPaceMicros, 2),
	}
}

// RemoveLimit removes the rate limit when the node stops: the remaining bytes
// must be sent within the grace time.
func (p *Pacer) RemoveLimit() {
	if p != nil {
		p.limiter.SetLimit(rate.Inf)
	}
}

// PaceBody returns a body of the given length that reads from b at the rate of p, which
// all such bodies share. The length is -1 if it is not known. The body must be closed.
func (p *Pacer) PaceBody(b io.ReadCloser, length int64) io.ReadCloser {
	if p == nil {
		return b
	}
	if _, small := b.(*pooledBody); small {
		return b
	}
	body := &pacedBody{ReadCloser: b, pacer: p, usage: LinkUsage{Length: length}}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies[body] = struct{}{}
	return body
}

// PacerStatus is a snapshot of the state of a Pacer.
type PacerStatus struct {
	Bodies int   // bodies that are being sent
	Bytes  int64 // bytes of these bodies, as far as their length is known, that wait for the link
}

// Status returns the current status of p.
func (p *Pacer) Status() PacerStatus {
	if p == nil {
		return PacerStatus{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PacerStatus{Bodies: len(p.bodies)}
	for b := range p.bodies {
		s.Bytes += max(b.usage.Length-b.usage.Sent, 0)
	}
	return s
}

// WaitSummary returns the number of bodies that have ended, and percentiles of the time in
// microseconds that each of them waited for the link.
func (p *Pacer) WaitSummary() map[string]int64 {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]int64{
		"count": p.waits.TotalCount(),
		"p50":   p.waits.ValueAtQuantile(50),
		"p99":   p.waits.ValueAtQuantile(99),
		"p999":  p.waits.ValueAtQuantile(99.9),
	}
}

// LinkUsage describes how a paced body uses the link.
type LinkUsage struct {
	Length int64         // -1 if it is not known
	Sent   int64         // bytes for which the link had capacity
	Wait   time.Duration // for the link, without the wait that is going on
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (u LinkUsage) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt64("length", u.Length)
	enc.AddInt64("sent", u.Sent)
	enc.AddDuration("wait", u.Wait)
	return nil
}

// LinkUsageOf returns the use of the link by b, and whether b is paced.
func LinkUsageOf(b io.ReadCloser) (LinkUsage, bool) {
	p, ok := b.(*pacedBody)
	if !ok {
		return LinkUsage{}, false
	}
	p.pacer.mu.Lock()
	defer p.pacer.mu.Unlock()
	return p.usage, true
}

// LinkField returns the log field "link" with the use of the link by b, or a field that is
// left out if b is not paced.
func LinkField(b io.ReadCloser) zap.Field {
	u, paced := LinkUsageOf(b)
	if !paced {
		return zap.Skip()
	}
	return zap.Object("link", u)
}

type pacedBody struct {
	io.ReadCloser
	pacer *Pacer
	usage LinkUsage // guarded by pacer.mu
}

// Read reads a chunk and waits until the link has capacity for it. The wait does
// not end early at a deadline; the wrapped body enforces it.
func (b *pacedBody) Read(dst []byte) (int, error) {
	n, err := b.ReadCloser.Read(dst[:min(len(dst), paceChunkSize)])
	if n > 0 {
		d := b.pacer.limiter.ReserveN(time.Now(), n).Delay()
		time.Sleep(d)
		b.pacer.mu.Lock()
		b.usage.Sent += int64(n)
		b.usage.Wait += d
		b.pacer.mu.Unlock()
	}
	return n, err
}

// Close ends the use of the link by b. Further calls have no effect on it.
func (b *pacedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

func (b *pacedBody) release() {
	b.pacer.mu.Lock()
	defer b.pacer.mu.Unlock()
	if _, open := b.pacer.bodies[b]; open {
		delete(b.pacer.bodies, b)
		_ = b.pacer.waits.RecordValue(min(max(b.usage.Wait.Microseconds(), 1), maxPaceMicros)) // in range
	}
}

// ReleaseLink ends the use of the link by b without closing b. It has no effect if b is
// not paced.
func ReleaseLink(b io.ReadCloser) {
	if p, ok := b.(*pacedBody); ok {
		p.release()
	}
}
