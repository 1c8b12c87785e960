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
	// The secrets guard nothing: all listeners are on loopback and end with
	// the demo.
	key   = "demo-key-of-all-nodes"
	token = "demo-operator-token"

	loopback = "127.0.0.1:0"
)

// place is one VM of the demo.
type place struct {
	id      string
	zone    string
	service mesh.Service
	time    string // service time of the backend server
}

var places = []place{
	{"node-1", "semarang", "reservasi", "lognormal:4ms,0.3"},
	{"node-2", "solo", "katalog", "lognormal:2ms,0.3"},
	{"node-3", "solo", "pustaka", "lognormal:8ms,0.3"},
}

// task is one running part of the demo.
type task struct {
	name string
	stop context.CancelFunc
	done chan error
}

// cluster is the running mesh.
type cluster struct {
	log      *zap.Logger
	nodes    []*node.Node
	servers  []*backend.Server
	platform *task
	tasks    []*task // backend servers, then nodes
}

func start(ctx context.Context, name string, run func(context.Context) error) *task {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	t := &task{name: name, stop: cancel, done: make(chan error, 1)}
	go func() { t.done <- run(ctx) }()
	return t
}

// wait stops t and returns how it ended.
func (t *task) wait() error {
	t.stop()
	if err := <-t.done; err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: %w", t.name, err)
	}
	return nil
}

func newCluster(ctx context.Context, log *zap.Logger) (*cluster, error) {
	c := &cluster{log: log}
	p, err := platform.New(platform.Config{})
	if err != nil {
		return nil, err
	}
	c.platform = start(ctx, "platform", p.Run)
	for _, pl := range places {
		if err := c.addPlace(ctx, p, pl); err != nil {
			return nil, errors.Join(err, c.stop())
		}
	}
	return c, nil
}

func (c *cluster) addPlace(ctx context.Context, p *platform.Server, pl place) error {
	n, err := node.New(c.settings(p, pl), c.log)
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	c.tasks = append(c.tasks, start(ctx, pl.id, n.Run))
	t, err := backend.ParseTime(pl.time)
	if err != nil {
		return err
	}
	s, err := backend.New(backend.Config{
		Service:  pl.service,
		Node:     n.Addrs().Backend,
		Behavior: backend.Behavior{Time: t},
		Log:      c.log,
	})
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	c.tasks = append(c.tasks, start(ctx, "backend server of "+pl.id, s.Run))
	return nil
}

func (c *cluster) settings(p *platform.Server, pl place) settings.Node {
	s := settings.Node{
		ID: pl.id, Zone: pl.zone,
		Caller: loopback, Peer: loopback, Operator: loopback, Backend: loopback,
		Table: "lavenderrill", Bucket: "lavenderrill", Region: "local",
		TableURL: "http://" + p.TableAddr(), ObjectURL: "http://" + p.ObjectAddr(),
		PlatformTimeout: 2 * time.Second, Drain: 10 * time.Second, LogFormat: "console", LogLevel: "error",
		Key: key, Token: token, AccessKey: "demo", SecretKey: "demo",
	}
	if len(c.nodes) > 0 {
		s.Join = []string{c.nodes[0].Addrs().Peer}
	}
	return s
}

// stop stops every part gracefully, the last started first, and the platform
// last.
func (c *cluster) stop() error {
	var errs []error
	for i := len(c.tasks) - 1; i >= 0; i-- {
		errs = append(errs, c.tasks[i].wait())
	}
	return errors.Join(append(errs, c.platform.wait())...)
}
