package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/rollout"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// decideInterval is the time between two decisions on a roll-out.
	decideInterval = 100 * time.Millisecond
	// statusTimeout bounds a call for the status.
	statusTimeout = 1500 * time.Millisecond
	// statusRetry is the wait before a failed call is repeated.
	statusRetry = 150 * time.Millisecond
)

// deciders decide on the roll-outs of the services whose gates report to this node.
type deciders struct {
	r *rollouts

	mu        sync.Mutex
	byService map[mesh.Service]*serviceDecider
	created   chan *serviceDecider
}

// serviceDecider is a decider and the status of its order in the store.
type serviceDecider struct {
	order    rollout.Order // as it was first known
	replaced chan struct{} // closed when a later order replaces the order

	mu        sync.Mutex // guards the fields below
	decider   *rollout.Decider
	id        rollout.OrderID // last known one of order
	stored    bool            // the final phase is in the store as of storedEra
	storedEra platform.Era
}

func newDeciders(r *rollouts) *deciders {
	return &deciders{r: r, byService: make(map[mesh.Service]*serviceDecider), created: make(chan *serviceDecider, 16)}
}

// serveReport answers the report of a gate of another node with its directive.
func (r *rollouts) serveReport(w http.ResponseWriter, req *http.Request) {
	var rep rollout.Report
	b, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxRolloutBytes))
	if err == nil {
		err = json.Unmarshal(b, &rep)
	}
	if err != nil || rep.Node == "" || rep.Order.Target == "" {
		http.Error(w, "want the report of a gate", http.StatusBadRequest)
		return
	}
	r.writeJSON(w, r.deciders.record(rep))
}

// record records a report and returns the directive for its gate.
func (ds *deciders) record(rep rollout.Report) rollout.Directive {
	ds.r.recordOrder(rep.Order, rep.OrderAge)
	s := ds.of(rep.Order, rep.OrderAge)
	if s == nil {
		return rollout.Directive{} // of an earlier order: no requests for its target
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.decider.Record(time.Now(), rep)
	d.Stored, d.Era = s.stored, uint64(s.storedEra)
	return d
}

// of returns the decider of an order, which is created if the order is new, or nil if the
// order is not the last one that is known.
func (ds *deciders) of(o rollout.Order, age time.Duration) *serviceDecider {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	last, ok := ds.r.orders.of(o.Service)
	if !ok || !last.Same(o) {
		return nil
	}
	s := ds.byService[o.Service]
	if s != nil && s.is(last.Order) {
		return s
	}
	if s != nil {
		close(s.replaced)
	}
	now := time.Now()
	s = &serviceDecider{order: o, id: last.ID, replaced: make(chan struct{}), decider: rollout.New(rollout.Config{Order: o, Began: now.Add(-age), Bounds: ds.r.bounds}, now)}
	ds.byService[o.Service] = s
	select {
	case ds.created <- s:
	default: // it never decides, and its gates turn to another node
		ds.r.log.Error("too many roll-outs at once", zap.String("service", string(o.Service)))
	}
	return s
}

// is reports whether o is the order of s.
func (s *serviceDecider) is(o rollout.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.order
	own.ID = s.id
	if !own.Same(o) {
		return false
	}
	s.id = max(s.id, o.ID)
	return true
}

// run decides until ctx ends.
func (ds *deciders) run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-ds.created:
			ds.r.log.Info("deciding on a roll-out", zap.String("service", string(s.order.Service)),
				zap.String("target", string(s.order.Target)), zap.Uint64("order", uint64(s.order.ID)))
			sctx, cancel := context.WithCancel(ctx)
			running.Go(func() { ds.decide(sctx, s); cancel() })
			running.Go(func() { ds.keepStatus(sctx, s) })
		}
	}
}

// decide advances s until a later order replaces it or ctx ends.
func (ds *deciders) decide(ctx context.Context, s *serviceDecider) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.replaced:
			return
		case <-ticker.C:
		}
		var ids []mesh.NodeID
		for _, m := range ds.r.members() {
			if m.Status == member.Alive && m.Service == s.order.Service && m.Endpoint != member.NoEndpoint {
				ids = append(ids, m.ID)
			}
		}
		s.mu.Lock()
		s.decider.SetMembers(ids)
		s.decider.Tick(time.Now())
		left := time.Until(s.decider.Deadline())
		changes := s.decider.Changes()
		s.mu.Unlock()
		for _, c := range changes {
			ds.logChange(s.order, c, left)
		}
	}
}

func (ds *deciders) logChange(o rollout.Order, c rollout.Change, left time.Duration) {
	ds.r.counters("phase_"+string(c.To), 1)
	ds.r.log.Info("roll-out "+string(c.To), zap.String("service", string(o.Service)), zap.String("target", string(o.Target)),
		zap.Uint64("order", uint64(o.ID)), zap.String("from", string(c.From)), zap.String("reason", c.Reason),
		zap.Stringer("figures", c.Figures), zap.Uint64("requests", c.Totals.Sent), zap.Uint64("exposed", c.Totals.Exposed),
		zap.Int("target_endpoints", c.Target), zap.Int("old_endpoints", c.Old), zap.Duration("left", left))
}

