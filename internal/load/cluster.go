package load

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lavenderrill.dev/lavenderrill/internal/trial"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// cluster is the running mesh of an experiment.
type cluster struct {
	*trial.Mesh
	x       Experiment
	ranks   []config.RankPolicy
	started time.Duration // from the first process to the last node ready
}

// readyTimeout bounds the wait until every node serves the first version.
const readyTimeout = 90 * time.Second

// startCluster starts the mesh of x with its first configuration. The caller
// must call Close on success.
func startCluster(ctx context.Context, x Experiment) (*cluster, error) {
	begin := time.Now()
	args := []string{"--slots", strconv.Itoa(x.Mesh.Slots), "--queue", strconv.Itoa(x.Mesh.Queue)}
	if x.Mesh.ServiceTime != "" {
		args = append(args, "--time", x.Mesh.ServiceTime)
	}
	m, err := trial.Start(ctx, trial.Config{
		Nodes:     trial.Specs(x.Mesh.Nodes, x.Mesh.Zones, x.Mesh.Services, args...),
		Relays:    x.Mesh.Relays || x.Mesh.Loss > 0,
		NoSources: true,
		NoJournal: true,
		Seed:      x.Seed,
	})
	if err != nil {
		return nil, err
	}
	c := &cluster{Mesh: m, x: x}
	if err := c.configure(ctx); err != nil {
		_ = m.Close()
		return nil, err
	}
	c.started = time.Since(begin)
	return c, nil
}

// account returns the document of client account i with a limit that makes
// each edit differ.
func (c *cluster) account(i, limit int) client.File {
	return client.File{
		Name: fmt.Sprintf("a%d.yaml", i),
		Content: fmt.Sprintf("account: a%d\ntemplate: %s\nparameters: {host: %s, limit: %d}\n",
			i, c.x.Mesh.Template, host(i), limit),
	}
}

// host returns the host of the routes of client account i.
func host(i int) string { return fmt.Sprintf("a%d.example", i) }

// files returns the documents of the first configuration, of which base holds
// those that are not client accounts.
func (c *cluster) files(base []byte) []client.File {
	fs := []client.File{{Name: c.x.Mesh.Config, Content: string(base)}}
	for i := range c.x.Mesh.Accounts {
		fs = append(fs, c.account(i, firstLimit))
	}
	return fs
}

// operator returns a client of the operator API of node i.
func (c *cluster) operator(i int) *client.Client {
	return client.New(client.Config{Node: c.Nodes[i].Addrs().Operator, Token: trial.Token})
}

// firstLimit is the limit parameter of client accounts before any edit.
const firstLimit = 100000

func (c *cluster) configure(ctx context.Context) error {
	path := filepath.Join(c.x.dir, c.x.Mesh.Config)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files := c.files(b)
	if c.ranks, err = ranksOf(files); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var v mesh.Version
	next := 0
	for part := range slices.Chunk(files, acceptFiles) {
		// In turn, since each node has its own budget of platform requests.
		node := next % len(c.Nodes)
		next++
		change := mesh.ChangeID(uuid.NewString())
		err := retry(ctx, func() error {
			a, err := c.operator(node).Accept(ctx, client.AcceptRequest{Change: change, Operator: "load", Edit: client.Edit{Files: part}})
			v = a.Version
			return err
		})
		if err != nil {
			return err
		}
	}
	return retry(ctx, func() error { return c.settled(ctx, v) })
}

// acceptFiles is the number of documents of one accept. Each needs rows of the
// accept's transaction, whose length the table service limits.
const acceptFiles = 20

// settled returns an error unless every node is ready, serves v and sees every
// node and endpoint.
func (c *cluster) settled(ctx context.Context, v mesh.Version) error {
	for i := range c.Nodes {
		if err := getOK(ctx, "http://"+c.Nodes[i].Addrs().Operator+"/readyz"); err != nil {
			return err
		}
	}
	st, err := c.operator(0).Status(ctx, v)
	if err != nil {
		return err
	}
	members, usable := 0, 0
	for _, z := range st.Zones {
		members += z.Members
	}
	for _, e := range st.Endpoints {
		if e.State == "ready" && e.Status == "alive" {
			usable++
		}
	}
	if !st.Converged || members < len(c.Nodes) {
		return fmt.Errorf("node 0 sees %d of %d members, converged: %t", members, len(c.Nodes), st.Converged)
	}
	if len(c.x.Mesh.Services) > 0 && usable < len(c.Nodes) {
		return fmt.Errorf("node 0 sees %d of %d endpoints", usable, len(c.Nodes))
	}
	return nil
}

// retry calls f until it succeeds or ctx ends.
func retry(ctx context.Context, f func() error) error {
	const pause = 200 * time.Millisecond
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("mesh is not ready: %w", err)
		case <-time.After(pause):
		}
	}
}

func getOK(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}

// ranksOf returns the ranks of a configuration.
func ranksOf(files []client.File) ([]config.RankPolicy, error) {
	var docs []config.Document
	for _, f := range files {
		ds, err := config.ParseDocuments(f.Name, strings.NewReader(f.Content))
		if err != nil {
			return nil, err
		}
		docs = append(docs, ds...)
	}
	s, err := compile(docs)
	if err != nil {
		return nil, err
	}
	return s.Ranks, nil
}

func (c *cluster) rank(name mesh.Rank) (config.RankPolicy, error) {
	for _, r := range c.ranks {
		if r.Name == name {
			return r, nil
		}
	}
	return config.RankPolicy{}, fmt.Errorf("%s: rank %q is not in %s", c.x.Name, name, c.x.Mesh.Config)
}

// callers returns a function that yields the caller addresses of running nodes
// in turn.
func (c *cluster) callers() func() string {
	return c.inTurn(func(n *trial.Node) string { return n.Addrs().Caller })
}

// servers returns a function that yields the addresses of the backend servers
// of a service, or of all, in turn.
func (c *cluster) servers(s mesh.Service) func() string {
	return c.inTurn(func(n *trial.Node) string {
		if srv := n.Server(); srv != nil && (s == "" || n.Spec.Service == s) {
			return srv.Addr
		}
		return ""
	})
}

// inTurn returns a function that yields the nonempty addresses of nodes whose
// process runs, in turn, or "" if there is none. A caller learns of a dead VM
// from its connection, so the process alone is looked at.
func (c *cluster) inTurn(addr func(*trial.Node) string) func() string {
	var next atomic.Uint64
	return func() string {
		for range c.Nodes {
			n := c.Nodes[next.Add(1)%uint64(len(c.Nodes))]
			if a := addr(n); a != "" && running(n.Process()) {
				return a
			}
		}
		return ""
	}
}

func running(p *trial.Process) bool {
	if p == nil {
		return false
	}
	select {
	case <-p.Done():
		return false
	default:
		return true
	}
}
