package peer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb/peerpbconnect"
)

const (
	readHeaderTimeout = 5 * time.Second
	serverIdleTimeout = 90 * time.Second
	// maxHeaderBytes limits the header of a forwarded request, which is that of the caller
	// with the fields of the mesh.
	maxHeaderBytes = http.DefaultMaxHeaderBytes + 64<<10
	// rpcTimeout limits one request between nodes on the receiving side.
	rpcTimeout = 15 * time.Second
	// maxConcurrentRPCs limits the requests between nodes that are served at a
	// time.
	maxConcurrentRPCs = 64
	// defaultShutdownTimeout limits the wait for requests in flight at the end
	// of Run. The owner drains the gate first.
	defaultShutdownTimeout = 5 * time.Second
	// minCompressBytes is the size from which messages are compressed.
	minCompressBytes = 1024
)

// newServer returns the server of the peer listener.
func (p *Peer) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(rpcService{p},
		connect.WithReadMaxBytes(maxBodyBytes), connect.WithCompressMinBytes(minCompressBytes)))
	return &http.Server{
		Handler:           p.limitKeepAlive(p.dispatch(p.limitRequests(p.authenticate(mux)))),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    cmp.Or(p.cfg.MaxHeader, maxHeaderBytes),
		ConnState:         p.connState,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return hop.ConnContext(withConn(ctx, nc), nc)
		},
		ErrorLog: zap.NewStdLog(p.log),
	}
}

func (p *Peer) connState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*countedConn); ok && p.cfg.ConnState != nil {
		p.cfg.ConnState(c.Conn, s)
	}
}

// limitKeepAlive ends the connection of a response unless it may be used again.
func (p *Peer) limitKeepAlive(next http.Handler) http.Handler {
	if p.cfg.KeepAlive == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.cfg.KeepAlive() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// limitRequests limits the number and the duration of requests between nodes,
// and counts the bytes of their connections.
func (p *Peer) limitRequests(next http.Handler) http.Handler {
	read := counter(p.stats.bytesReceived, httpKind)
	sent := counter(p.stats.bytesSent, httpKind)
	slots := make(chan struct{}, maxConcurrentRPCs)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := connFromContext(r.Context()); ok {
			c.startCounting(read, sent)
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			p.refuse(w, fault.New(fault.Overloaded, "too many requests between nodes"))
			return
		}
		rc := http.NewResponseController(w)
		deadline := time.Now().Add(rpcTimeout)
		if err := errors.Join(rc.SetReadDeadline(deadline), rc.SetWriteDeadline(deadline)); err != nil {
			p.refuse(w, fault.Newf(fault.Internal, "set deadline: %w", err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Peer) serve(srv *http.Server) error {
	return srv.Serve(countedListener{p.cfg.Listener})
}

// closeSockets waits until ctx is done and closes the sockets.
func (p *Peer) closeSockets(ctx context.Context, srv *http.Server) error {
	<-ctx.Done()
	err := p.cfg.Packet.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.cfg.ShutdownTimeout)
	defer cancel()
	shutdownErr := srv.Shutdown(shutdownCtx)
	if errors.Is(shutdownErr, context.DeadlineExceeded) {
		p.log.Info("shutdown timed out; connections of other nodes are closed", zap.Error(shutdownErr))
		shutdownErr = nil
	}
	err = errors.Join(err, shutdownErr, srv.Close())
	return err
}
