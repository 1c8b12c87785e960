package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// State is the state that a backend server announces.
type State string

// Announced states.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Service     mesh.Service `json:"service"`
	Addr        mesh.Addr    `json:"addr"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
	State       State        `json:"state"`
	Health      string       `json:"health"` // path of the health endpoint
	Load        string       `json:"load"`   // path of the load endpoint
}

const (
	announcePath = "/v1/announce"
	healthPath   = "/health"
	loadPath     = "/load"
	// announceInterval is the time between announcements. The lease that the
	// node grants is 3 s.
	announceInterval = time.Second
	// announceTimeout allows two attempts within the lease.
	announceTimeout = time.Second
)

// announceLoop announces the server every announceInterval and at each change
// of its state until ctx ends.
func (s *Server) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		if err := s.announce(ctx); err != nil && ctx.Err() == nil {
			s.cfg.Log.Warn("announcement failed", zap.String("node", s.cfg.NodeAddr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.stateChanged:
		case <-t.C:
		}
	}
}

// announce sends the current state once. It does nothing if no node is
// configured or the behavior is silent.
func (s *Server) announce(ctx context.Context) error {
	if s.cfg.NodeAddr == "" || s.behavior().Silent {
		return nil
	}
	b, err := json.Marshal(Announcement{
		Service:     s.cfg.Service,
		Addr:        mesh.Addr(s.Addr()),
		Slots:       s.cfg.Slots,
		Connections: s.cfg.Connections,
		State:       s.State(),
		Health:      healthPath,
		Load:        loadPath,
	})
	if err != nil {
		return err
	}
	return s.sendToNode(ctx, http.MethodPost, b)
}

// withdraw removes the announcement from the node.
func (s *Server) withdraw(ctx context.Context) error {
	if s.cfg.NodeAddr == "" {
		return nil
	}
	return s.sendToNode(ctx, http.MethodDelete, nil)
}

func (s *Server) sendToNode(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.cfg.NodeAddr+announcePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.announceClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, announcePath, resp.StatusCode, text)
	}
	return nil
}
