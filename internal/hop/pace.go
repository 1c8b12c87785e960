package hop

import (
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// pacedLinkShare is the share of the link rate that paced bodies may use. The
	// rest keeps the queue of the link short for other responses, which would
	// otherwise wait behind whole downloads.
	pacedLinkShare = 0.9
	// paceChunkSize is the largest number of bytes read at a time.
	paceChunkSize = 16 << 10
)

// Pacer limits the rate of bulk bodies on a link that all responses share. A nil
// Pacer sets no limit.
type Pacer struct {
	limiter *rate.Limiter
}

// NewPacer returns a Pacer for a link of the given rate in bytes per second, or
// nil if the rate is not known.
func NewPacer(linkRate float64) *Pacer {
	if linkRate <= 0 {
		return nil
	}
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(pacedLinkShare*linkRate), 2*paceChunkSize)}
}

// RemoveLimit removes the rate limit when the node stops: the remaining bytes
// must be sent within the grace time.
func (p *Pacer) RemoveLimit() {
	if p != nil {
		p.limiter.SetLimit(rate.Inf)
	}
}

// PaceBody returns a body that reads from b at the rate of p, which all such
// bodies share.
func (p *Pacer) PaceBody(b io.ReadCloser) io.ReadCloser {
	if p == nil {
		return b
	}
	if _, small := b.(*pooledBody); small {
		return b
	}
	return &pacedBody{ReadCloser: b, pacer: p}
}

type pacedBody struct {
	io.ReadCloser
	pacer *Pacer
}

// Read reads a chunk and waits until the link has capacity for it. The wait does
// not end early at a deadline; the wrapped body enforces it.
func (b *pacedBody) Read(dst []byte) (int, error) {
	n, err := b.ReadCloser.Read(dst[:min(len(dst), paceChunkSize)])
	if n > 0 {
		time.Sleep(b.pacer.limiter.ReserveN(time.Now(), n).Delay())
	}
	return n, err
}
