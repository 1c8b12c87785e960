package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// wantConfig is the value of mesh.WantHeader that asks for the configuration.
	wantConfig = "config"
	// shareTimeout bounds the request for a configuration to one node.
	shareTimeout = 500 * time.Millisecond
	// shareTries is the number of nodes that are asked at a time.
	shareTries = 2
	// maxConfig bounds the encoded configuration in bytes; a row of the store holds
	// at most 64 KiB.
	maxConfig = 1 << 20
)

var errNoShare = errors.New("no other node gave a configuration")

// peerHandler serves requests of other nodes: for the configuration held here, and
// all others for the gate.
func (n *Node) peerHandler() http.Handler {
	gate := n.gate.Hop()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(mesh.WantHeader) != wantConfig {
			gate.ServeHTTP(w, r)
			return
		}
		c := n.config.Load()
		if c == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(c.Raw) // a node that is gone asks another one
	})
}

// fromPeers asks a few other nodes for the configuration that they hold.
func (n *Node) fromPeers(ctx context.Context) (*platform.Config, error) {
	ms := n.peer.Members()
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	var newest *platform.Config
	err := errNoShare
	tries := 0
	for i := range ms {
		if ms[i].Status != member.Alive || ms[i].ID == n.set.Load().ID {
			continue
		}
		c, e := n.fromPeer(ctx, ms[i].Addr)
		if e != nil {
			err = fmt.Errorf("%w: %s: %w", errNoShare, ms[i].ID, e)
		} else if newest == nil || c.Snapshot.Version > newest.Snapshot.Version {
			newest = c
		}
		if tries++; tries == shareTries {
			break
		}
	}
	if newest != nil {
		return newest, nil
	}
	return nil, err
}

func (n *Node) fromPeer(ctx context.Context, a mesh.Addr) (*platform.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	t := hop.New(hop.Config{Connections: 1, DialTimeout: hopDialTimeout})
	defer t.CloseIdle()
	resp, _, err := t.RoundTrip(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: string(a), Path: "/"},
		Header: http.Header{
			mesh.HopHeader:  {peer.HopToken(meshKey(n.set.Load()))},
			mesh.WantHeader: {wantConfig},
		},
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return platform.DecodeConfig(b)
}
