package hop

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// ConnID numbers the connections of this process, from 1.
type ConnID uint64

var lastConnID atomic.Uint64

// Exchange describes the sending of one request, so that a log shows to which
// connection a response belongs.
type Exchange struct {
	Sent     SendStatus
	Conn     ConnID // 0 if the request had no connection
	Requests int64  // requests that the connection has carried, this one included
	// Wait is the time until the request had a connection, or until it failed without
	// one. It includes the dialing.
	Wait time.Duration
	// Early is the number of bytes that arrived on the connection after it was
	// assigned to the request and before any of the request was written. They
	// belong to no answer to it.
	Early int64
	// Aborted means that the connection was aborted because of an earlier request.
	Aborted bool
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (x Exchange) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddUint64("id", uint64(x.Conn))
	enc.AddInt64("requests", x.Requests)
	enc.AddInt64("early", x.Early)
	enc.AddBool("aborted", x.Aborted)
	enc.AddDuration("wait", x.Wait)
	enc.AddString("sent", x.Sent.String())
	return nil
}
