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
	experiment   Experiment
	rankPolicies []config.RankPolicy
	startupTime  time.Duration // from the start of the first process until all nodes are ready
}

// readyTimeout bounds the wait until every node serves the first configuration.
const readyTimeout = 90 * time.Second

// startCluster starts the mesh of x and applies its first configuration. On
// success, the caller must call Close.
func startCluster(ctx context.Context, x Experiment) (*cluster, error) {
	begin := time.Now()
	args := []string{"--slots", strconv.Itoa(x.Mesh.Slots), "--queue", strconv.Itoa(x.Mesh.Queue)}
	if x.Mesh.ServiceTime != "" {
		args = append(args, "--time", x.Mesh.ServiceTime)
	}
	m, err := trial.Start(ctx, trial.Config{
		Nodes:          trial.NodeSpecs(x.Mesh.Nodes, x.Mesh.Zones, x.Mesh.Services, args...),
		Relays:         x.Mesh.Relays || x.Mesh.Loss > 0,
		NoSourceLookup: true,
		NoJournal:      true,
		Seed:           x.Seed,
	})
	if err != nil {
		return nil, err
	}
	c := &cluster{Mesh: m, experiment: x}
	if err := c.applyConfig(ctx); err != nil {
		_ = m.Close()
		return nil, err
	}
	c.startupTime = time.Since(begin)
	return c, nil
}

// accountFile returns the document of client account i. Each edit sets a
// different limit, so that the document changes.
func (c *cluster) accountFile(i, limit int) client.File {
	return client.File{
		Name: fmt.Sprintf("a%d.yaml", i),
		Content: fmt.Sprintf("account: a%d\ntemplate: %s\nparameters: {host: %s, limit: %d}\n",
			i, c.experiment.Mesh.Template, accountHost(i), limit),
	}
}

// accountHost returns the host of the routes of client account i.
func accountHost(i int) string { return fmt.Sprintf("a%d.example", i) }

// configFiles returns the documents of the first configuration: base, which
// holds the fleet and template documents, and the client accounts.
func (c *cluster) configFiles(base []byte) []client.File {
	fs := []client.File{{Name: c.experiment.Mesh.Config, Content: string(base)}}
	for i := range c.experiment.Mesh.Accounts {
		fs = append(fs, c.accountFile(i, initialLimit))
	}
	return fs
}

// operatorClient returns a client for the operator API of node i.
func (c *cluster) operatorClient(i int) *client.Client {
	return client.New(client.Config{Node: c.Nodes[i].Addrs().Operator, Token: trial.Token})
}

// initialLimit is the limit parameter of client accounts before any edit.
const initialLimit = 100000

func (c *cluster) applyConfig(ctx context.Context) error {
	path := filepath.Join(c.experiment.dir, c.experiment.Mesh.Config)
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	files := c.configFiles(b)
	if c.rankPolicies, err = parseRankPolicies(files); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var v mesh.Version
	next := 0
	for chunk := range slices.Chunk(files, maxFilesPerAccept) {
		// Alternates between nodes, since each has its own budget of platform
		// requests.
		node := next % len(c.Nodes)
		next++
		change := mesh.ChangeID(uuid.NewString())
		err := retry(ctx, func() error {
			resp, err := c.operatorClient(node).Accept(ctx, client.AcceptRequest{Change: change, Operator: "load", Edit: client.Edit{Files: chunk}})
			v = resp.Version
			return err
		})
		if err != nil {
			return err
		}
	}
	return retry(ctx, func() error { return c.checkConverged(ctx, v) })
}

// maxFilesPerAccept is the highest number of documents in one accept request.
// Each document adds rows to the transaction of the accept, whose size the table
// service limits.
const maxFilesPerAccept = 20

// checkConverged returns an error unless every node is ready and serves v, and
// node 0 reports every member and a ready endpoint for every backend server.
func (c *cluster) checkConverged(ctx context.Context, v mesh.Version) error {
	for i := range c.Nodes {
		if err := getOK(ctx, "http://"+c.Nodes[i].Addrs().Operator+"/readyz"); err != nil {
			return err
		}
	}
	st, err := c.operatorClient(0).Status(ctx, v)
	if err != nil {
		return err
	}
	members, readyEndpoints := 0, 0
	for _, z := range st.Zones {
		members += z.Members
	}
	for _, e := range st.Endpoints {
		if e.State == "ready" && e.Status == "alive" {
			readyEndpoints++
		}
	}
	if !st.Converged || members < len(c.Nodes) {
		return fmt.Errorf("node 0 reports %d of %d members, converged: %t", members, len(c.Nodes), st.Converged)
	}
	if len(c.experiment.Mesh.Services) > 0 && readyEndpoints < len(c.Nodes) {
		return fmt.Errorf("node 0 reports %d of %d endpoints as ready", readyEndpoints, len(c.Nodes))
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
		return fmt.Errorf("GET %s: status %d", url, resp.StatusCode)
	}
	return nil
}

// parseRankPolicies returns the rank policies of a configuration.
func parseRankPolicies(files []client.File) ([]config.RankPolicy, error) {
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

func (c *cluster) rankPolicy(name mesh.Rank) (config.RankPolicy, error) {
	for _, r := range c.rankPolicies {
		if r.Name == name {
			return r, nil
		}
	}
	return config.RankPolicy{}, fmt.Errorf("%s: rank %q is not in %s", c.experiment.Name, name, c.experiment.Mesh.Config)
}

// callerAddrs returns a function that cycles through the caller addresses of those of the
// last n nodes that run.
func (c *cluster) callerAddrs(n int) func() string {
	return cycleAddrs(c.Nodes[len(c.Nodes)-n:], func(n *trial.Node) string { return n.Addrs().Caller })
}

// serverAddrs returns a function that cycles through the addresses of the
// backend servers of service s, or of all backend servers if s is empty.
func (c *cluster) serverAddrs(s mesh.Service) func() string {
	return cycleAddrs(c.Nodes, func(n *trial.Node) string {
		if srv := n.Server(); srv != nil && (s == "" || n.Spec.Service == s) {
			return srv.Addr
		}
		return ""
	})
}

// cycleAddrs returns a function that cycles through the nonempty addresses of
// those nodes whose process runs. It returns "" if there is none. Only the process is
// checked, since a caller detects a failed VM by its connection.
func cycleAddrs(nodes []*trial.Node, addr func(*trial.Node) string) func() string {
	var next atomic.Uint64
	return func() string {
		for range nodes {
			n := nodes[next.Add(1)%uint64(len(nodes))]
			if a := addr(n); a != "" && isRunning(n.Process()) {
				return a
			}
		}
		return ""
	}
}

func isRunning(p *trial.Process) bool {
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
