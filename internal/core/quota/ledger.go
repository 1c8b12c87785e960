package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// LeaseDuration is the lifetime of a grant.
	LeaseDuration = 30 * time.Second
	// minShareFraction is the smallest fraction of its fair share that a node
	// is granted while others still hold more than theirs. It bounds the
	// overshoot.
	minShareFraction = 0.25
	// steadyFraction is the fraction of a rate up to which its nodes need to
	// report demand only occasionally. Above it, shares have to follow the
	// demand.
	steadyFraction = 0.5
	// spareFraction is the fraction of the unclaimed rate that is granted
	// beyond the demands. The rest is for nodes that have not reported demand
	// yet.
	spareFraction = 0.5
)

// Demand is the demand that one node reports to an owner.
type Demand struct {
	Key    Key
	Rate   float64 // requests per second of the whole mesh
	Wanted float64 // requests per second that arrive at the node, denied ones included
}

// Grant is the share of a rate that a node may use until its lease ends.
type Grant struct {
	Key    Key
	Share  float64 // requests per second
	Steady bool    // total demand is well below the rate
}

// Ledger records the grants of the limited routes that a node owns. It is safe
// for concurrent use; its zero value is empty.
//
// The shares granted for one route add up to at most its rate while every node
// renews, and to at most 1+minShareFraction times the rate while new nodes
// appear. After a change of owner, the old and the new grants may add up to
// twice the rate for one LeaseDuration.
type Ledger struct {
	mu     sync.Mutex
	routes map[Key]map[mesh.NodeID]*holder
}

// holder is the demand and the grant of one node.
type holder struct {
	wanted    float64
	share     float64
	expiresAt time.Time
}

// Allocate returns the grant of node from. A node without demand releases its
// grant.
func (l *Ledger) Allocate(now time.Time, from mesh.NodeID, d Demand) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	hs := l.holders(now, d.Key)
	if d.Wanted <= 0 {
		delete(hs, from)
		return Grant{Key: d.Key}
	}
	h := hs[from]
	if h == nil {
		h = &holder{}
		hs[from] = h
	}
	h.wanted, h.expiresAt = d.Wanted, now.Add(LeaseDuration)
	fair := fairShare(hs, h, d.Rate)
	free := d.Rate
	for _, o := range hs {
		if o != h {
			free -= o.share
		}
	}
	h.share = max(min(fair, free), min(minShareFraction*fair, free+minShareFraction*d.Rate), 0)
	wanted := 0.0
	for _, o := range hs {
		wanted += o.wanted
	}
	return Grant{Key: d.Key, Share: h.share, Steady: wanted <= steadyFraction*d.Rate}
}

// holders returns the holders of k after removing those whose lease has ended.
func (l *Ledger) holders(now time.Time, k Key) map[mesh.NodeID]*holder {
	if l.routes == nil {
		l.routes = make(map[Key]map[mesh.NodeID]*holder)
	}
	hs := l.routes[k]
	if hs == nil {
		hs = make(map[mesh.NodeID]*holder)
		l.routes[k] = hs
	}
	for id, h := range hs {
		if !now.Before(h.expiresAt) {
			delete(hs, id)
		}
	}
	return hs
}

// fairShare returns the max-min fair share of h: no node gets more than it
// wants while another gets less than it wants. Part of the unclaimed rate is
// divided evenly, so that each node has headroom for rising demand.
func fairShare(hs map[mesh.NodeID]*holder, h *holder, rate float64) float64 {
	wants := make([]float64, 0, len(hs))
	for _, o := range hs {
		wants = append(wants, o.wanted)
	}
	slices.SortFunc(wants, cmp.Compare[float64])
	left := rate
	for i, w := range wants {
		level := left / float64(len(wants)-i)
		if w >= level {
			return min(h.wanted, level)
		}
		left -= w
	}
	return h.wanted + spareFraction*left/float64(len(wants))
}

// RevokeNode removes the grants of node id, which is dead or has left.
func (l *Ledger) RevokeNode(id mesh.NodeID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, hs := range l.routes {
		delete(hs, id)
	}
}

// Sweep removes routes without holders and returns the number of routes left.
func (l *Ledger) Sweep(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.routes {
		if len(l.holders(now, k)) == 0 {
			delete(l.routes, k)
		}
	}
	return len(l.routes)
}