// keepStatus keeps the status in the store equal to the phase until ctx ends. The store may
// be restored from a copy without the status after the roll-out has ended.
func (ds *deciders) keepStatus(ctx context.Context, s *serviceDecider) {
	var st platform.RolloutStatus
	var era platform.Era // in which st was read or written
	read := false
	for ctx.Err() == nil {
		if e := ds.r.era(); e != era {
			era, read = e, false
		}
		var err error
		if !read {
			if st, err = ds.readStatus(ctx, s); err == nil {
				read = true
			}
		} else if want := s.due(st); want != "" {
			st, read, err = ds.putStatus(ctx, s, st, want, era)
		}
		switch {
		case err == nil && read && s.setStored(st, era):
			ds.r.log.Info("roll-out status stored", zap.String("service", string(s.order.Service)), zap.String("phase", string(st.Phase)), zap.Uint64("era", uint64(era)))
		case err != nil && ctx.Err() == nil:
			ds.r.counters("status_failed", 1)
			ds.r.log.Warn("the roll-out status could not be read or written", zap.String("service", string(s.order.Service)), zap.Error(err))
		}
		d := decideInterval
		if err != nil {
			d = statusRetry
		}
		_ = wait.For(ctx, d) // the loop checks ctx
	}
}

// isOwn reports whether st is about the order of s. s.mu must be held.
func (s *serviceDecider) isOwn(st platform.RolloutStatus) bool {
	id := rollout.OrderID(st.Order)
	switch {
	case id == s.id:
		return true
	case id.Era() == s.id.Era() || st.Target != s.order.Target:
		return false
	}
	// The order is in the copy, or the node that wrote the status has read it in another
	// era. A status that was written before the restoration may be of an earlier order for
	// the same version.
	return id.Ver() == s.id.Ver() || uint64(st.Era) >= max(id.Era(), s.id.Era())
}

// due returns the phase to be written in place of st, or "" if there is none. A final phase
// stays, and so does the status of a later order.
func (s *serviceDecider) due(st platform.RolloutStatus) platform.RolloutPhase {
	want := s.status()
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.isOwn(st)
	if own && (isFinal(st.Phase) || st.Phase == want) || !own && st.Order > uint64(s.id) {
		return ""
	}
	return want
}

// setStored records that st is in the store as of era. It reports whether that makes the
// final phase a stored one.
func (s *serviceDecider) setStored(st platform.RolloutStatus, era platform.Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isFinal(st.Phase) || !s.isOwn(st) || s.stored && s.storedEra == era {
		return false
	}
	s.stored, s.storedEra = true, era
	return true
}

func isFinal(p platform.RolloutPhase) bool {
	return p == platform.RolloutCompleted || p == platform.RolloutRolledBack
}

// status returns the phase that the operator should read, or "" if another decider writes
// it.
func (s *serviceDecider) status() platform.RolloutPhase {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.decider.Acts() {
		return ""
	}
	switch s.decider.Phase() {
	case rollout.Completed:
		return platform.RolloutCompleted
	case rollout.RolledBack:
		return platform.RolloutRolledBack
	}
	return platform.RolloutRunning
}

// adopt makes the final phase in the store that of the decider. The store has the last
// word: what the operator has read stays true.
func (ds *deciders) adopt(s *serviceDecider, st platform.RolloutStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isOwn(st) || !isFinal(st.Phase) {
		return
	}
	p := rollout.RolledBack
	if st.Phase == platform.RolloutCompleted {
		p = rollout.Completed
	}
	if before := s.decider.Phase(); before.Final() && before != p {
		ds.r.log.Error("the status of a roll-out differs from the decision", zap.String("service", string(s.order.Service)),
			zap.String("decision", string(before)), zap.String("status", string(st.Phase)))
	}
	s.decider.Adopt(time.Now(), p)
}

func (ds *deciders) readStatus(ctx context.Context, s *serviceDecider) (platform.RolloutStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := ds.r.readStatus(ctx, s.order.Service)
	if err == nil {
		ds.adopt(s, st)
	}
	return st, err
}

// putStatus writes the phase want in place of st, which was read in the given era. It
// returns the status in the store, and whether that is known.
func (ds *deciders) putStatus(ctx context.Context, s *serviceDecider, st platform.RolloutStatus, want platform.RolloutPhase, era platform.Era) (platform.RolloutStatus, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s.mu.Lock()
	next := platform.RolloutStatus{Service: s.order.Service, Target: s.order.Target, Phase: want, Order: uint64(s.id), Era: era, Ver: st.Ver}
	s.mu.Unlock()
	ver, current, err := ds.r.writeStatus(ctx, next)
	switch {
	case errors.Is(err, platform.ErrConflict):
		ds.r.counters("status_conflicts", 1)
		ds.adopt(s, current)
		return current, current.Ver > 0, nil
	case err != nil:
		return st, true, err // the write may have taken effect, which a conflict shows
	}
	ds.r.counters("status_written", 1)
	next.Ver = ver
	return next, ver > 0, nil
}
