package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"lavenderrill.dev/lavenderrill/internal/peer/peerpb/peerpbconnect"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	dialTimeout = time.Second
	// maxIdleConnsPerPeer limits the idle connections to one node.
	maxIdleConnsPerPeer = 2
	// maxIdleConns limits the idle connections to all nodes.
	maxIdleConns = 32
	// maxConnsPerPeer limits the connections to one node.
	maxConnsPerPeer   = 4
	clientIdleTimeout = 30 * time.Second
	// maxResponseHeaderBytes limits the header of a response, which has a few short fields.
	maxResponseHeaderBytes = 64 << 10
	// maxViewBytes limits the response to a request that is not about a configuration. The
	// whole view of 2,500 members has about 200 KB. The buffer of the client doubles when less
	// than 512 bytes of it are free, so that 1 MiB would need one of 2 MiB.
	maxViewBytes = 1<<20 - 1<<10
)

// newClient returns the HTTP client for requests to other nodes.
func (p *Peer) newClient() *http.Client {
	read := counter(p.stats.bytesReceived, httpKind)
	sent := counter(p.stats.bytesSent, httpKind)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: signingTransport{
		signer: p.signer,
		next: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				cc := &countedConn{Conn: c}
				cc.startCounting(read, sent)
				return cc, nil
			},
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			MaxConnsPerHost:     maxConnsPerPeer,
			IdleConnTimeout:     clientIdleTimeout,
			DisableCompression:  true, // the connect client compresses messages
			// The default is 10 MB, for each connection.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}}
}

// clientFor returns the RPC client for the node at address a, which reads responses of
// at most maxViewBytes.
func (p *Peer) clientFor(a mesh.Addr) peerpbconnect.PeerServiceClient {
	return p.newRPCClient(a, maxViewBytes)
}

// configClientFor returns the RPC client for configurations of the node at address a.
func (p *Peer) configClientFor(a mesh.Addr) peerpbconnect.PeerServiceClient {
	return p.newRPCClient(a, maxBodyBytes)
}

func (p *Peer) newRPCClient(a mesh.Addr, maxResponseBytes int) peerpbconnect.PeerServiceClient {
	return peerpbconnect.NewPeerServiceClient(limitingClient{p.client, int64(maxResponseBytes)}, "http://"+string(a),
		connect.WithReadMaxBytes(maxResponseBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes))
}

// limitingClient is a connect.HTTPClient that ends a response of more than max bytes as soon as
// this is known. Connect reads such a response until its end or the deadline of the request.
type limitingClient struct {
	next *http.Client
	max  int64 // in bytes
}

// Do implements connect.HTTPClient.
func (c limitingClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.next.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.ContentLength > c.max {
		err := fmt.Errorf("response of %d bytes exceeds the limit of %d", resp.ContentLength, c.max)
		return nil, errors.Join(err, resp.Body.Close())
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, c.max)
	return resp, nil
}

// call sends one request to another node with the given timeout and counts it.
func call[Q, A any](ctx context.Context, p *Peer, kind string, timeout time.Duration,
	f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), q *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p.stats.sent.Add(kind, 1)
	a, err := f(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return a.Msg, nil
}
