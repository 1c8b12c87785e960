package hop

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderrill.dev/lavenderrill/internal/core/link"
)

const (
	// paceChunkSize is the largest number of bytes read at a time.
	paceChunkSize = 16 << 10
	// maxPaceMicros is the longest wait that a Pacer records.
	maxPaceMicros = int64(5 * time.Minute / time.Microsecond)
)

// Pacer passes bulk bodies on at the rate of a link that all bodies share, in the order
// of a link.Scheduler. A nil Pacer sets no limit. It is safe for concurrent use.
type Pacer struct {
	mu     sync.Mutex // guards the fields below
	sched  *link.Scheduler
	timer  *time.Timer // runs dispatch when the link is free; nil before the first wait
	bodies map[*link.Body]*pacedBody
	waits  *hdrhistogram.Histogram // microseconds, one value for each body
}

// NewPacer returns a Pacer for a link of the given rate, or nil if the rate is not known.
func NewPacer(linkRate link.Rate) *Pacer {
	if !(linkRate > 0) {
		return nil
	}
	return &Pacer{
		sched:  link.New(link.Config{Rate: linkRate}),
		bodies: make(map[*link.Body]*pacedBody),
		waits:  hdrhistogram.New(1, maxPaceMicros, 2),
	}
}

// StopAt sets the time at which this node stops. All bodies, present and later ones, get
// the whole link, and are sent before end if the link can carry them.
func (p *Pacer) StopAt(end time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.StopAt(end)
	p.dispatch()
}

// Transfer describes a body that uses a link.
type Transfer struct {
	Length   link.Bytes // or link.UnknownLength
	Deadline time.Time  // latest useful time of the last byte; zero means none
}

// PaceBody returns a body that reads from b as fast as p allows, which all such bodies
// share. Reads fail with the error of ctx once that ends. The body must be closed, or
// released with ReleaseLink.
func (p *Pacer) PaceBody(ctx context.Context, b io.ReadCloser, t Transfer) io.ReadCloser {
	if p == nil {
		return b
	}
	if _, small := b.(*pooledBody); small {
		return b
	}
	body := &pacedBody{
		ReadCloser: b,
		ctx:        ctx,
		pacer:      p,
		body:       link.Body{Length: max(t.Length, link.UnknownLength), Deadline: t.Deadline},
		granted:    make(chan struct{}, 1),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bodies[&body.body] = body
	p.sched.Add(&body.body)
	return body
}

// LimitEnd sets the time at which a process that sends or receives b stops. It has no
// effect if b is not paced.
func LimitEnd(b io.ReadCloser, end time.Time) {
	body, ok := b.(*pacedBody)
	if !ok {
		return
	}
	p := body.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.LimitEnd(&body.body, end)
	p.dispatch()
}

// dispatch lets bodies read on as far as the link has capacity, and sets the timer for the
// next time. p.mu must be held.
func (p *Pacer) dispatch() {
	now := time.Now()
	for {
		b, next := p.sched.Next(now)
		switch {
		case b != nil:
			p.bodies[b].granted <- struct{}{}
			continue
		case next.IsZero():
		case p.timer == nil:
			p.timer = time.AfterFunc(next.Sub(now), p.dispatchLater)
		default:
			p.timer.Reset(next.Sub(now))
		}
		return
	}
}

func (p *Pacer) dispatchLater() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// PacerStatus is a snapshot of the state of a Pacer.
type PacerStatus struct {
	Bodies int        // bodies that are being sent
	Bytes  link.Bytes // of these bodies, as far as their length is known, that wait for the link
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
		if b.Length >= 0 {
			s.Bytes += b.Left()
		}
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
	Length link.Bytes    // or link.UnknownLength
	Sent   link.Bytes    // for which the link had capacity
	Wait   time.Duration // for the link, without the wait that is going on
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (u LinkUsage) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt64("length", int64(u.Length))
	enc.AddInt64("sent", int64(u.Sent))
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
	return LinkUsage{Length: p.body.Length, Sent: p.body.Sent(), Wait: p.wait}, true
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
	ctx     context.Context // of the request; Read has no parameter for it
	pacer   *Pacer
	granted chan struct{} // receives one value for each chunk that may be passed on; closed by release

	// The fields below are guarded by pacer.mu.
	body link.Body
	wait time.Duration
}

// Read reads a chunk and waits until the link has capacity for it.
func (b *pacedBody) Read(dst []byte) (int, error) {
	n, err := b.ReadCloser.Read(dst[:min(len(dst), paceChunkSize)])
	if n > 0 {
		if err := b.awaitLink(link.Bytes(n)); err != nil {
			return 0, err
		}
	} else if err != nil {
		b.release()
	}
	return n, err
}

// awaitLink waits until the link has capacity for n bytes of b.
func (b *pacedBody) awaitLink(n link.Bytes) error {
	p, began := b.pacer, time.Now()
	p.mu.Lock()
	if _, open := p.bodies[&b.body]; !open {
		p.mu.Unlock()
		return net.ErrClosed
	}
	p.sched.Wait(&b.body, n)
	p.dispatch()
	p.mu.Unlock()
	var err error
	select {
	case _, open := <-b.granted:
		if !open {
			err = net.ErrClosed
		}
	case <-b.ctx.Done():
		err = b.ctx.Err()
	}
	p.mu.Lock()
	b.wait += time.Since(began)
	p.mu.Unlock()
	if err != nil {
		b.release()
	}
	return err
}

// Close ends the use of the link by b. Further calls have no effect on it.
func (b *pacedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// release ends the use of the link by b, so that what it waits for is free for others.
func (b *pacedBody) release() {
	p := b.pacer
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.bodies[&b.body]; !open {
		return
	}
	delete(p.bodies, &b.body)
	p.sched.Remove(&b.body)
	close(b.granted)
	_ = p.waits.RecordValue(min(max(b.wait.Microseconds(), 1), maxPaceMicros)) // in range
	p.dispatch()
}

// ReleaseLink ends the use of the link by b without closing b. It has no effect if b is
// not paced.
func ReleaseLink(b io.ReadCloser) {
	if p, ok := b.(*pacedBody); ok {
		p.release()
	}
}
