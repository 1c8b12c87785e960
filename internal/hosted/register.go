package hosted

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// departureTimeout bounds the wait for the store before a departure is refused. The
	// backend server waits 1 s for the acknowledgement.
	departureTimeout = 800 * time.Millisecond
	// departureCallTimeout bounds one call for a departure, so that a lost response leaves
	// time for a second call within departureTimeout.
	departureCallTimeout = 350 * time.Millisecond
	// maxRowConflicts is the number of conflicts after which the row is read again.
	maxRowConflicts = 3
)

// registrationConfig holds the dependencies of a registration.
type registrationConfig struct {
	self       platform.NodeRow // without departures and version
	firstStart bool             // the whole system starts, so that there is no row
	find       func(ctx context.Context, addr mesh.Addr) (platform.NodeRow, error)
	put        func(context.Context, platform.NodeRow) (platform.Position, platform.NodeRow, error)
	remove     func(context.Context, platform.NodeRow) (platform.NodeRow, error)
	// onRead is called with the departures in the row that an earlier process has left,
	// before isRead reports that they are known, and onKnown after that.
	onRead  func([]platform.BackendStart)
	onKnown func()
	log     *zap.Logger
}

// registration owns the row of this node in the store. Other nodes find this one by it,
// and the starts of the backend server whose departure was acknowledged lie in it, which a
// kill of all processes must not undo. The row is written under the condition of its
// version, since a write without a response may take effect seconds later.
type registration struct {
	registrationConfig
	wake      chan struct{} // requests a write
	attempted chan struct{} // closed after the first attempt to read or write the row
	writing   chan struct{} // holds a value while the row is read or written

	mu       sync.Mutex
	known    bool                    // row is that of the store
	row      platform.NodeRow        // as last read or written
	departed []platform.BackendStart // to be kept in the row
	removed  bool                    // this node has left
	restores int                     // calls of restore
	changed  chan struct{}           // closed when row changes
}

func newRegistration(c registrationConfig) *registration {
	return &registration{
		registrationConfig: c, row: c.self, known: c.firstStart,
		wake: make(chan struct{}, 1), attempted: make(chan struct{}), writing: make(chan struct{}, 1), changed: make(chan struct{}),
	}
}

// run makes sure that there is a row and that it has all departures, until ctx is done. A
// process that was killed leaves its row, which its successor keeps.
func (r *registration) run(ctx context.Context) error {
	registered := false
	failures := 0
	for first := true; ctx.Err() == nil; first = false {
		err := r.update(ctx)
		if first {
			close(r.attempted)
		}
		delay := time.Duration(0) // until the next departure
		switch {
		case err != nil:
			if failures == 0 {
				r.log.Warn("failed to register node; retrying", zap.Error(err))
			}
			delay = backoff(failures)
			failures++
		case !registered:
			registered = true
			r.log.Info("node registered", zap.String("peer", string(r.self.Addr)))
			fallthrough
		default:
			failures = 0
		}
		if !r.awaitWake(ctx, delay) {
			return nil
		}
	}
	return nil
}

// awaitWake waits for a departure, for d at most unless it is 0, and reports whether ctx
// is not done.
func (r *registration) awaitWake(ctx context.Context, d time.Duration) bool {
	var timeout <-chan time.Time
	if d > 0 {
		timeout = time.After(d)
	}
	select {
	case <-ctx.Done():
		return false
	case <-timeout:
	case <-r.wake:
	}
	return true
}

