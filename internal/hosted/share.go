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
	// wantConfig is the value of mesh.WantHeader that requests the configuration.
	wantConfig = "config"
	// wantNext is the value that requests the next version. The query holds the version
	// that the requester has, and for how many milliseconds to wait.
	wantNext = "next"
	// configRequestTimeout bounds the request for a configuration to one node.
	configRequestTimeout = 500 * time.Millisecond
	// maxConfigPeers is the number of nodes that are asked in one attempt.
	maxConfigPeers = 2
	// maxConfigBytes bounds the decompressed configuration; a row of the store holds at
	// most 64 KiB.
	maxConfigBytes = 1 << 20
)

var errNoPeerConfig = errors.New("no other node provided a configuration")

// peerHandler serves requests of other nodes: requests for the configuration itself,
// and all others through the gate.
func (n *Node) peerHandler() http.Handler {
	gate := n.placingHandler(n.gate.HopHandler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get(mesh.WantHeader) {
		case wantConfig:
			n.serveConfig(w)
		case wantNext:
			n.serveNextConfig(w, r)
		case wantShares:
			n.quotas.serve(w, r)
		case wantReports:
			n.serveReports(w, r)
		default:
			if !n.rollouts.serve(w, r) {
				gate.ServeHTTP(w, r)
			}
		}
	})
}

// serveConfig responds with the current configuration.
func (n *Node) serveConfig(w http.ResponseWriter) {
	enc := n.encoded.Load()
	if enc == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := enc.compressed()
	if err != nil {
		n.log.Error("failed to compress the configuration for other nodes", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // after an error the requester asks another node
}

// serveNextConfig responds once there is a version above the one that the requester
// holds, or without a configuration after the requested wait.
func (n *Node) serveNextConfig(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, e := strconv.ParseInt(q.Get("wait"), 10, 32)
	if err = errors.Join(err, e); err != nil || ms < 0 {
		http.Error(w, "after and wait are numbers", http.StatusBadRequest)
		return
	}
	maxWait := time.Duration(ms) * time.Millisecond
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(maxWait + readTimeout))
	err = n.source.awaitVersion(r.Context(), mesh.Version(after), maxWait)
	n.setEra(w.Header())
	enc := n.encoded.Load()
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case enc == nil || uint64(enc.version) <= after:
		w.WriteHeader(http.StatusNoContent)
	default:
		n.serveConfig(w)
	}
}

// encodedConfig is a configuration in the form in which it is sent to other nodes.
type encodedConfig struct {
	version    mesh.Version
	compressed func() ([]byte, error) // compresses on the first call
}

func newEncodedConfig(c *platform.Config) *encodedConfig {
	return &encodedConfig{version: c.Snapshot.Version, compressed: sync.OnceValues(func() ([]byte, error) {
		var b bytes.Buffer
		z, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		if err != nil {
			return nil, err
		}
		_, err = z.Write(c.Raw)
		err = errors.Join(err, z.Close()) // writes the gzip trailer
		return b.Bytes(), err
	})}
}

// fetchFromPeers requests the configurations of a few other nodes and returns the
// newest one.
func (n *Node) fetchFromPeers(ctx context.Context) (*platform.Config, error) {
	ms := n.peer.Members()
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	var newest *platform.Config
	err := errNoPeerConfig
	tries := 0
	for i := range ms {
		if ms[i].Status != member.Alive || ms[i].ID == n.nodeSettings.Load().ID {
			continue
		}
		c, e := n.fetchFromPeer(ctx, ms[i].Addr)
		if e != nil {
			err = fmt.Errorf("%w: %s: %w", errNoPeerConfig, ms[i].ID, e)
		} else if newest == nil || c.Snapshot.Version > newest.Snapshot.Version {
			newest = c
		}
		if tries++; tries == maxConfigPeers {
			break
		}
	}
	if newest != nil {
		return newest, nil
	}
	return nil, err
}

// fetchFromPeer requests the configuration of one node.
func (n *Node) fetchFromPeer(ctx context.Context, addr mesh.Addr) (*platform.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, configRequestTimeout)
	defer cancel()
	c, err := n.requestConfig(ctx, addr, wantConfig, nil, configRequestTimeout)
	if err == nil && c == nil {
		err = errNoPeerConfig
	}
	return c, err
}

// requestConfig makes a request for a configuration and waits for the header of the
// response until the timeout, and for its body for readTimeout. The configuration is nil if
// the other node has none to send.
func (n *Node) requestConfig(ctx context.Context, addr mesh.Addr, want string, q url.Values, timeout time.Duration) (*platform.Config, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	resp, _, err := n.configTransport.RoundTrip(ctx, &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: string(addr), Path: "/", RawQuery: q.Encode()},
		Header: http.Header{
			mesh.HopHeader:  {peer.HopToken(meshKey(n.nodeSettings.Load()))},
			mesh.WantHeader: {want},
		},
	})
	if err != nil {
		return nil, err
	}
	timer.Reset(readTimeout)
	defer resp.Body.Close()
	n.observeEra(resp.Header)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return nil, nil
	default:
		return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
	}
	z, err := gzip.NewReader(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("decompress configuration of another node: %w", err)
	}
	b, err := io.ReadAll(io.LimitReader(z, maxConfigBytes))
	if err != nil {
		return nil, fmt.Errorf("read configuration of another node: %w", err)
	}
	return platform.DecodeConfig(b)
}
