package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/rollout"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// ordersWait is the time after which a watcher answers without a new order.
	ordersWait = 800 * time.Millisecond
	// ordersGrace is the wait for that answer beyond ordersWait.
	ordersGrace = 400 * time.Millisecond
	// ordersGap is the least time between two requests for orders.
	ordersGap = 150 * time.Millisecond
	// maxReplacedOrders is the number of replaced orders of a service that are remembered. A
	// copy of the store some seconds old may hold one of the last.
	maxReplacedOrders = 4
)

// knownOrder is an order and the earliest time at which any node is known to have seen it.
type knownOrder struct {
	rollout.Order
	seen time.Time
}

// orderTable holds the last order of each service.
type orderTable struct {
	mu        sync.Mutex
	byService map[mesh.Service]knownOrder
	replaced  map[mesh.Service][]rollout.Order // up to maxReplacedOrders that came before
	changed   chan struct{}                    // closed by the next change
	asOf      time.Time                        // the table has all orders that were written before
}

func newOrderTable() *orderTable {
	return &orderTable{byService: make(map[mesh.Service]knownOrder), replaced: make(map[mesh.Service][]rollout.Order), changed: make(chan struct{})}
}

// record records an order that was seen at the given time, and reports whether it is new. It
// is not if the store was restored from a copy that holds it, or one before it.
func (t *orderTable) record(o rollout.Order, seen time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byService[o.Service]
	switch {
	case o.Service == "", o.ID.Era() > known.ID.Era() && slices.ContainsFunc(t.replaced[o.Service], o.SameRow):
		return false
	case o.Same(known.Order):
		known.ID = max(known.ID, o.ID)
		if seen.Before(known.seen) {
			known.seen = seen
		}
		t.byService[o.Service] = known
		return false
	case o.ID < known.ID:
		return false
	}
	if known.ID > 0 {
		all := append(t.replaced[o.Service], known.Order)
		t.replaced[o.Service] = all[max(0, len(all)-maxReplacedOrders):]
	}
	t.byService[o.Service] = knownOrder{o, seen}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// of returns the last order of a service. Its target is empty if it was removed.
func (t *orderTable) of(s mesh.Service) (knownOrder, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.byService[s]
	return o, ok
}

// setAsOf records that the table has all orders that were written before at.
func (t *orderTable) setAsOf(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.asOf) {
		t.asOf = at
	}
}

func (t *orderTable) knownAsOf() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf
}

// digest identifies the orders in the table. The channel is closed by the next change.
func (t *orderTable) digest() (string, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := xxhash.New()
	for _, s := range slices.Sorted(maps.Keys(t.byService)) {
		_, _ = fmt.Fprintf(h, "%s %d\n", s, t.byService[s].ID) // a hash returns no error
	}
	return strconv.FormatUint(h.Sum64(), 16), t.changed
}

// wireOrder is an order in a message.
type wireOrder struct {
	rollout.Order
	Age time.Duration `json:"age"`
}

// ordersAnswer is the answer of a watcher to a request for orders.
type ordersAnswer struct {
	Orders    []wireOrder          `json:"orders"`
	Following bool                 `json:"following"` // the watcher follows the store
	AsOfAge   time.Duration        `json:"as-of-age"` // it knows all orders that are older
	Base      mesh.SoftwareVersion `json:"base"`      // usual version of the service of the requester
	BaseKnown bool                 `json:"base-known"`
}

// answer returns the answer to a node of the given service.
func (r *rollouts) answer(service mesh.Service) ordersAnswer {
	now := time.Now()
	var a ordersAnswer
	r.orders.mu.Lock()
	for _, o := range r.orders.byService {
		a.Orders = append(a.Orders, wireOrder{o.Order, now.Sub(o.seen)})
	}
	r.orders.mu.Unlock()
	if at := r.storeAnswer(); !at.IsZero() && r.isWatcher() {
		a.Following, a.AsOfAge = true, now.Sub(at)
	}
	a.Base, a.BaseKnown = r.versions.base(service, now)
	return a
}

// serveOrders answers a request for orders, once the orders differ from those of the
// requester or the requested wait has passed.
func (r *rollouts) serveOrders(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	ms, err := strconv.ParseInt(q.Get("wait"), 10, 32)
	if err != nil || ms < 0 {
		http.Error(w, "wait is a number", http.StatusBadRequest)
		return
	}
	service := mesh.Service(q.Get("service"))
	if q.Has("version") {
		r.versions.record(mesh.NodeID(q.Get("node")), service, mesh.SoftwareVersion(q.Get("version")), time.Now())
	}
	d := min(time.Duration(ms)*time.Millisecond, ordersWait)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(d + readTimeout))
	if digest, changed := r.orders.digest(); digest == q.Get("known") {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-req.Context().Done():
		}
	}
	r.writeJSON(w, r.answer(service))
}

// followOrders keeps the orders up to date until ctx ends: it asks the watcher that this
// node follows, and a watcher gets them from the store.
func (r *rollouts) followOrders(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if r.isWatcher() {
			r.recordOwn(started)
		} else if err := r.askOrders(ctx); err != nil && ctx.Err() == nil {
			r.counters("orders_not_received", 1)
			r.log.Info("no roll-out orders received from a watcher", zap.Error(err))
		}
		if wait.For(ctx, ordersGap-time.Since(started)) != nil {
			return nil
		}
	}
	return nil
}

// recordOwn records what a watcher knows itself.
func (r *rollouts) recordOwn(now time.Time) {
	service := r.service()
	if v, ok := r.agent.version(); ok {
		r.versions.record(r.self, service, v, now)
	}
	r.orders.setAsOf(r.storeAnswer())
	base, ok := r.versions.base(service, now)
	r.agent.learn(base, ok)
}

// askOrders asks the watcher that this node follows.
func (r *rollouts) askOrders(ctx context.Context) error {
	m, ok := r.selector.choose(r.watchers(), time.Now())
	if !ok {
		return errNoWatcher
	}
	d := ordersWait
	if r.agent.held() {
		d = 0 // the answer, even without a new order, tells whether the endpoint may open
	}
	digest, _ := r.orders.digest()
	q := url.Values{
		"wait": {strconv.FormatInt(d.Milliseconds(), 10)}, "known": {digest},
		"node": {string(r.self)}, "service": {string(r.service())},
	}
	if v, ok := r.agent.version(); ok {
		q.Set("version", string(v))
	}
	sent := time.Now()
	reqCtx, cancel := context.WithTimeout(ctx, d+ordersGrace)
	defer cancel()
	b, err := r.exchange(reqCtx, m.Addr, wantOrders, q, nil)
	if err != nil {
		if ctx.Err() == nil {
			r.selector.startCooldown(m.ID, time.Now())
		}
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	var a ordersAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return fmt.Errorf("%s: decode orders: %w", m.ID, err)
	}
	for _, o := range a.Orders {
		r.recordOrder(o.Order, o.Age)
	}
	if a.Following {
		r.orders.setAsOf(sent.Add(-a.AsOfAge))
	}
	r.agent.learn(a.Base, a.BaseKnown)
	return nil
}
