package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// upstreamGrace is the wait for the response of a watcher beyond the time after
	// which it should respond.
	upstreamGrace = 250 * time.Millisecond
	// watcherCooldown is the time for which a watcher that did not respond is not asked
	// again. Membership detects a failed one in about this time.
	watcherCooldown = 4 * time.Second
)

// watcherSelector chooses the watcher that a node follows: one of its availability
// zone, or else any other one.
type watcherSelector struct {
	self mesh.NodeID
	zone mesh.AvailabilityZone

	mu          sync.Mutex
	cooldownEnd map[mesh.NodeID]time.Time // of watchers that did not respond
}

// choose returns the watcher to ask, or false if there is none.
func (u *watcherSelector) choose(watchers []member.Member, now time.Time) (member.Member, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.cooldownEnd {
		if !now.Before(t) {
			delete(u.cooldownEnd, id)
		}
	}
	var other member.Member
	found := false
	for _, m := range watchers {
		if _, cooling := u.cooldownEnd[m.ID]; cooling || m.ID == u.self {
			continue
		}
		if m.Zone == u.zone {
			return m, true
		}
		if !found {
			other, found = m, true
		}
	}
	return other, found
}

// startCooldown excludes id from the choice for watcherCooldown.
func (u *watcherSelector) startCooldown(id mesh.NodeID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cooldownEnd == nil {
		u.cooldownEnd = make(map[mesh.NodeID]time.Time)
	}
	u.cooldownEnd[id] = now.Add(watcherCooldown)
}

// fetchFromWatcher asks a watcher for a version above held. The configuration is nil if
// there was none within d.
func (n *Node) fetchFromWatcher(ctx context.Context, held mesh.Version, d time.Duration) (*platform.Config, error) {
	m, ok := n.watcherSelector.choose(n.peer.Watchers(), time.Now())
	if !ok {
		return nil, errNoWatcher
	}
	c, err := n.askWatcher(ctx, m.Addr, held, d)
	// A node without a configuration may ask a watcher that has started with it and does
	// not follow the store yet.
	if err != nil && ctx.Err() == nil && held > 0 {
		n.watcherSelector.startCooldown(m.ID, time.Now())
	}
	return c, err
}

// askWatcher is fetchFromWatcher for the watcher at addr. The node asks again right after
// a response, so one that cannot be the answer to this request is an error.
func (n *Node) askWatcher(ctx context.Context, addr mesh.Addr, held mesh.Version, d time.Duration) (*platform.Config, error) {
	q := url.Values{
		"after": {strconv.FormatUint(uint64(held), 10)},
		"wait":  {strconv.FormatInt(d.Milliseconds(), 10)},
	}
	start := time.Now()
	c, err := n.requestConfig(ctx, addr, wantNext, q, d+upstreamGrace)
	switch {
	case err != nil:
		return nil, err
	case c == nil && time.Since(start) < d/2:
		return nil, errors.New("the watcher did not wait for a version")
	case c != nil && c.Snapshot.Version <= held:
		return nil, fmt.Errorf("the watcher sent version %d, want one above %d", c.Snapshot.Version, held)
	}
	return c, nil
}
