package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// wantConfig is the value of mesh.WantHeader that asks for the configuration.
	wantConfig = "config"
	// wantNext is the value that asks for the next version: the query says after
	// which one, and for how many milliseconds to wait.
	wantNext = "next"
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
	gate := n.gate.HopHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get(mesh.WantHeader) {
		case wantConfig:
			n.giveConfig(w)
		case wantNext:
			n.giveNext(w, r)
		default:
			gate.ServeHTTP(w, r)
		}
	})
}

// giveConfig answers with the configuration held here.
func (n *Node) giveConfig(w http.ResponseWriter) {
	h := n.held.Load()
	if h == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := h.packed()
	if err != nil {
		n.log.Error("configuration cannot be compressed for other nodes", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // a node that is gone asks another one
}

// giveNext answers once there is a version above the one that the other node holds,
// or without one after the time that it waits.
func (n *Node) giveNext(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, e := strconv.ParseInt(q.Get("wait"), 10, 32)
	if err = errors.Join(err, e); err != nil || ms < 0 {
		http.Error(w, "after and wait are numbers", http.StatusBadRequest)
		return
	}
	d := time.Duration(ms) * time.Millisecond
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d + readTimeout))
	err = n.source.await(r.Context(), mesh.Version(after), d)
	h := n.held.Load()
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case h == nil || uint64(h.version) <= after:
		w.WriteHeader(http.StatusNoContent)
	default:
		n.giveConfig(w)
	}
}

// held is the configuration in the form in which other nodes get it.
type held struct {
	version mesh.Version
	packed  func() ([]byte, error) // compressed once
}

func newHeld(c *platform.Config) *held {
	return &held{version: c.Snapshot.Version, packed: sync.OnceValues(func() ([]byte, error) {
		var b bytes.Buffer
		z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, err
		}
		_, err = z.Write(c.Raw)
		err = errors.Join(err, z.Close()) // writes the end
		return b.Bytes(), err
	})}
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

// fromPeer asks one node for the configuration that it holds.
func (n *Node) fromPeer(ctx context.Context, a mesh.Addr) (*platform.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	c, err := n.askPeer(ctx, a, wantConfig, nil, shareTimeout)
	if err == nil && c == nil {
		err = errNoShare
	}
	return c, err
}

// askPeer makes a request for a configuration and waits for the begin of the answer
// for the given time. The configuration is nil if the other node has none to give.
func (n *Node) askPeer(ctx context.Context, a mesh.Addr, want string, q url.Values, patience time.Duration) (*platform.Config, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := time.AfterFunc(patience, cancel)
	defer header.Stop()
	resp, _, err := n.peers.RoundTrip(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: string(a), Path: "/", RawQuery: q.Encode()},
		Header: http.Header{
			mesh.HopHeader:  {peer.HopToken(meshKey(n.set.Load()))},
			mesh.WantHeader: {want},
		},
	})
	if err != nil {
		return nil, err
	}
	header.Stop()
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return nil, nil
	default:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	z, err := gzip.NewReader(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("configuration of another node: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(z, maxConfig))
	if err != nil {
		return nil, fmt.Errorf("configuration of another node: %w", err)
	}
	return platform.DecodeConfig(b)
}
