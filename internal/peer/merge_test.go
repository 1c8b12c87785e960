package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// nodeRows holds the node rows of a test.
type nodeRows struct {
	mu    sync.Mutex
	addrs []mesh.Addr
}

func (r *nodeRows) put(a mesh.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs = append(r.addrs, a)
}

func (r *nodeRows) remove(a mesh.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs = slices.DeleteFunc(r.addrs, func(b mesh.Addr) bool { return a == b })
}

func (r *nodeRows) nodes(context.Context) ([]mesh.Addr, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]mesh.Addr(nil), r.addrs...), nil
}

// TestGroupsThatJoinedApartMerge guards against a mesh that stays split because
// its nodes started at the same time and read the node rows before all were
// written. In such a start three of twelve nodes never found the others.
func TestGroupsThatJoinedApartMerge(t *testing.T) {
	// Each group sees only its own rows until all rows are put.
	rows := []*nodeRows{new(nodeRows), new(nodeRows)}
	var ps []*testPeer
	for i := range 6 {
		hostedOption := func(c *Config, _ *lossyConn) {
			c.ExternalConfig, c.MergeInterval, c.MaxJoinDelay = true, time.Second, 100*time.Millisecond
			c.Platform = Source{Nodes: rows[i%2].nodes}
		}
		p := startPeer(t, i, nil, hostedOption)
		rows[i%2].put(p.cfg.Self.Addr)
		ps = append(ps, p)
	}
	allKnow := func(n int) func() bool {
		return func() bool {
			for _, p := range ps {
				if aliveCount(p) != n || !p.Joined() {
					return false
				}
			}
			return true
		}
	}
	eventually(t, 10*time.Second, allKnow(3), "two groups that do not know each other")
	time.Sleep(2 * joinBaseDelay) // until the last attempt to join has ended
	for _, p := range ps {
		rows[0].put(p.cfg.Self.Addr)
		rows[1].put(p.cfg.Self.Addr)
	}
	rowsComplete := time.Now()
	eventually(t, 10*time.Second, allKnow(6), "all know each other")
	require.Less(t, time.Since(rowsComplete), 5*time.Second)
}

// TestRestartWithoutPlatform guards against a node that restarts while the
// platform does not answer and finds no other node, although the others
// remember its address.
func TestRestartWithoutPlatform(t *testing.T) {
	for name, left := range map[string]bool{"killed": false, "left": true} {
		t.Run(name, func(t *testing.T) {
			rows := new(nodeRows)
			hostedOption := func(c *Config, _ *lossyConn) {
				c.ExternalConfig, c.MergeInterval, c.MaxJoinDelay, c.DeadProbeInterval = true, time.Second, 100*time.Millisecond, 500*time.Millisecond
				c.Platform = Source{Nodes: rows.nodes}
			}
			var ps []*testPeer
			for i := range 3 {
				p := startPeer(t, i, nil, hostedOption)
				rows.put(p.cfg.Self.Addr)
				ps = append(ps, p)
			}
			allKnow := func(ps ...*testPeer) func() bool {
				return func() bool {
					for _, p := range ps {
						if aliveCount(p) != 3 {
							return false
						}
					}
					return true
				}
			}
			eventually(t, 10*time.Second, allKnow(ps...), "all know each other")
			if left {
				require.NoError(t, ps[2].Leave(t.Context()))
			}
			rows.remove(ps[2].cfg.Self.Addr) // only the others remember the address
			require.NoError(t, ps[2].stop())
			again := startPeer(t, 2, nil, func(c *Config, _ *lossyConn) {
				require.NoError(t, c.Listener.Close())
				require.NoError(t, c.Packet.Close())
				l, err := net.Listen("tcp", string(ps[2].cfg.Self.Addr))
				require.NoError(t, err)
				u, err := net.ListenPacket("udp", string(ps[2].cfg.Self.Addr))
				require.NoError(t, err)
				c.Listener, c.Packet, c.Self.Addr = l, u, ps[2].cfg.Self.Addr
				c.ExternalConfig, c.MaxJoinDelay = true, 100*time.Millisecond
				c.Platform = Source{} // does not answer
			})
			eventually(t, 10*time.Second, allKnow(ps[0], ps[1], again), "the restarted node rejoins")
		})
	}
}
