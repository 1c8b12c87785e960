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
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// wantShares is the value of mesh.WantHeader that requests shares of the limits of
	// client accounts.
	wantShares = "shares"
	// shareTick is the time between two checks whether a request for shares is due.
	shareTick = 50 * time.Millisecond
	// shareTimeout bounds a request for shares.
	shareTimeout = 500 * time.Millisecond
	// shareSweepInterval is the time between two removals of unused accounts.
	shareSweepInterval = 10 * time.Second
	// maxShareBytes bounds a request for shares and its response. A demand has about 120
	// bytes.
	maxShareBytes = 2 << 20
	// maxShareConnections is the maximum number of connections to one owner.
	maxShareConnections = 4
	// rowsUseTime is the time after the start for which the number of node rows counts.
	// The view may miss nodes until then; later, rows of lost nodes only lower the limits.
	rowsUseTime = 30 * time.Second
	// viewTimePerNode is the least time between two views for each node. A view of 2,500
	// nodes takes 2 ms to build.
	viewTimePerNode = 100 * time.Microsecond
	// refusedTime is the time for which a node that refused a connection counts as down.
	// Its process has ended, which the member list finds out later.
	refusedTime = 4 * time.Second
)

// accountQuotas exchanges shares of the limits of client accounts with other nodes.
type accountQuotas struct {
	self      mesh.NodeID
	token     string
	started   time.Time
	snapshot  func() *config.Snapshot
	rows      func() int // number of node rows
	limiter   *quota.ShareLimiter
	ledger    *quota.ShareLedger
	transport *hop.Transport
	log       *zap.Logger
	wake      chan struct{}
	members   atomic.Pointer[[]member.Member]
	served    atomic.Int64 // requests of other nodes

	// The fields below belong to run.
	limited       *config.Snapshot // last configuration that was examined for limits
	enabled       bool             // limited has an account with a rate
	viewed        *[]member.Member // members of the current view
	viewedAt      time.Time        // when the view was built
	viewChanges   bool             // refused has changed since
	addrs         map[mesh.NodeID]mesh.Addr
	refused       map[mesh.NodeID]refusal
	fallback      int // accounts in fallback when it was last logged
	sent, failed  atomic.Int64
	bytesReceived atomic.Int64
	bytesSent     atomic.Int64
}

// refusal records that the process of a node refused a connection.
type refusal struct {
	incarnation uint64
	at          time.Time
}

func (n *Node) newAccountQuotas() *accountQuotas {
	set := n.nodeSettings.Load()
	b := quota.Bounds{Window: set.Quota.Window, Overage: set.Quota.Overage, Slack: set.Quota.Slack}
	a := &accountQuotas{
		self: set.ID, token: peer.HopToken(meshKey(set)), started: n.started, snapshot: n.snapshot,
		rows:    func() int { return int(n.rows.count.Load()) },
		limiter: quota.NewShareLimiter(b, n.started), ledger: quota.NewShareLedger(b, n.started),
		transport: hop.New(hop.Config{MaxConnsPerHost: maxShareConnections, DialTimeout: hopDialTimeout, IdleTimeout: hopIdleTimeout}),
		log:       n.log, wake: make(chan struct{}, 1), refused: make(map[mesh.NodeID]refusal),
	}
	a.registerMetrics(n.metrics)
	return a
}

func (a *accountQuotas) registerMetrics(r *metric.Registry) {
	e := &a.limiter.Events
	r.Gauge("account_quota", func() any {
		return map[string]int64{
			"granted": e.Granted.Load(), "passed": e.Passed.Load(), "refused": e.Refused.Load(), "fallback": e.Fallback.Load(),
			"fallback_refused": e.FallbackRefused.Load(), "refunded": e.Refunded.Load(), "late": e.Late.Load(),
			"requests": a.sent.Load(), "requests_failed": a.failed.Load(), "requests_served": a.served.Load(),
			"bytes_sent": a.bytesSent.Load(), "bytes_received": a.bytesReceived.Load(),
		}
	})
}

// requestNow makes run request shares at once.
func (a *accountQuotas) requestNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// shareResult is the outcome of a request for shares.
type shareResult struct {
	send     quota.ShareSend
	response quota.ShareResponse
	err      error
}

// run requests shares until ctx ends. Requests run concurrently, so that a slow owner
// delays only its own responses.
func (a *accountQuotas) run(ctx context.Context) error {
	tick, sweep := time.NewTicker(shareTick), time.NewTicker(shareSweepInterval)
	defer tick.Stop()
	defer sweep.Stop()
	results := make(chan shareResult)
	running := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case r := <-results:
			running--
			a.finish(r)
			continue
		case now := <-sweep.C:
			a.sweep(now)
			continue
		case <-a.wake:
		case <-tick.C:
		}
		if !a.active() {
			continue
		}
		now := time.Now()
		a.updateView(now)
		due := a.limiter.Due(now)
		for _, id := range a.ledger.Probes(now) {
			due = append(due, a.limiter.Probe(id, now))
		}
		for _, s := range due {
			running++
			addr := a.addrs[s.Owner]
			go func() {
				response, err := a.request(ctx, s, addr)
				results <- shareResult{s, response, err}
			}()
		}
	}
	for range running {
		<-results
	}
	return nil
}

// active reports whether the configuration in force limits an account.
func (a *accountQuotas) active() bool {
	if s := a.snapshot(); s != a.limited {
		a.limited = s
		a.enabled = a.enabled || slices.ContainsFunc(s.ClientAccounts, func(p config.AccountPolicy) bool { return p.Rate > 0 })
	}
	return a.enabled
}

