// Package raw is a stand-in of an HTTP/1.1 server that writes any bytes, also ones that
// are no answer, for tests of what a faulty peer may send.
package raw

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Server is a server on a loopback address. It closes each connection when the function
// that serves it returns.
type Server struct {
	listener net.Listener
	ended    chan error
}

// New starts a server whose connections are handled by serve, each in a goroutine of
// its own.
func New(serve func(c net.Conn, r *bufio.Reader)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, ended: make(chan error, 1)}
	go func() { s.ended <- s.accept(serve) }()
	return s, nil
}

func (s *Server) accept(serve func(c net.Conn, r *bufio.Reader)) error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		go func() {
			defer c.Close()
			serve(c, bufio.NewReader(c))
		}()
	}
}

// Addr returns the address of s.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting connections. Those that are open are left to their function.
func (s *Server) Close() error {
	err := s.listener.Close()
	return errors.Join(err, <-s.ended)
}

// ReadRequest reads a request with its body from r.
func ReadRequest(r *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}
