package hop

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// TCP keep-alive settings. A connection whose peer or path fails without a reset
// is detected within keepAliveIdle + keepAliveCount*keepAlivePeriod, in time to
// retry most requests.
const (
	keepAliveIdle   = time.Second
	keepAlivePeriod = 500 * time.Millisecond
	keepAliveCount  = 2
)

// NewDialer returns a dialer whose connections end soon after their peer stops
// responding.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount,
		},
	}
}

// SendStatus says whether a request can have reached the peer.
type SendStatus uint8

const (
	// MayHaveRun means that bytes of the request were written or may have been.
	MayHaveRun SendStatus = iota
	// NothingSent means that no byte of the request was written and none will
	// be.
	NothingSent
)

// String returns the lower-case name of s.
func (s SendStatus) String() string {
	if s == NothingSent {
		return "nothing-sent"
	}
	return "may-have-run"
}

// NoLimit as Config.MaxConnsPerHost means that no request waits for a connection of another
// one. The user of the Transport limits the requests instead.
const NoLimit = -1

// Defaults of Config.
const (
	defaultMaxConns       = 64
	defaultDialTimeout    = time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 64 << 10
	expectContinueTimeout = time.Second
)

// Config holds the settings of a Transport. Zero fields get defaults.
type Config struct {
	MaxConnsPerHost     int           // maximum connections per host, or NoLimit; further requests wait, first come, first served
	MaxIdleConnsPerHost int           // maximum idle connections per host; MaxConnsPerHost if 0
	MaxIdleConns        int           // maximum idle connections to all hosts; no limit if 0
	DialTimeout         time.Duration // timeout of one connection attempt
	IdleTimeout         time.Duration // idle connections are closed after this time
	MaxHeaderBytes      int64         // largest response header

	// Dial replaces the TCP dialer, for tests.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Transport sends HTTP/1.1 requests and reports whether those that fail can have
// reached the peer. It never sends a request twice. It is safe for concurrent use.
type Transport struct {
	base    *http.Transport
	waiting atomic.Int64 // requests without a connection
}

// New returns a Transport for c.
func New(c Config) *Transport {
	c = c.withDefaults()
	proto := new(http.Protocols)
	proto.SetHTTP1(true)
	return &Transport{base: &http.Transport{
		DialContext:            c.dialFunc(),
		DisableCompression:     true,
		Protocols:              proto,
		MaxConnsPerHost:        max(c.MaxConnsPerHost, 0),
		MaxIdleConnsPerHost:    c.MaxIdleConnsPerHost,
		MaxIdleConns:           c.MaxIdleConns,
		IdleConnTimeout:        c.IdleTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: c.MaxHeaderBytes,
	}}
}

func (c Config) withDefaults() Config {
	if c.MaxConnsPerHost == 0 {
		c.MaxConnsPerHost = defaultMaxConns
	}
	if c.MaxIdleConnsPerHost <= 0 {
		c.MaxIdleConnsPerHost = c.MaxConnsPerHost
		if c.MaxConnsPerHost < 0 {
			c.MaxIdleConnsPerHost = defaultMaxConns
		}
	}
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	return c
}

// dialFunc returns a dial function whose connections are of type *conn.
func (c Config) dialFunc() func(ctx context.Context, network, addr string) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = NewDialer(c.DialTimeout).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
		defer cancel()
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newConn(nc, ConnID(lastConnID.Add(1))), nil
	}
}

// RoundTrip is RoundTripChecked without a check.
func (t *Transport) RoundTrip(ctx context.Context, req *http.Request) (*http.Response, Exchange, error) {
	return t.RoundTripChecked(ctx, req, func(*http.Response, Exchange) error { return nil })
}

