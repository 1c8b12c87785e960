package trial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/relay"
	"lavenderrill.dev/lavenderrill/internal/wait"
)

// Fault is a kind of fault that Chaos injects.
type Fault string

// Kinds of faults.
const (
	KillServer   Fault = "kill-server"
	KillNode     Fault = "kill-node"
	KillBoth     Fault = "kill-both"
	FreezeServer Fault = "freeze-server"
	FreezeNode   Fault = "freeze-node"
	CutPeer      Fault = "cut-peer"      // connections of other nodes are cut and refused
	TruncatePeer Fault = "truncate-peer" // responses to other nodes end early
	HoldPeer     Fault = "hold-peer"     // bytes in one direction are held
	LosePeer     Fault = "lose-peer"     // datagrams are lost and reordered, stream bytes are delayed
	Outage       Fault = "outage"        // the platform fails or loses responses
)

// RelayFaults are the faults that need relays.
var RelayFaults = []Fault{CutPeer, TruncatePeer, HoldPeer, LosePeer}

// ProcessFaults are the faults of single processes.
var ProcessFaults = []Fault{KillServer, KillNode, KillBoth, FreezeServer, FreezeNode}

// Chaos injects random faults, drawn from a generator with the given seed. Faults
// can overlap, but each node has at most one at a time.
type Chaos struct {
	Mesh          *Mesh
	Seed          uint64
	Faults        []Fault
	Pause         time.Duration // between the end of a fault and the next
	MaxConcurrent int           // maximum number of concurrent faults
	Log           func(format string, args ...any)

	mu       sync.Mutex
	rnd      *rand.Rand
	busy     map[int]bool // by node index, or platformIndex
	counts   map[Fault]int
	firstErr error
}

// platformIndex is the index of the platform in Chaos.busy.
const platformIndex = -1

// Run injects faults until ctx ends and then removes the remaining ones. It
// returns how often each fault was injected, and the first error.
func (c *Chaos) Run(ctx context.Context) (map[Fault]int, error) {
	c.rnd = rand.New(rand.NewPCG(c.Seed, c.Seed))
	c.busy, c.counts = make(map[int]bool), make(map[Fault]int)
	var wg sync.WaitGroup
	for range max(1, c.MaxConcurrent) {
		wg.Go(func() {
			for ctx.Err() == nil {
				if err := c.injectOne(ctx); err != nil {
					c.recordError(err)
					return
				}
				_ = wait.For(ctx, c.Pause)
			}
		})
	}
	wg.Wait()
	return c.counts, c.firstErr
}

func (c *Chaos) recordError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstErr == nil {
		c.firstErr = err
	}
}

// pickFault draws a fault and its target, a node index or platformIndex. It
// reports false if the target already has a fault.
func (c *Chaos) pickFault() (f Fault, i int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f = c.Faults[c.rnd.IntN(len(c.Faults))]
	i = platformIndex
	if f != Outage {
		i = c.rnd.IntN(len(c.Mesh.Nodes))
	}
	if c.busy[i] {
		return f, i, false
	}
	c.busy[i] = true
	c.counts[f]++
	return f, i, true
}

func (c *Chaos) randomBetween(lo, hi time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo + time.Duration(c.rnd.Int64N(int64(hi-lo)+1))
}

func (c *Chaos) injectOne(ctx context.Context) error {
	f, i, ok := c.pickFault()
	if !ok {
		return nil
	}
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, i)
	}()
	// A fault is removed even if ctx has ended in the meantime.
	cleanupCtx := context.WithoutCancel(ctx)
	begin := time.Now()
	var err error
	if i == platformIndex {
		err = c.injectOutage(ctx, cleanupCtx)
	} else {
		err = c.injectNodeFault(ctx, cleanupCtx, f, c.Mesh.Nodes[i])
	}
	if c.Log != nil {
		c.Log("%s %s on node index %d for %v", begin.Format("05.000"), f, i, time.Since(begin).Round(time.Millisecond))
	}
	if err != nil {
		return fmt.Errorf("%s on node index %d: %w", f, i, err)
	}
	return nil
}

func (c *Chaos) injectNodeFault(ctx, cleanupCtx context.Context, f Fault, n *Node) error {
	switch f {
	case KillServer:
		if err := n.Server().Kill(); err != nil {
			return err
		}
		_ = wait.For(ctx, c.randomBetween(0, 500*time.Millisecond))
		return n.StartServer(cleanupCtx)
	case KillNode:
		if err := n.Process().Kill(); err != nil {
			return err
		}
		_ = wait.For(ctx, c.randomBetween(0, 500*time.Millisecond))
		return n.Start(cleanupCtx)
	case KillBoth:
		return n.Replace(cleanupCtx)
	case FreezeServer:
		return c.freeze(ctx, n.Server().Process)
	case FreezeNode:
		return c.freeze(ctx, n.Process())
	case CutPeer:
		return c.injectRelayFault(ctx, n, relay.Faults{Cut: true}, 400*time.Millisecond)
	case TruncatePeer:
		return c.injectRelayFault(ctx, n, relay.Faults{Truncate: int64(c.randomBetween(1, 4000))}, 400*time.Millisecond)
	case HoldPeer:
		d := []relay.Direction{relay.Forward, relay.Backward, relay.Both}[int(c.randomBetween(0, 2))]
		return c.injectRelayFault(ctx, n, relay.Faults{Freeze: d}, 1500*time.Millisecond)
	case LosePeer:
		ms := relay.Duration(time.Millisecond)
		return c.injectRelayFault(ctx, n, relay.Faults{Delay: 2 * ms, Jitter: 5 * ms, Loss: 0.3, Reorder: 0.3, ReorderDelay: 20 * ms}, time.Second)
	}
	return fmt.Errorf("unknown fault")
}

// freeze stops p for less than a second, or in one of four cases for longer than
// every lease and timeout of the membership protocol.
func (c *Chaos) freeze(ctx context.Context, p *Process) error {
	d := c.randomBetween(100*time.Millisecond, 900*time.Millisecond)
	if c.randomBetween(0, 3) == 0 {
		d += 4 * time.Second
	}
	if err := p.Freeze(); err != nil {
		return err
	}
	_ = wait.For(ctx, d)
	return p.Resume()
}

func (c *Chaos) injectRelayFault(ctx context.Context, n *Node, f relay.Faults, maxTime time.Duration) error {
	if err := n.Relay.SetFaults(f); err != nil {
		return err
	}
	_ = wait.For(ctx, c.randomBetween(maxTime/4, maxTime))
	return n.Relay.SetFaults(relay.Faults{})
}

func (c *Chaos) injectOutage(ctx, cleanupCtx context.Context) error {
	faults := []inject.Faults{
		{Outage: inject.OutageError}, {Outage: inject.OutageReset}, {Outage: inject.OutageHang},
		{LoseResponse: 0.5}, {Throttle: 0.5}, {Latency: inject.Duration(300 * time.Millisecond)},
	}
	f := faults[int(c.randomBetween(0, time.Duration(len(faults)-1)))]
	if err := c.Mesh.Platform.SetFaults(cleanupCtx, f, f); err != nil {
		return err
	}
	_ = wait.For(ctx, c.randomBetween(500*time.Millisecond, 2*time.Second))
	return c.Mesh.Platform.SetFaults(cleanupCtx, inject.Faults{}, inject.Faults{})
}
