// Package platform serves the table stand-in, the object stand-in and the
// control of their faults on three listeners.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/object"
	"lavenderrill.dev/lavenderrill/internal/standin/table"
)

// Config configures a Server. An empty address means 127.0.0.1:0.
type Config struct {
	Table, Object, Control string // listen addresses
	Seed                   uint64 // seed of the random choices of faults
}

// Server serves the stand-ins of the platform.
type Server struct {
	Table  *table.Server
	Object *object.Server

	listeners [3]net.Listener // table, object, control
}

const defaultListen = "127.0.0.1:0"

// New opens the listeners of a server. Run must be called to serve them and to
// close them.
func New(cfg Config) (*Server, error) {
	s := &Server{
		Table:  table.New(table.Config{Seed: cfg.Seed}),
		Object: object.New(object.Config{Seed: cfg.Seed}),
	}
	for i, addr := range []string{cfg.Table, cfg.Object, cfg.Control} {
		if addr == "" {
			addr = defaultListen
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			for _, open := range s.listeners[:i] {
				_ = open.Close()
			}
			return nil, fmt.Errorf("platform stand-in: %w", err)
		}
		s.listeners[i] = l
	}
	return s, nil
}

// TableAddr returns the address of the table service.
func (s *Server) TableAddr() string { return s.listeners[0].Addr().String() }

// ObjectAddr returns the address of the object store.
func (s *Server) ObjectAddr() string { return s.listeners[1].Addr().String() }

// ControlAddr returns the address of the control listener, which serves the path
// /control.
func (s *Server) ControlAddr() string { return s.listeners[2].Addr().String() }

// Run serves until ctx ends and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	control := http.NewServeMux()
	control.Handle("/control", inject.Control(map[string]*inject.Injector{"table": s.Table.Injector, "object": s.Object.Injector}))
	var g errgroup.Group
	var servers []*http.Server
	for i, h := range []http.Handler{s.Table, s.Object, control} {
		srv := &http.Server{Handler: h}
		servers = append(servers, srv)
		g.Go(func() error {
			if err := srv.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	<-ctx.Done()
	for _, srv := range servers {
		_ = srv.Close()
	}
	return g.Wait()
}
