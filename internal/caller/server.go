package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

const (
	// maxHeaderRead is the size up to which a header is read, so that one above
	// the limit in force is refused with its kind. net/http itself answers a
	// longer one with a plain 431.
	maxHeaderRead        = http.DefaultMaxHeaderBytes
	maxConcurrentStreams = 250 // concurrent requests of one HTTP/2 connection
	drainPollInterval    = 10 * time.Millisecond
	// closeTimeout bounds the wait for requests that were read just before
	// StopServing closes the listener, and for connections that never carry
	// one.
	closeTimeout = 250 * time.Millisecond
	// stopMargin is the time before the end of the process at which a request
	// must have ended, so that its response still reaches its caller.
	stopMargin     = 300 * time.Millisecond
	drainedMessage = "caller drained"
)

// Server returns the server for callers: HTTP/1.1 and cleartext HTTP/2 with
// limits on header size, body size and waiting time. The owner passes it a
// listener and calls Drain or StopServing to stop it.
func (c *Caller) Server() *http.Server { return c.server }

func (c *Caller) newServer() *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           c.Handler(),
		Protocols:         p,
		HTTP2:             c.cfg.http2Config(),
		ReadHeaderTimeout: c.cfg.HeaderTimeout,
		IdleTimeout:       c.cfg.IdleTimeout,
		WriteTimeout:      c.cfg.WriteTimeout,
		MaxHeaderBytes:    c.cfg.headerRead(),
		ErrorLog:          zap.NewStdLog(c.cfg.Log),
		ConnState:         c.connState,
		ConnContext:       c.connContext,
	}
}

func (c *Caller) connState(nc net.Conn, s http.ConnState) {
	if c.cfg.ConnState != nil {
		c.cfg.ConnState(nc, s)
	}
	switch s {
	case http.StateNew:
		c.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.conns.Add(-1)
	}
}

// Handler returns the handler for requests of callers.
func (c *Caller) Handler() http.Handler {
	if c.cfg.Middleware != nil {
		return c.cfg.Middleware(http.HandlerFunc(c.handle))
	}
	return http.HandlerFunc(c.handle)
}

// PrepareStop makes each response ask the caller to close its connection.
// Requests are still served if they end stopMargin before the given end of the
// process, or are expected to. Their gates refuse the others.
func (c *Caller) PrepareStop(by time.Time) {
	switched := time.Now().Add(c.cfg.SwitchTime)
	c.switchedAt.Store(&switched)
	c.stopBy.Store(&by)
	c.draining.Store(true)
}

func (c *Caller) handle(w http.ResponseWriter, r *http.Request) {
	c.active.Add(1)
	defer c.active.Add(-1)
	if c.draining.Load() || len(r.TransferEncoding) > 0 {
		// RFC 9112 section 6.1: after a request with both Content-Length and
		// Transfer-Encoding the connection must close. net/http removes the
		// Content-Length before the handler runs, so every chunked request is
		// treated as one.
		w.Header()["Connection"] = closeValue
	}
	q := &call{w: w, in: r, arrived: time.Now()}
	q.startStream()
	defer c.release(q)
	c.dropCanceled(q)
	a, err := invoke[*attempt](r.Context(), c.serve, q)
	if err != nil {
		c.refuse(q, fault.From(err))
	} else {
		c.respond(q, a)
	}
	c.flush(q)
}

var closeValue = []string{"close"}

// StopServing stops the server without interrupting requests. New requests are
// refused as draining, with retryIn as the retry delay, until no request is in
// flight or ctx ends. Then the server is closed.
func (c *Caller) StopServing(ctx context.Context, retryIn time.Duration) error {
	c.draining.Store(true)
	c.shutdownRetryAfter.Store(int64(retryIn))
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for c.active.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-poll.C:
		}
	}
	err := ctx.Err()
	// A request may have been read in the meantime: Shutdown lets its refusal
	// be written.
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if e := c.server.Shutdown(end); e != nil && !errors.Is(e, context.DeadlineExceeded) {
		err = errors.Join(err, e)
	}
	c.closeIdle()
	c.cfg.Log.Info(drainedMessage, zap.Int64("interrupted", c.active.Load()))
	return errors.Join(err, c.server.Close())
}

// Drain stops the server without interrupting requests: each response asks the
// caller to close its connection, and idle connections are closed after Linger.
// Drain returns when no request is in flight or ctx ends.
func (c *Caller) Drain(ctx context.Context) error {
	c.draining.Store(true)
	linger := time.NewTimer(c.cfg.Linger)
	defer linger.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for waiting := true; waiting && c.conns.Load() > 0; {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), c.server.Close())
		case <-linger.C:
			waiting = false
		case <-poll.C:
		}
	}
	err := c.server.Shutdown(ctx)
	c.closeIdle()
	c.cfg.Log.Info(drainedMessage, zap.Error(err))
	return err
}

// closeIdle closes the connections to gates that carry no request.
func (c *Caller) closeIdle() {
	c.pools.closeIdle()
	c.notices.CloseIdle()
}
