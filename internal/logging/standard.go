package logging

import (
	"bytes"
	"log"

	"go.uber.org/zap"
)

// maxStandardBytes limits the text of one message of the standard logger, which may
// quote what a peer sent.
const maxStandardBytes = 512

// standardMessage is the same for all messages of the standard logger, so that they
// are sampled together.
const standardMessage = "message of the standard library"

// RedirectStandard makes the standard logger write to l. The transport of net/http uses
// it to report bytes that arrive on an idle connection. The returned function undoes
// the change.
func RedirectStandard(l *zap.Logger) func() {
	flags, prefix, output := log.Flags(), log.Prefix(), log.Writer()
	log.SetFlags(0)
	log.SetPrefix("")
	log.SetOutput(standardWriter{l})
	return func() {
		log.SetFlags(flags)
		log.SetPrefix(prefix)
		log.SetOutput(output)
	}
}

type standardWriter struct{ log *zap.Logger }

// Write implements io.Writer for one message.
func (w standardWriter) Write(p []byte) (int, error) {
	text := bytes.TrimSpace(p)
	w.log.Info(standardMessage, zap.ByteString("text", text[:min(len(text), maxStandardBytes)]), zap.Int("length", len(text)))
	return len(p), nil
}
