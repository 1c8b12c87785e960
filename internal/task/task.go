// Package task runs the long-running parts of a program and its HTTP servers.
package task

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Component is one long-running part of a program. Run ends when its context does.
type Component struct {
	Name string
	Run  func(context.Context) error
}

// end is how a part ended.
type end struct {
	name string
	err  error
}

var errUnexpected = errors.New("ended without an error")

// Run runs the parts until ctx is done or one of them ends. In the first case it
// calls stop while they still run. It then ends all parts and returns their errors
// and that of stop.
func Run(ctx context.Context, parts []Component, stop func() error) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ends := make(chan end)
	for _, p := range parts {
		go func() { ends <- end{p.Name, p.Run(inner)} }()
	}
	running := len(parts)
	var errs []error
	select {
	case <-ctx.Done():
		errs = append(errs, stop())
	case e := <-ends:
		running--
		if e.err == nil {
			e.err = errUnexpected
		}
		errs = append(errs, fmt.Errorf("%s ended: %w", e.name, e.err))
	}
	cancel()
	for range running {
		if e := <-ends; e.err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", e.name, e.err))
		}
	}
	return errors.Join(errs...)
}

// Serve serves l until ctx is done, lets calls in flight finish for the given time,
// and closes the server.
func Serve(ctx context.Context, s *http.Server, l net.Listener, finish time.Duration) error {
	done := make(chan error, 1)
	go func() { done <- IgnoreServerClosed(s.Serve(l)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), finish)
	defer cancel()
	err := s.Shutdown(shutdown)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.Close() // what is left is a call that outlasts the time or carries none
	}
	return errors.Join(err, <-done)
}

// IgnoreServerClosed returns nil for the error of a server that was told to stop.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
