package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// lossyConn drops a share of the datagrams sent, and all datagrams while
// partitioned. A peer that is partitioned and frozen still accepts connections
// but does not answer, like a process stopped by a signal.
type lossyConn struct {
	net.PacketConn
	loss        float64
	partitioned atomic.Bool
	frozen      atomic.Bool
}

func (l *lossyConn) WriteTo(b []byte, a net.Addr) (int, error) {
	if l.partitioned.Load() || rand.Float64() < l.loss {
		return len(b), nil
	}
	return l.PacketConn.WriteTo(b, a)
}

func (l *lossyConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, a, err := l.PacketConn.ReadFrom(b)
		if err != nil || !l.partitioned.Load() {
			return n, a, err
		}
	}
}

// partitionListener accepts connections that fail while partitioned.
type partitionListener struct {
	net.Listener
	udp *lossyConn
}

func (l partitionListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return partitionConn{c, l.udp}, err
}

type partitionConn struct {
	net.Conn
	udp *lossyConn
}

func (c partitionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.udp.frozen.Load() {
		n, err = c.Conn.Read(b)
	}
	if c.udp.partitioned.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// partitionTransport fails requests while partitioned.
type partitionTransport struct {
	http.RoundTripper
	partitioned *atomic.Bool
}

func (t partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.partitioned.Load() {
		return nil, net.ErrClosed
	}
	return t.RoundTripper.RoundTrip(r)
}

// memoryPlatform is an in-memory platform.
type memoryPlatform struct {
	mu       sync.Mutex
	down     bool
	version  mesh.Version
	manifest config.Manifest
	parts    map[mesh.Digest]config.Part
}

var errPlatformDown = errors.New("platform is down")

// commit makes version v the head.
func (s *memoryPlatform) commit(v mesh.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, parts := testManifest(v, 3)
	s.version, s.manifest, s.parts = v, m, make(map[mesh.Digest]config.Part)
	for _, p := range parts {
		s.parts[p.Digest()] = p
	}
}

func (s *memoryPlatform) Head(context.Context) (mesh.Version, mesh.Digest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, mesh.Digest{}, errPlatformDown
	}
	return s.version, s.manifest.Digest(), nil
}

func (s *memoryPlatform) Manifest(_ context.Context, d mesh.Digest) (config.Manifest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || d != s.manifest.Digest() {
		return config.Manifest{}, errPlatformDown
	}
	return s.manifest, nil
}

func (s *memoryPlatform) Part(_ context.Context, d mesh.Digest) (config.Part, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.parts[d]
	if s.down || !ok {
		return nil, errPlatformDown
	}
	return p, nil
}

func (s *memoryPlatform) source() Source {
	return Source{Head: s.Head, Manifest: s.Manifest, Part: s.Part}
}

func withPlatform(s *memoryPlatform) option {
	return func(c *Config, _ *lossyConn) { c.Platform = s.source() }
}

// testPeer is a running Peer.
type testPeer struct {
	*Peer
	udp    *lossyConn
	cancel context.CancelFunc
	done   chan error
}

func (p *testPeer) stop() error {
	p.cancel()
	return <-p.done
}

// listen returns sockets for TCP and UDP on one port. The kernel picks a free
// TCP port, which may be in use for UDP; then listen tries another one.
func listen(t testing.TB) (net.Listener, net.PacketConn) {
	t.Helper()
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err == nil {
			return l, u
		}
		require.NoError(t, l.Close())
	}
	t.Fatal("no port is free for both TCP and UDP")
	return nil, nil
}

var testKey = []byte("0123456789abcdef")

type option func(*Config, *lossyConn)

// startPeer runs a Peer that joins the given ones. It is stopped at the end of
// the test.
func startPeer(t testing.TB, id int, join []*testPeer, opts ...option) *testPeer {
	t.Helper()
	l, u := listen(t)
	udp := &lossyConn{PacketConn: u}
	c := Config{
		Self: member.Member{
			ID: mesh.NodeID(fmt.Sprintf("node-%03d", id)), Zone: mesh.AvailabilityZone(fmt.Sprintf("zone-%d", id%3)),
			Addr: mesh.Addr(l.Addr().String()), Service: "katalog", Slots: 20, Endpoint: member.Ready,
		},
		Key:      testKey,
		Listener: partitionListener{l, udp},
		Packet:   udp,
		Platform: new(memoryPlatform).source(),
	}
	for _, j := range join {
		c.Join = append(c.Join, j.cfg.Self.Addr)
	}
	for _, o := range opts {
		o(&c, udp)
	}
	p, err := New(c)
	require.NoError(t, err)
	p.client.Transport = partitionTransport{p.client.Transport, &udp.partitioned}
	ctx, cancel := context.WithCancel(context.Background())
	tp := &testPeer{Peer: p, udp: udp, cancel: cancel, done: make(chan error, 1)}
	go func() { tp.done <- p.Run(ctx); close(tp.done) }()
	t.Cleanup(func() { _ = tp.stop() })
	return tp
}

func withLoss(share float64) option { return func(_ *Config, l *lossyConn) { l.loss = share } }

