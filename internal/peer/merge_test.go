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

// rowTable holds the node rows of a test.
type rowTable struct {
	mu    sync.Mutex
	addrs []mesh.Addr
}

func (r *rowTable) put(a mesh.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs = append(r.addrs, a)
}

func (r *rowTable) remove(a mesh.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addrs = slices.DeleteFunc(r.addrs, func(b mesh.Addr) bool { return a == b })
}

func (r *rowTable) nodes(context.Context) ([]mesh.Addr, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]mesh.Addr(nil), r.addrs...), nil
}

// TestGroupsThatJoinedApartMerge guards against a mesh that stays split because
// its nodes started at the same moment and read the node rows before all were
// written: three of twelve nodes never learned of the others.
func TestGroupsThatJoinedApartMerge(t *testing.T) {
	// Each group sees only its own rows until the rows of all are put.
	rows := []*rowTable{new(rowTable), new(rowTable)}
	var ps []*testPeer
	for i := range 6 {
		hosted := func(c *Config, _ *lossy) {
			c.ExternalConfig, c.MergeInterval, c.MaxJoinDelay = true, time.Second, 100*time.Millisecond
			c.Platform = Source{Nodes: rows[i%2].nodes}
		}
		p := start(t, i, nil, hosted)
		rows[i%2].put(p.cfg.Self.Addr)
		ps = append(ps, p)
	}
	know := func(n int) func() bool {
		return func() bool {
			for _, p := range ps {
				if alive(p) != n || !p.Joined() {
					return false
				}
			}
			return true
		}
	}
	eventually(t, 10*time.Second, know(3), "two groups that do not know each other")
	time.Sleep(2 * joinBase) // until the last attempt to join has ended
	for _, p := range ps {
		rows[0].put(p.cfg.Self.Addr)
		rows[1].put(p.cfg.Self.Addr)
	}
	apart := time.Now()
	eventually(t, 10*time.Second, know(6), "all know each other")
	require.Less(t, time.Since(apart), 5*time.Second)
}

// TestRestartWithoutPlatform guards against a node that starts again while the
// platform turns it away and finds nobody, although the others remember its address.
func TestRestartWithoutPlatform(t *testing.T) {
	for name, left := range map[string]bool{"killed": false, "left": true} {
		t.Run(name, func(t *testing.T) {
			rows := new(rowTable)
			hosted := func(c *Config, _ *lossy) {
				c.ExternalConfig, c.MergeInterval, c.MaxJoinDelay, c.DeadPeriod = true, time.Second, 100*time.Millisecond, 500*time.Millisecond
				c.Platform = Source{Nodes: rows.nodes}
			}
			var ps []*testPeer
			for i := range 3 {
				p := start(t, i, nil, hosted)
				rows.put(p.cfg.Self.Addr)
				ps = append(ps, p)
			}
			know := func(ps ...*testPeer) func() bool {
				return func() bool {
					for _, p := range ps {
						if alive(p) != 3 {
							return false
						}
					}
					return true
				}
			}
			eventually(t, 10*time.Second, know(ps...), "all know each other")
			if left {
				require.NoError(t, ps[2].Leave(t.Context()))
			}
			rows.remove(ps[2].cfg.Self.Addr) // only the others remember the address
			require.NoError(t, ps[2].stop())
			again := start(t, 2, nil, func(c *Config, _ *lossy) {
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
			eventually(t, 10*time.Second, know(ps[0], ps[1], again), "the node is back")
		})
	}
}
