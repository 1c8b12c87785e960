package logging

import (
	"slices"
	"strconv"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxFieldBytes limits the text of one field. An error may quote what a peer sent: net/http
// repeats a line that it cannot parse, of up to 64 KiB and escaped.
const maxFieldBytes = 1 << 10

// fieldLimiter is a core that shortens long texts, so that a line stays bounded whatever a
// peer sends.
type fieldLimiter struct{ zapcore.Core }

// With implements zapcore.Core.
func (c fieldLimiter) With(fs []zapcore.Field) zapcore.Core {
	return fieldLimiter{c.Core.With(limitFields(fs))}
}

// Check implements zapcore.Core.
func (c fieldLimiter) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return ce
	}
	return ce.AddCore(e, c)
}

// Write implements zapcore.Core.
func (c fieldLimiter) Write(e zapcore.Entry, fs []zapcore.Field) error {
	return c.Core.Write(e, limitFields(fs))
}

// limitFields returns fs with long texts shortened. It does not change fs.
func limitFields(fs []zapcore.Field) []zapcore.Field {
	out := fs
	for i, f := range fs {
		text := f.String
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			text = err.Error()
		} else if f.Type != zapcore.StringType {
			continue
		}
		if len(text) <= maxFieldBytes {
			continue
		}
		if &out[0] == &fs[0] {
			out = slices.Clone(fs)
		}
		out[i] = zap.String(f.Key, text[:maxFieldBytes]+"... ("+strconv.Itoa(len(text))+" bytes)")
	}
	return out
}