// startPeers starts n peers and waits until all know each other.
func startPeers(t testing.TB, n int, opts ...option) []*testPeer {
	t.Helper()
	ps := make([]*testPeer, n)
	for i := range ps {
		ps[i] = startPeer(t, i, ps[:min(i, 1)], opts...)
	}
	eventually(t, 30*time.Second, func() bool {
		for _, p := range ps {
			if aliveCount(p) != n {
				return false
			}
		}
		return true
	}, "all peers know each other")
	return ps
}

func aliveCount(p *testPeer) int {
	n := 0
	for _, m := range p.Members() {
		if m.Status == member.Alive {
			n++
		}
	}
	return n
}

func eventually(t testing.TB, limit time.Duration, f func() bool, what string) {
	t.Helper()
	require.Eventually(t, f, limit, 5*time.Millisecond, what)
}

// documents holds the fleet and template documents of tests.
const documents = `fleet: test
ranks: [{name: urgent, target: 1s, worth: 1, floor: 0.1}]
services: [{name: katalog, slots: 20, connections: 110}]
---
template: t
parameters: [{name: host, kind: string, required: true}, {name: rate, kind: int, min: 1, max: 1000000, default: 5}]
routes:
- {name: r, host: '${host}', path: /p, methods: [GET], service: katalog, rank: urgent, idempotent: true, deadline: 1s, rate: '${rate}'}
`

