// Package logging builds loggers whose cost is bounded: they never block their
// caller, and a flood of equal messages is sampled.
package logging

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// bufferLimit is the number of bytes that may wait to be written. What
	// exceeds it is dropped and counted.
	bufferLimit = 256 << 10
	// flushDelay is the time for which lines are collected into one write.
	flushDelay = 100 * time.Millisecond
	// sampleFirst lines of one message are written each second, then one of
	// sampleEach.
	sampleFirst = 20
	sampleEach  = 50
	// reportPeriod is the least time between two lines that count what was
	// dropped.
	reportPeriod = 5 * time.Second
)

// Writer passes what is written to it on in the background. It drops lines when
// its target does not keep up.
type Writer struct {
	target  io.Writer
	mu      sync.Mutex
	buffer  []byte
	wake    chan struct{}
	dropped atomic.Int64 // lines
}

// NewWriter returns a Writer to target. Run must be running for anything to be
// written.
func NewWriter(target io.Writer) *Writer {
	return &Writer{target: target, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It does not wait.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > bufferLimit {
		w.dropped.Add(1)
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it writes what is waiting.
func (w *Writer) Sync() error {
	w.mu.Lock()
	b := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(b) == 0 {
		return nil
	}
	_, err := w.target.Write(b)
	return err
}

// Run writes in the background until ctx ends, and then what is left. Errors of
// the target cannot be logged; the lines are lost.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return w.Sync()
		case <-w.wake:
		}
		t := time.NewTimer(flushDelay)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
		_ = w.Sync()
	}
}

// Dropped returns the number of lines dropped so far because the target did not
// keep up.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// New returns a logger of JSON lines to w. Lines of one message beyond a rate
// are left out and counted; a line says from time to time how many.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level)
	r := &report{log: zap.New(core), writer: w}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleEach, zapcore.SamplerHook(r.sampled)))
}

// report counts the lines that were left out.
type report struct {
	log     *zap.Logger
	writer  *Writer
	mu      sync.Mutex
	since   time.Time
	skipped map[string]int64 // by message
}

func (r *report) sampled(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	r.mu.Lock()
	if r.skipped == nil {
		r.skipped, r.since = make(map[string]int64), e.Time
	}
	r.skipped[e.Message]++
	var skipped map[string]int64
	if e.Time.Sub(r.since) >= reportPeriod {
		skipped, r.skipped = r.skipped, nil
	}
	r.mu.Unlock()
	if skipped != nil {
		r.log.Info("log lines left out", zap.Any("sampled", skipped), zap.Int64("dropped", r.writer.Dropped()))
	}
}