// RoundTripChecked sends req once and returns the response header; the caller must
// close the body. On an error the connection is aborted, and the status is
// NothingSent only if no byte of req was or will be written. Without an error
// the status is MayHaveRun.
//
// The body of req is wrapped, so that net/http cannot replay it; req must not
// be used again. A body of at most 4 KiB is read before anything is sent.
//
// The check returns an error if the response does not belong to req, which
// RoundTripChecked returns. No other request is written to the connection before.
func (t *Transport) RoundTripChecked(ctx context.Context, req *http.Request, check func(*http.Response, Exchange) error) (*http.Response, Exchange, error) {
	tracker := connTracker{began: time.Now(), waiting: &t.waiting}
	t.waiting.Add(1)
	defer tracker.release()
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	if err := makeSingleUse(req); err != nil {
		return nil, Exchange{Sent: NothingSent}, err
	}
	resp, err := t.base.RoundTrip(req)
	x := tracker.exchange()
	if err != nil {
		x.Sent = tracker.abort()
		return nil, x, err
	}
	x.Sent = MayHaveRun
	switch {
	case tracker.hasFaultyFraming():
		err = errFaultyFraming
	case x.Requests > 1 && isSpliced(resp): // a new connection cannot repeat a response
		err = errSplicedHead
	case !hasValidStatus(resp):
		err = fmt.Errorf("hop: response with status %d", resp.StatusCode)
	default:
		err = check(resp, x)
	}
	if err != nil {
		// The response to req may still be to come.
		tracker.abort()
		resp.Body.Close()
		return nil, x, err
	}
	return resp, x, nil
}

// Waiting returns the number of requests that wait for a connection.
func (t *Transport) Waiting() int64 { return t.waiting.Load() }

// CloseIdle closes the connections that carry no request.
func (t *Transport) CloseIdle() { t.base.CloseIdleConnections() }

// connTracker records the connection that carries a request.
type connTracker struct {
	mu         sync.Mutex
	conn       *conn
	startBytes int64         // bytes written to conn before this request
	requests   int64         // requests that conn has carried, this one included
	early      *atomic.Int64 // bytes received before this request was written
	multiple   bool          // more than one connection was used

	began   time.Time
	wait    time.Duration // until the request had a connection
	waiting *atomic.Int64 // decremented once, at the end of the wait; may be nil
}

// endWait records that the wait for a connection has ended. t.mu must be held.
func (t *connTracker) endWait() {
	if t.waiting == nil {
		return
	}
	t.waiting.Add(-1)
	t.waiting, t.wait = nil, time.Since(t.began)
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWait()
	c, ok := info.Conn.(*conn)
	if !ok || t.conn != nil {
		t.multiple = true
		return
	}
	c.judged.Lock()
	t.conn, t.startBytes = c, c.written.Load()
	t.requests, t.early = c.begin()
}

// release lets the connection carry the next request.
func (t *connTracker) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWait()
	if t.conn != nil {
		t.conn.judged.Unlock()
	}
}

// exchange returns what is known of the connection.
func (t *connTracker) exchange() Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endWait()
	if t.conn == nil {
		return Exchange{Wait: t.wait}
	}
	return Exchange{Wait: t.wait, Conn: t.conn.id, Requests: t.requests, Early: t.early.Load(), Aborted: t.conn.aborted.Load()}
}

func (t *connTracker) hasFaultyFraming() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn != nil && t.conn.faulty.Load()
}

// abort aborts the connection of a failed request and reports whether the request
// can have reached the peer.
func (t *connTracker) abort() SendStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.multiple:
		if t.conn != nil {
			t.conn.abort()
		}
		return MayHaveRun
	case t.conn == nil, t.conn.abort() == t.startBytes:
		return NothingSent
	}
	return MayHaveRun
}

// Pools holds separate transports for bulk and other ranks, so that bulk bodies
// never occupy the connections of urgent requests.
type Pools struct {
	bulk, other *Transport
}

// NewPools returns pools with the given settings for bulk and other ranks.
func NewPools(bulk, other Config) *Pools {
	return &Pools{bulk: New(bulk), other: New(other)}
}

// NewSharedPool returns Pools with one transport for all ranks.
func NewSharedPool(c Config) *Pools {
	t := New(c)
	return &Pools{bulk: t, other: t}
}

// TransportFor returns the transport for bulk ranks or that for the other ranks.
func (p *Pools) TransportFor(bulk bool) *Transport {
	if bulk {
		return p.bulk
	}
	return p.other
}

// Waiting returns the number of requests that wait for a connection of either pool.
func (p *Pools) Waiting() int64 {
	if p.bulk == p.other {
		return p.other.Waiting()
	}
	return p.bulk.Waiting() + p.other.Waiting()
}

// CloseIdle closes the connections of both pools that carry no request.
func (p *Pools) CloseIdle() {
	p.bulk.CloseIdle()
	p.other.CloseIdle()
}