// testManifest returns the manifest of version v with n accounts, and its
// parts. Each version changes the account a0.
func testManifest(v mesh.Version, n int) (config.Manifest, []config.Part) {
	text := documents
	for i := range n {
		rate := 1
		if i == 0 {
			rate = int(v)
		}
		text += fmt.Sprintf("---\naccount: a%d\ntemplate: t\nparameters: {host: a%d.example, rate: %d}\n", i, i, rate)
	}
	docs, err := config.ParseDocuments("test.yaml", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	var m config.Manifest
	var parts []config.Part
	for _, d := range docs {
		r := mesh.Revision(1)
		if d.Key == config.AccountKey("a0") {
			r = mesh.Revision(v)
		}
		m = m.With(config.Entry{Key: d.Key, Revision: r, Part: d.Part.Digest()})
		parts = append(parts, d.Part)
	}
	return m, parts
}

func publish(t testing.TB, p *testPeer, v mesh.Version) {
	t.Helper()
	m, parts := testManifest(v, 3)
	require.NoError(t, p.Publish(context.Background(), v, m, parts))
}

func allAtVersion(ps []*testPeer, v mesh.Version) func() bool {
	return func() bool {
		for _, p := range ps {
			if p.Version() != v {
				return false
			}
		}
		return true
	}
}

// TestConverge guards against an edit that does not reach every node when
// datagrams are lost.
func TestConverge(t *testing.T) {
	ps := startPeers(t, 10, withLoss(0.05))
	for v := mesh.Version(1); v <= 3; v++ {
		publish(t, ps[int(v)], v)
		eventually(t, 5*time.Second, allAtVersion(ps, v), "all peers apply the edit")
	}
	s, err := ps[0].Survey(context.Background(), 3)
	require.NoError(t, err)
	require.True(t, s.Complete(), "%+v", s)
	require.Len(t, s.Zones, 3)
	for _, p := range ps {
		eventually(t, 5*time.Second, p.Ready, "ready")
	}
}

// TestPartitionHeals guards against a node that keeps an old version, or stays
// missing from the member lists, after a partition.
func TestPartitionHeals(t *testing.T) {
	ps := startPeers(t, 5)
	publish(t, ps[0], 1)
	eventually(t, 5*time.Second, allAtVersion(ps, 1), "all peers apply the first edit")
	partitioned := ps[4]
	partitioned.udp.partitioned.Store(true)
	eventually(t, 15*time.Second, func() bool { return aliveCount(ps[0]) == 4 }, "the partitioned peer is declared dead")
	const last = 70 // more versions than deltas are kept
	for v := mesh.Version(2); v <= last; v++ {
		publish(t, ps[0], v)
	}
	eventually(t, 5*time.Second, allAtVersion(ps[:4], last), "the others apply the edits")
	require.EqualValues(t, 1, partitioned.Version())
	partitioned.udp.partitioned.Store(false)
	eventually(t, 30*time.Second, allAtVersion(ps, last), "the partitioned peer catches up")
	eventually(t, 30*time.Second, func() bool { return aliveCount(ps[0]) == 5 && aliveCount(partitioned) == 5 }, "views merge")
}

// TestLeave guards against a node that left and is listed as alive again.
func TestLeave(t *testing.T) {
	ps := startPeers(t, 5, withLoss(0.05))
	gone := ps[4]
	require.NoError(t, gone.Leave(context.Background()))
	require.NoError(t, gone.stop())
	eventually(t, 5*time.Second, func() bool {
		for _, p := range ps[:4] {
			if m := findMember(p, gone.cfg.Self.ID); m.Status != member.Left || m.Endpoint != member.Draining {
				return false
			}
		}
		return true
	}, "all peers know that the node left")
	require.Never(t, func() bool { return findMember(ps[0], gone.cfg.Self.ID).Status != member.Left }, 3*time.Second, 20*time.Millisecond)
}

func findMember(p *testPeer, id mesh.NodeID) member.Member {
	for _, m := range p.Members() {
		if m.ID == id {
			return m
		}
	}
	return member.Member{}
}

// TestWrongKey guards against a node that is admitted without the shared key.
func TestWrongKey(t *testing.T) {
	a := startPeer(t, 0, nil)
	eventually(t, 5*time.Second, a.Ready, "the first node is ready")
	b := startPeer(t, 1, []*testPeer{a}, func(c *Config, _ *lossyConn) { c.Key = []byte("another key of 16") })
	require.Never(t, func() bool { return aliveCount(a) > 1 || aliveCount(b) > 1 }, 2*time.Second, 20*time.Millisecond)
	require.NotNil(t, a.stats.refused.Get("unauthorized"))
}

// TestGate guards against requests that reach the gate without the token of
// the mesh.
func TestGate(t *testing.T) {
	p := startPeer(t, 0, nil, func(c *Config, _ *lossyConn) {
		c.Gate = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	})
	for token, want := range map[string]int{HopToken(testKey): http.StatusTeapot, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized} {
		r, err := http.NewRequest(http.MethodPost, "http://"+string(p.cfg.Self.Addr)+"/x", http.NoBody)
		require.NoError(t, err)
		if token != "" {
			r.Header.Set(mesh.HopHeader, token)
		}
		a, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		require.Equal(t, want, a.StatusCode, "token %q", token)
	}
}

// TestCorruptDelta guards against a delta that is applied in part: a damaged
// delta must be rejected and leave the current version unchanged, until an
// intact one arrives.
func TestCorruptDelta(t *testing.T) {
	p := startPeer(t, 0, nil)
	publish(t, p, 1)
	before := p.Snapshot()
	base, _ := testManifest(1, 3)
	m, parts := testManifest(2, 3)
	changed, _ := config.Diff(base, m)
	part := parts[2] // account a0
	good := config.Delta{Base: 1, Target: 2, Digest: m.Digest(), Changed: changed, Parts: []config.Part{part}}
	for name, damage := range map[string]func(*config.Delta){
		"part cut":      func(d *config.Delta) { d.Parts = []config.Part{part[:5]} },
		"part absent":   func(d *config.Delta) { d.Parts = nil },
		"entry absent":  func(d *config.Delta) { d.Changed = nil },
		"other digest":  func(d *config.Delta) { d.Digest[0]++ },
		"extra removal": func(d *config.Delta) { d.Removed = []config.DocumentKey{config.FleetKey} },
	} {
		d := good
		damage(&d)
		p.handlePush(pushedDelta{delta: d})
		require.Same(t, before, p.Snapshot(), name)
	}
	p.handlePush(pushedDelta{delta: good})
	require.EqualValues(t, 2, p.Version())
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	require.Equal(t, version.Ignore, p.state.Decide(2, 1, true))
}

// TestReaders guards against an edit that no node learns of because its node
// stopped between the commit and the push: readers must find it on the
// platform.
func TestReaders(t *testing.T) {
	s := new(memoryPlatform)
	ps := startPeers(t, 8, withPlatform(s))
	publish(t, ps[0], 1)
	s.commit(2)
	eventually(t, 10*time.Second, allAtVersion(ps, 2), "all peers apply the edit")
	for _, p := range ps {
		require.Nil(t, p.stats.metrics.CounterGroup("invariant_broken").Get("version_order"))
	}
}

// TestEmptyNode guards against a node that, while the platform is down, serves
// before it holds the newest version known to its peers, or never becomes
// ready.
func TestEmptyNode(t *testing.T) {
	s := new(memoryPlatform)
	s.commit(1)
	ps := startPeers(t, 3, withPlatform(s))
	eventually(t, 5*time.Second, allAtVersion(ps, 1), "all peers apply the head")
	eventually(t, 5*time.Second, ps[0].Ready, "ready")
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	alone := startPeer(t, 3, nil, withPlatform(s))
	p := startPeer(t, 4, ps[:1], withPlatform(s))
	eventually(t, 5*time.Second, func() bool {
		if p.Ready() {
			require.EqualValues(t, 1, p.Version())
		}
		return p.Ready()
	}, "a node with peers is ready")
	require.False(t, alone.Ready())
	eventually(t, 2*time.Second, func() bool { return aliveCount(ps[2]) == 4 }, "the node is known")
}

// TestStoppedChildren guards against members below a stopped node in the push
// tree that learn of an edit only from a probe.
func TestStoppedChildren(t *testing.T) {
	ps := startPeers(t, 30)
	publish(t, ps[0], 1)
	eventually(t, 5*time.Second, allAtVersion(ps, 1), "all peers apply the first edit")
	for _, p := range ps[20:] {
		require.NoError(t, p.stop())
	}
	for v := mesh.Version(2); v < 6; v++ {
		publish(t, ps[v], v)
		eventually(t, 5*time.Second, allAtVersion(ps[:20], v), "the others apply the edit")
	}
}
