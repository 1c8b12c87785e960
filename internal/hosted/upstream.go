package hosted

import (
	"context"
	"net/url"
	"strconv"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// upstreamGrace is the wait for the answer of a watcher beyond the time after
	// which it is to answer.
	upstreamGrace = 250 * time.Millisecond
	// upstreamRest is the time for which a watcher that did not answer is not asked.
	// Membership finds a failed one out in about this time.
	upstreamRest = 4 * time.Second
)

// upstreams chooses the watcher that a node follows: that of its availability zone, or
// else any other one.
type upstreams struct {
	self mesh.NodeID
	zone mesh.AvailabilityZone

	mu    sync.Mutex
	until map[mesh.NodeID]time.Time // end of the rest of watchers that did not answer
}

// choose returns the watcher to ask, or false if there is none.
func (u *upstreams) choose(watchers []member.Member, now time.Time) (member.Member, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, t := range u.until {
		if !now.Before(t) {
			delete(u.until, id)
		}
	}
	var other member.Member
	found := false
	for _, m := range watchers {
		if _, rests := u.until[m.ID]; rests || m.ID == u.self {
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

// rest has id not asked for a while.
func (u *upstreams) rest(id mesh.NodeID, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = make(map[mesh.NodeID]time.Time)
	}
	u.until[id] = now.Add(upstreamRest)
}

// fromWatcher asks a watcher for a version above held. It is nil if there was none
// within d.
func (n *Node) fromWatcher(ctx context.Context, held mesh.Version, d time.Duration) (*platform.Config, error) {
	m, ok := n.upstreams.choose(n.peer.Watchers(), time.Now())
	if !ok {
		return nil, errNoWatcher
	}
	q := url.Values{
		"after": {strconv.FormatUint(uint64(held), 10)},
		"wait":  {strconv.FormatInt(d.Milliseconds(), 10)},
	}
	c, err := n.askPeer(ctx, m.Addr, wantNext, q, d+upstreamGrace)
	if err != nil && ctx.Err() == nil {
		n.upstreams.rest(m.ID, time.Now())
	}
	return c, err
}