// updateView passes changes of the members to the limiter and the ledger.
func (a *accountQuotas) updateView(now time.Time) {
	for id, r := range a.refused {
		if now.Sub(r.at) >= refusedTime {
			delete(a.refused, id)
			a.viewChanges = true
		}
	}
	ms := a.members.Load()
	if ms == nil || ms == a.viewed && !a.viewChanges || now.Sub(a.viewedAt) < time.Duration(len(*ms))*viewTimePerNode {
		return
	}
	a.viewed, a.viewChanges, a.viewedAt = ms, false, now
	a.addrs = make(map[mesh.NodeID]mesh.Addr, len(*ms))
	view := slices.Clone(*ms)
	for i := range view {
		m := &view[i]
		a.addrs[m.ID] = m.Addr
		if r, ok := a.refused[m.ID]; ok && m.Status == member.Alive && m.Incarnation == r.incarnation {
			m.Status = member.Suspect
		}
	}
	atLeast := 0
	if now.Sub(a.started) < rowsUseTime {
		atLeast = a.rows()
	}
	v := quota.NewView(a.self, view, atLeast)
	a.limiter.SetView(v)
	a.ledger.SetView(v, now)
}

// finish applies the outcome of a request.
func (a *accountQuotas) finish(r shareResult) {
	now := time.Now()
	a.sent.Add(1)
	if r.err == nil {
		a.limiter.Apply(r.send, r.response, now)
	} else {
		a.failed.Add(1)
		if r.send.Request.Probe == 0 { // a probe of a node that has ended fails as expected
			a.log.Info("failed to request shares of account limits", zap.String("owner", string(r.send.Owner)), zap.Error(r.err))
		}
		if errors.Is(r.err, syscall.ECONNREFUSED) {
			a.recordRefusal(r.send.Owner, now)
		}
		a.limiter.Failed(r.send, now)
	}
	a.logFallback(now)
}

// recordRefusal records that the process of node id has ended.
func (a *accountQuotas) recordRefusal(id mesh.NodeID, now time.Time) {
	for i, ms := 0, *a.viewed; i < len(ms); i++ {
		if ms[i].ID == id {
			a.refused[id] = refusal{ms[i].Incarnation, now}
			a.viewChanges = true
		}
	}
}

// logFallback logs when accounts begin or cease to use rate/nodes.
func (a *accountQuotas) logFallback(now time.Time) {
	n := a.limiter.FallbackAccounts(now)
	switch {
	case n > 0 && a.fallback == 0:
		a.log.Warn("owners of account limits do not answer; the rate is divided by the number of nodes", zap.Int("accounts", n))
	case n == 0 && a.fallback > 0:
		a.log.Info("owners of account limits answer again")
	}
	a.fallback = n
}

func (a *accountQuotas) sweep(now time.Time) {
	a.limiter.Sweep(now)
	a.ledger.Sweep(now)
}

// request sends s to its owner at addr.
func (a *accountQuotas) request(ctx context.Context, s quota.ShareSend, addr mesh.Addr) (r quota.ShareResponse, err error) {
	if s.Owner == a.self {
		return a.ledger.Grant(time.Now(), s.Request, a.limitOf), nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	b, err := json.Marshal(s.Request)
	if err != nil {
		return r, fmt.Errorf("encode request for shares: %w", err)
	}
	a.bytesSent.Add(int64(len(b)))
	resp, _, err := a.transport.RoundTrip(ctx, &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: string(addr), Path: "/"},
		Header:        http.Header{mesh.HopHeader: {a.token}, mesh.WantHeader: {wantShares}, "User-Agent": nil},
		Body:          io.NopCloser(bytes.NewReader(b)),
		ContentLength: int64(len(b)),
	})
	if err != nil {
		return r, fmt.Errorf("request shares: %w", err)
	}
	defer resp.Body.Close()
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxShareBytes))
	if err != nil {
		return r, fmt.Errorf("read shares: %w", err)
	}
	a.bytesReceived.Add(int64(len(b)))
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("request shares: unexpected status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode shares: %w", err)
	}
	return r, nil
}

// limitOf returns the limit of account name in the configuration in force.
func (a *accountQuotas) limitOf(name mesh.ClientAccount) (quota.Limit, bool) {
	s := a.snapshot()
	if s == nil {
		return quota.Limit{}, false
	}
	p := s.Account(name)
	if p == nil || p.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: p.Rate, Burst: p.Burst}, true
}

// serve responds to a request of another node for shares.
func (a *accountQuotas) serve(w http.ResponseWriter, r *http.Request) {
	a.served.Add(1)
	var q quota.ShareRequest
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxShareBytes))
	if err == nil {
		err = json.Unmarshal(b, &q)
	}
	if err == nil {
		err = q.Check()
	}
	if err != nil {
		a.log.Warn("request for shares is not valid", zap.Error(err))
		http.Error(w, "request for shares is not valid", http.StatusBadRequest)
		return
	}
	response := a.ledger.Grant(time.Now(), &q, a.limitOf)
	if diverges := a.ledger.Diverges(&q); diverges || q.Probe != 0 {
		a.limiter.Received(&q, diverges, time.Now())
		a.requestNow()
	}
	b, err = json.Marshal(response)
	if err != nil {
		a.log.Error("failed to encode shares", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil // not used by the requester
	_, _ = w.Write(b)                                         // after an error the requester asks again
}
