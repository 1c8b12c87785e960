package httpcall

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Config holds the settings of a Client.
type Config struct {
	Addr           mesh.Addr
	DialTimeout    time.Duration
	MaxHeaderBytes int64 // of a response
	MaxBodyBytes   int64 // of a response
	MaxIdleConns   int
	ContentType    string // of requests

	// CheckHeader is called with the header of each response. Its error ends the call
	// before the body is read.
	CheckHeader func(http.Header) error
}

// Client makes calls to one server. It is safe for concurrent use.
type Client struct {
	base        string
	client      *http.Client
	maxBody     int64
	contentType string
	checkHeader func(http.Header) error
}

// New returns a Client.
func New(c Config) *Client {
	d := hop.NewDialer(c.DialTimeout)
	return &Client{
		base: "http://" + string(c.Addr), maxBody: c.MaxBodyBytes, contentType: c.ContentType, checkHeader: c.CheckHeader,
		client: &http.Client{Transport: &http.Transport{
			DialContext:            func(ctx context.Context, n, a string) (net.Conn, error) { return d.DialContext(ctx, n, a) },
			DisableCompression:     true,
			MaxIdleConns:           c.MaxIdleConns,
			IdleConnTimeout:        time.Minute,
			MaxResponseHeaderBytes: c.MaxHeaderBytes,
		}},
	}
}

// Request is one call.
type Request struct {
	Method string
	Path   string // with the query
	Body   []byte
	// HeaderTimeout bounds the wait for the header of the response.
	HeaderTimeout time.Duration
}

// Do makes a call and returns the status and the body of the response.
func (c *Client) Do(ctx context.Context, r Request) (int, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headerTimer := time.AfterFunc(r.HeaderTimeout, cancel)
	defer headerTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", c.contentType)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	headerTimer.Stop()
	defer resp.Body.Close()
	if err := c.checkHeader(resp.Header); err != nil {
		return 0, nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	switch {
	case err != nil:
		return 0, nil, fmt.Errorf("read response: %w", err)
	case int64(len(b)) > c.maxBody:
		return 0, nil, fmt.Errorf("the response is longer than %d bytes", c.maxBody)
	}
	return resp.StatusCode, b, nil
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.client.CloseIdleConnections() }
