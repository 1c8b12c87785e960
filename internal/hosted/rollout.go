package hosted

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/rollout"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/internal/task"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// wantOrders is the value of mesh.WantHeader that requests the orders of roll-outs
	// from a watcher.
	wantOrders = "orders"
	// wantRollout is the value of mesh.WantHeader of a report to the decider.
	wantRollout = "rollout"
	// maxRolloutBytes bounds the messages of roll-outs. A report has at most 25 routes.
	maxRolloutBytes = 64 << 10
	// maxRolloutConnections is the number of connections to one node for these messages:
	// a request for orders that waits, a report, and one that has timed out.
	maxRolloutConnections = 3
)

// rolloutConfig holds the settings and dependencies of a node in roll-outs.
type rolloutConfig struct {
	self        mesh.NodeID
	zone        mesh.AvailabilityZone
	firstStart  bool // the whole system starts for the first time
	bounds      rollout.Bounds
	service     func() mesh.Service
	gate        *backend.Gate
	members     func() []member.Member
	watchers    func() []member.Member
	isWatcher   func() bool
	storeAnswer func() time.Time // when the store last confirmed what is known of it, zero if it is lost
	era         func() platform.Era
	readStatus  func(context.Context, mesh.Service) (platform.RolloutStatus, error)
	writeStatus func(context.Context, platform.RolloutStatus) (platform.Position, platform.RolloutStatus, error)
	// exchange sends a message to the node at addr and returns the response.
	exchange func(ctx context.Context, addr mesh.Addr, want string, q url.Values, body []byte) ([]byte, error)
	metrics  *metric.Registry
	log      *zap.Logger
}

// rollouts is the part of a node in roll-outs: it distributes the orders, controls the
// gate, and decides on services that are assigned to it.
type rollouts struct {
	rolloutConfig

	orders   *orderTable
	versions *versionTable
	agent    *gateAgent
	deciders *deciders
	selector watcherSelector
	counters func(string, int64)
}

func newRollouts(c rolloutConfig) *rollouts {
	r := &rollouts{rolloutConfig: c, orders: newOrderTable(), versions: newVersionTable()}
	r.selector.self, r.selector.zone = c.self, c.zone
	r.counters = c.metrics.CounterGroup("rollout").Add
	r.agent = newGateAgent(r)
	r.deciders = newDeciders(r)
	return r
}

// recordOrder records an order that was written age ago, as far as known.
func (r *rollouts) recordOrder(o rollout.Order, age time.Duration) {
	if !r.orders.record(o, time.Now().Add(-age)) {
		return
	}
	r.counters("orders", 1)
	r.log.Info("roll-out order", zap.String("service", string(o.Service)), zap.String("target", string(o.Target)),
		zap.Uint64("order", uint64(o.ID)), zap.Duration("duration", o.Duration), zap.Duration("age", age))
	r.agent.wake()
}

// onStoreOrder records an order that was read from the store.
func (r *rollouts) onStoreOrder(o platform.RolloutOrder) {
	r.recordOrder(rollout.Order{ID: rollout.NewOrderID(uint64(o.Era), uint64(o.Ver)), Service: o.Service, Target: o.Target, Duration: o.Duration}, 0)
}

// serverSeen records a report of the backend server before it is announced; see
// gateAgent.serverSeen.
func (r *rollouts) serverSeen(id mesh.Instance, born int64, v mesh.SoftwareVersion, known bool) {
	if r != nil {
		r.agent.serverSeen(id, born, v, known)
	}
}

// components returns what runs in roll-outs.
func (r *rollouts) components() []task.Component {
	if r == nil {
		return nil
	}
	return []task.Component{
		{Name: "roll-out orders", Run: r.followOrders},
		{Name: "roll-out gate", Run: r.agent.run},
		{Name: "roll-out decisions", Run: r.deciders.run},
	}
}

// serve serves a message of another node. It returns false if r is not one.
func (r *rollouts) serve(w http.ResponseWriter, req *http.Request) bool {
	if r == nil {
		return false
	}
	switch req.Header.Get(mesh.WantHeader) {
	case wantOrders:
		r.serveOrders(w, req)
	case wantRollout:
		r.serveReport(w, req)
	default:
		return false
	}
	return true
}

// writeJSON writes v as the response.
func (r *rollouts) writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		r.log.Error("failed to encode a message of a roll-out", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(b) // the other node repeats its request
}

// errRefused means that a node refuses a message, so that another one is to be asked.
var errRefused = errors.New("the node refused the message")

// newRolloutExchange returns rolloutConfig.exchange with the given token of the mesh.
func newRolloutExchange(token string) func(context.Context, mesh.Addr, string, url.Values, []byte) ([]byte, error) {
	transport := hop.New(hop.Config{MaxConnsPerHost: maxRolloutConnections, DialTimeout: hopDialTimeout, IdleTimeout: hopIdleTimeout})
	return func(ctx context.Context, addr mesh.Addr, want string, q url.Values, body []byte) ([]byte, error) {
		req := &http.Request{
			Method: http.MethodGet,
			URL:    &url.URL{Scheme: "http", Host: string(addr), Path: "/", RawQuery: q.Encode()},
			Header: http.Header{mesh.HopHeader: {token}, mesh.WantHeader: {want}},
		}
		if body != nil {
			req.Method, req.ContentLength, req.Body = http.MethodPost, int64(len(body)), io.NopCloser(bytes.NewReader(body))
		}
		resp, _, err := transport.RoundTrip(ctx, req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(io.LimitReader(resp.Body, maxRolloutBytes))
		switch {
		case err != nil:
			return nil, fmt.Errorf("read response: %w", err)
		case resp.StatusCode != http.StatusOK:
			return nil, fmt.Errorf("%w: status %d", errRefused, resp.StatusCode)
		}
		return b, nil
	}
}

// newNodeRollouts returns the part of n in roll-outs, or nil if the settings do not
// enable them.
func (n *Node) newNodeRollouts() *rollouts {
	set := n.nodeSettings.Load()
	if !set.Rollouts.Enabled {
		return nil
	}
	return newRollouts(rolloutConfig{
		self: set.ID, zone: set.Zone, firstStart: set.FirstStart,
		bounds:  rollout.Bounds{Share: set.Rollouts.ExposureShare, Slack: set.Rollouts.ExposureSlack},
		service: func() mesh.Service { return n.nodeSettings.Load().Service },
		gate:    n.gate,
		members: func() []member.Member { return n.peer.Members() }, watchers: func() []member.Member { return n.peer.Watchers() },
		isWatcher: func() bool { return n.source.isWatcher() },
		storeAnswer: func() time.Time {
			at, _ := n.source.current()
			return at
		},
		era: n.store.Era, readStatus: n.store.RolloutStatus, writeStatus: n.store.PutRolloutStatus,
		exchange: newRolloutExchange(peer.HopToken(meshKey(set))),
		metrics:  n.metrics, log: n.log,
	})
}
