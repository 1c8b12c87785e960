package logging

import (
	"bytes"
	"context"
	"errors"
	"log"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// slowWriter blocks each write until release is closed.
type slowWriter struct {
	mu      sync.Mutex
	release chan struct{}
	bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Buffer.Write(b)
}

// TestWriterNeverBlocks guards against requests that wait for a slow log target, and
// against dropped lines that are not counted.
func TestWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &slowWriter{release: make(chan struct{})}
		w := NewWriter(target)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		line := bytes.Repeat([]byte("x"), 1023)
		line = append(line, '\n')
		const lines = 4 * bufferLimitBytes / 1024
		for range lines {
			n, err := w.Write(line)
			require.NoError(t, err)
			require.Equal(t, len(line), n)
		}
		close(target.release)
		cancel()
		require.NoError(t, <-ended)
		require.Positive(t, w.Dropped())
		require.EqualValues(t, lines, int64(target.Len()/len(line))+w.Dropped())
	})
}

// TestFloodIsSampled guards against a log that grows with every refused request during
// an overload, and against sampling that drops other messages.
func TestFloodIsSampled(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	log := New(w, zap.InfoLevel)
	for range 2000 {
		log.Info("request refused: overloaded")
	}
	log.Info("node stops")
	require.NoError(t, w.Sync())
	n := strings.Count(b.String(), "request refused")
	require.GreaterOrEqual(t, n, sampleFirst)
	require.Less(t, n, 200)
	require.Contains(t, b.String(), "node stops")
}

// TestLongFields guards against a log line that grows with what a peer has sent.
func TestLongFields(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	long := strings.Repeat("\x01", 64<<10)
	log := New(w, zap.InfoLevel).With(zap.String("node", long))
	fields := []zap.Field{zap.String("reason", long), zap.Error(errors.New(long)), zap.String("request", "r1"), zap.Int("status", 200)}
	log.Info("request refused", fields...)
	log.Info("node stops", zap.Error(nil))
	require.NoError(t, w.Sync())
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	require.Len(t, lines, 2)
	require.Less(t, len(lines[0]), 3*7*maxFieldBytes) // an escaped byte takes six
	require.Contains(t, lines[0], `(65536 bytes)`)
	require.Contains(t, lines[0], `"request":"r1","status":200`)
	require.Equal(t, long, fields[0].String, "the fields of the caller")
}

// TestTrace guards against a trace that misses lines of another node, includes lines
// of other requests, or fails on a truncated line.
func TestTrace(t *testing.T) {
	a := `{"level":"info","ts":"2026-01-01T00:00:01.5Z","msg":"attempt failed: overloaded","node":"a","request":"r1","endpoint":"b","attempt":1}
{"level":"info","ts":"2026-01-01T00:00:01.7Z","msg":"request refused: overloaded","node":"a","request":"r1","reason":"no room"}
{"level":"info","ts":"2026-01-01T00:00:01.6Z","msg":"request refused: overloaded","node":"a","request":"r2"}
{"level":"info","ts":"2026-01-01T00:00:09Z","msg":"node stops","node":"a"}
`
	b := `  12.5 b {"level":"info","ts":"2026-01-01T00:00:01.4Z","msg":"request refused at the gate: overloaded","node":"b","request":"r1"}
{"level":"warn","ts":"2026-01-01T00:00:01.2Z","msg":"store lost","node":"b"}
{"level":"info","ts":"2026-01-01T00:
`
	ls, err := Trace("r1", time.Second, strings.NewReader(a), strings.NewReader(b))
	require.NoError(t, err)
	var got []string
	for i := range ls {
		got = append(got, ls[i].Node+" "+ls[i].Message)
	}
	require.Equal(t, []string{
		"b store lost", "b request refused at the gate: overloaded",
		"a attempt failed: overloaded", "a request refused: overloaded",
	}, got)
	require.Equal(t, "00:00:01.500000 a attempt failed: overloaded attempt=1 endpoint=b", ls[2].String())
	ls, err = Trace("none", time.Second, strings.NewReader(a))
	require.NoError(t, err)
	require.Empty(t, ls)
}

// TestRedirectStandard guards against messages of the standard library that are lost,
// or that fill the log.
func TestRedirectStandard(t *testing.T) {
	var b bytes.Buffer
	restore := RedirectStandard(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&b), zap.InfoLevel)))
	log.Printf("Unsolicited response %q", "HTTP/1.1 200 OK")
	log.Print(strings.Repeat("x", 10_000))
	restore()
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "Unsolicited response")
	require.Less(t, len(lines[1]), 2*maxStandardBytes)
	require.Contains(t, lines[1], `"length":10000`)
}
