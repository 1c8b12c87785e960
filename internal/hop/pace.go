package hop

import (
	"io"
	"time"

	"golang.org/x/time/rate"
)

const (
	// paceShare is the share of the rate of the link that paced bodies take. What
	// they leave keeps the queue of the link short for other responses, which would
	// wait behind whole downloads there.
	paceShare = 0.9
	// paceChunk is the number of bytes that are passed on at a time.
	paceChunk = 16 << 10
)

// Pacer bounds the rate at which bulk bodies leave over a link that all responses
// share. A nil Pacer bounds nothing.
type Pacer struct {
	limit *rate.Limiter
}

// NewPacer returns a Pacer for a link of the given rate in bytes per second, or nil if
// the rate is not known.
func NewPacer(link float64) *Pacer {
	if link <= 0 {
		return nil
	}
	return &Pacer{limit: rate.NewLimiter(rate.Limit(paceShare*link), 2*paceChunk)}
}

// RemoveLimit ends the bound, for a node that stops: what it still has to pass on must leave
// within the grace time.
func (p *Pacer) RemoveLimit() {
	if p != nil {
		p.limit.SetLimit(rate.Inf)
	}
}

// PaceBody returns a body that is read from b at the rate of p, which all such bodies share.
func (p *Pacer) PaceBody(b io.ReadCloser) io.ReadCloser {
	if p == nil {
		return b
	}
	if _, small := b.(*pooled); small {
		return b
	}
	return &pacedBody{ReadCloser: b, p: p}
}

type pacedBody struct {
	io.ReadCloser
	p *Pacer
}

// Read reads a chunk and waits until the link has room for it. It does not end early
// with a deadline: the body itself does.
func (b *pacedBody) Read(dst []byte) (int, error) {
	n, err := b.ReadCloser.Read(dst[:min(len(dst), paceChunk)])
	if n > 0 {
		time.Sleep(b.p.limit.ReserveN(time.Now(), n).Delay())
	}
	return n, err
}
