// Package logging provides loggers of bounded cost: they never block the caller, and
// they sample messages that repeat at a high rate.
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
	// bufferLimitBytes limits the buffered output. Lines that exceed it are
	// dropped and counted.
	bufferLimitBytes = 256 << 10
	// flushDelay is the time during which lines are batched into one write.
	flushDelay = 100 * time.Millisecond
	// Of each message, the first sampleFirst lines per second are written, then
	// one in every sampleThereafter.
	sampleFirst      = 20
	sampleThereafter = 50
	// reportPeriod is the minimum time between two reports of omitted lines.
	reportPeriod = 5 * time.Second
)

// Writer is a buffered writer that writes to its target in the background. It drops
// lines if the target is too slow.
type Writer struct {
	target  io.Writer
	mu      sync.Mutex
	buffer  []byte
	wake    chan struct{}
	dropped atomic.Int64 // lines
}

// NewWriter returns a Writer to target. It writes in the background only while Run is
// running.
func NewWriter(target io.Writer) *Writer {
	return &Writer{target: target, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It does not block on the target.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > bufferLimitBytes {
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

// Sync implements zapcore.WriteSyncer. It writes the buffered lines to the target.
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

// Run writes the buffered lines periodically until ctx is done, and then writes the
// rest. A write error before that is ignored, as it cannot be logged, and the lines are
// lost.
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

// Dropped returns the number of lines dropped so far because the target was too slow.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// New returns a logger that writes JSON lines to w. It shortens long fields, samples
// messages that repeat at a high rate, and periodically logs the number of omitted lines.
func New(w *Writer, level zapcore.Level) *zap.Logger {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := fieldLimiter{zapcore.NewCore(zapcore.NewJSONEncoder(c), w, level)}
	r := &samplingReport{log: zap.New(core), writer: w}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(r.recordSampling)))
}

// samplingReport counts and logs the lines omitted by sampling.
type samplingReport struct {
	log         *zap.Logger
	writer      *Writer
	mu          sync.Mutex
	periodStart time.Time
	skipped     map[string]int64 // by message
}

func (r *samplingReport) recordSampling(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	r.mu.Lock()
	if r.skipped == nil {
		r.skipped, r.periodStart = make(map[string]int64), e.Time
	}
	r.skipped[e.Message]++
	var skipped map[string]int64
	if e.Time.Sub(r.periodStart) >= reportPeriod {
		skipped, r.skipped = r.skipped, nil
	}
	r.mu.Unlock()
	if skipped != nil {
		r.log.Info("log lines omitted", zap.Any("sampled", skipped), zap.Int64("dropped", r.writer.Dropped()))
	}
}