// update reads the row unless it is known, and writes it if it lacks something.
func (r *registration) update(ctx context.Context) error {
	release, err := r.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	for conflicts := 0; conflicts < maxRowConflicts; {
		if err := r.read(ctx); err != nil {
			return err
		}
		next, restores, needed := r.next()
		if !needed {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, r.timeout())
		ver, current, err := r.put(callCtx, next)
		cancel()
		switch {
		case errors.Is(err, platform.ErrConflict):
			conflicts++
			r.adopt(current)
		case err != nil:
			return err
		default:
			next.Ver = ver
			if !r.setWritten(next, restores) {
				continue // the store was restored meanwhile
			}
			r.log.Info("row of this node written", zap.String("peer", string(next.Addr)), zap.Any("departed", next.Departed), zap.Uint64("version", uint64(ver)))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = false
	return fmt.Errorf("%w %d times in a row", platform.ErrConflict, maxRowConflicts)
}

// acquire waits until no other call for the row is in flight.
func (r *registration) acquire(ctx context.Context) (release func(), err error) {
	select {
	case r.writing <- struct{}{}:
		return func() { <-r.writing }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (r *registration) read(ctx context.Context) error {
	r.mu.Lock()
	known := r.known
	r.mu.Unlock()
	if known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	row, err := r.find(ctx, r.self.Addr)
	if err != nil {
		return err
	}
	r.adopt(row)
	return nil
}

// timeout returns the timeout of a call, which is shorter if a backend server waits.
func (r *registration) timeout() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing()) > 0 {
		return departureCallTimeout
	}
	return callTimeout
}

// adopt makes row, which the store has, the known one.
func (r *registration) adopt(row platform.NodeRow) {
	r.onRead(row.Departed)
	r.set(row)
	r.onKnown()
}

func (r *registration) set(row platform.NodeRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setLocked(row)
}

func (r *registration) setLocked(row platform.NodeRow) {
	r.row, r.known = row, true
	close(r.changed)
	r.changed = make(chan struct{})
}

// setWritten is set for a row that was written after the given number of restores. It
// reports whether there was none since.
func (r *registration) setWritten(row platform.NodeRow, restores int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restores != restores {
		return false
	}
	r.setLocked(row)
	return true
}

// missing returns the departures that the row lacks. r.mu must be held.
func (r *registration) missing() []platform.BackendStart {
	return slices.DeleteFunc(slices.Clone(r.departed), func(d platform.BackendStart) bool { return slices.Contains(r.row.Departed, d) })
}

// next returns the row to write, the number of restores so far, and whether a write is
// needed.
func (r *registration) next() (platform.NodeRow, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := r.missing()
	next := r.self
	next.Ver = r.row.Ver
	next.Departed = slices.Concat(r.row.Departed, missing)
	next.Departed = next.Departed[max(0, len(next.Departed)-maxDeparted):]
	return next, r.restores, len(missing) > 0 || r.row.Ver == 0 && !r.removed
}

// restore records that the store was restored from a copy, which may lack the row or a
// departure that it had. A write shows what the copy has, since a conflict returns the
// current row.
func (r *registration) restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return
	}
	for _, d := range r.row.Departed {
		if !slices.Contains(r.departed, d) {
			r.departed = append(r.departed, d)
		}
	}
	r.departed = r.departed[max(0, len(r.departed)-maxDeparted):]
	r.row = r.self
	r.restores++
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// isRead reports whether the departures that earlier processes have acknowledged are
// known.
func (r *registration) isRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// keep waits until the departure d lies in the store, so that it can be acknowledged.
func (r *registration) keep(ctx context.Context, d platform.BackendStart) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	r.mu.Lock()
	if !slices.Contains(r.departed, d) {
		r.departed = append(r.departed, d)
		r.departed = r.departed[max(0, len(r.departed)-maxDeparted):]
	}
	r.mu.Unlock()
	for {
		r.mu.Lock()
		stored, changed := slices.Contains(r.row.Departed, d), r.changed
		r.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case r.wake <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Newf(fault.PlatformUnavailable, "the departure of %q is not in the store: %w", d.Instance, ctx.Err())
		}
	}
}

// leave removes the row, so that other nodes no longer try the address.
func (r *registration) leave(ctx context.Context) error {
	release, err := r.acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	r.mu.Lock()
	r.removed = true
	row, known := r.row, r.known
	r.mu.Unlock()
	if !known {
		return errors.New("the row of this node was never read")
	}
	if row.Ver == 0 {
		return nil
	}
	if _, err := r.remove(ctx, row); err != nil {
		return err
	}
	r.set(platform.NodeRow{Addr: row.Addr})
	return nil
}
