package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/node"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/internal/standin/platform"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// The secrets are constant because they protect nothing: all listeners are on
	// loopback and close at the end of the demo.
	sharedKey     = "demo-key-of-all-nodes"
	operatorToken = "demo-operator-token"

	loopback = "127.0.0.1:0"
)

// vm is one VM of the demo with a node and a backend server.
type vm struct {
	id          string
	zone        string
	service     mesh.Service
	serviceTime string // distribution of the backend server's service times
}

var vms = []vm{
	{"node-1", "semarang", "reservasi", "lognormal:4ms,0.3"},
	{"node-2", "solo", "katalog", "lognormal:2ms,0.3"},
	{"node-3", "solo", "pustaka", "lognormal:8ms,0.3"},
}

// component is a node, a backend server or the platform while it runs.
type component struct {
	name string
	stop context.CancelFunc
	done chan error
}

// cluster is the running mesh.
type cluster struct {
	log        *zap.Logger
	nodes      []*node.Node
	servers    []*backend.Server
	platform   *component
	components []*component // in the order of their start
}

func startComponent(ctx context.Context, name string, run func(context.Context) error) *component {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c := &component{name: name, stop: cancel, done: make(chan error, 1)}
	go func() { c.done <- run(ctx) }()
	return c
}

// stopAndWait stops c, waits until it has ended and returns its error.
func (c *component) stopAndWait() error {
	c.stop()
	if err := <-c.done; err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: %w", c.name, err)
	}
	return nil
}

func newCluster(ctx context.Context, log *zap.Logger) (*cluster, error) {
	c := &cluster{log: log}
	p, err := platform.New(platform.Config{})
	if err != nil {
		return nil, err
	}
	c.platform = startComponent(ctx, "platform", p.Run)
	for _, v := range vms {
		if err := c.addVM(ctx, p, v); err != nil {
			return nil, errors.Join(err, c.stop())
		}
	}
	return c, nil
}

func (c *cluster) addVM(ctx context.Context, p *platform.Server, v vm) error {
	n, err := node.New(c.settings(p, v), c.log)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	c.components = append(c.components, startComponent(ctx, v.id, n.Run))
	t, err := backend.ParseServiceTime(v.serviceTime)
	if err != nil {
		return err
	}
	s, err := backend.New(backend.Config{
		Service:  v.service,
		NodeAddr: n.Addrs().Backend,
		Behavior: backend.Behavior{ServiceTime: t},
		Log:      c.log,
	})
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	c.components = append(c.components, startComponent(ctx, "backend server of "+v.id, s.Run))
	return nil
}

func (c *cluster) settings(p *platform.Server, v vm) settings.Node {
	s := settings.Node{
		ID: v.id, Zone: v.zone,
		Caller: loopback, Peer: loopback, Operator: loopback, Backend: loopback,
		Table: "lavenderrill", Bucket: "lavenderrill", Region: "local",
		TableURL: "http://" + p.TableAddr(), ObjectURL: "http://" + p.ObjectAddr(),
		PlatformTimeout: 2 * time.Second, Drain: 10 * time.Second, LogFormat: "console", LogLevel: "error",
		Key: sharedKey, Token: operatorToken, AccessKey: "demo", SecretKey: "demo",
	}
	if len(c.nodes) > 0 {
		s.Join = []string{c.nodes[0].Addrs().Peer}
	}
	return s
}

// stop stops all components gracefully, in the reverse order of their start, and the
// platform last.
func (c *cluster) stop() error {
	var errs []error
	for i := len(c.components) - 1; i >= 0; i-- {
		errs = append(errs, c.components[i].stopAndWait())
	}
	return errors.Join(append(errs, c.platform.stopAndWait())...)
}
