// Package task runs the long-running components of a program and its HTTP servers.
package task

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Component is a long-running part of a program. Run returns when its context is
// done.
type Component struct {
	Name string
	Run  func(context.Context) error
}

// result is the return value of a component.
type result struct {
	name string
	err  error
}

var errUnexpectedReturn = errors.New("unexpected return without an error")

// Run runs the components until ctx is done or one of them ends. If ctx is done, it
// calls stop while they still run. It then cancels all components and returns their
// errors and that of stop.
func Run(ctx context.Context, components []Component, stop func() error) error {
	componentCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	results := make(chan result)
	for _, c := range components {
		go func() { results <- result{c.Name, c.Run(componentCtx)} }()
	}
	running := len(components)
	var errs []error
	select {
	case <-ctx.Done():
		errs = append(errs, stop())
	case r := <-results:
		running--
		if r.err == nil {
			r.err = errUnexpectedReturn
		}
		errs = append(errs, fmt.Errorf("%s ended: %w", r.name, r.err))
	}
	cancel()
	for range running {
		if r := <-results; r.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", r.name, r.err))
		}
	}
	return errors.Join(errs...)
}

// Serve serves l until ctx is done, waits up to shutdownTimeout for requests in
// flight, and closes the server.
func Serve(ctx context.Context, s *http.Server, l net.Listener, shutdownTimeout time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- IgnoreServerClosed(s.Serve(l)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	err := s.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.Close() // interrupts the remaining requests and closes unused connections
	}
	return errors.Join(err, <-done)
}

// IgnoreServerClosed returns nil if err reports a server that was shut down, and err
// otherwise.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
