package version

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// recheckLimit is how long a node that was paused waits for an answer
	// before it goes on with the version it holds, as a node cut off without a
	// pause does.
	recheckLimit = 5 * time.Second
	// heardLimit is how long a version that a peer told of is waited for. A
	// reachable peer repeats its version in every message.
	heardLimit = 10 * time.Second
)

// Readiness decides whether a node may serve: it must hold the highest version
// that its reachable peers and, if it answers, the platform told it of. A node
// that has heard from neither a ready peer nor the platform is not ready. Once
// ready, a node stays so until its process is paused.
type Readiness struct {
	ready   bool
	heard   bool         // a ready peer or the platform answered
	asked   bool         // the platform answered or failed to
	head    mesh.Version // highest version that the platform told of
	peers   mesh.Version // highest version that a peer told of
	peersAt time.Time    // time when that version was told last
	recheck time.Time    // end of the wait for an answer after a pause
}

// ObservePeer takes in the version of a peer. A peer that is not ready itself may
// hold less than the mesh, so its answer alone makes no node ready.
func (r *Readiness) ObservePeer(now time.Time, v mesh.Version, ready bool) {
	if v >= r.peers || now.Sub(r.peersAt) > heardLimit {
		r.peers, r.peersAt = v, now
	}
	r.heard = r.heard || ready
}

// ObservePlatform takes in the head of the platform.
func (r *Readiness) ObservePlatform(v mesh.Version) {
	r.head = max(r.head, v)
	r.heard, r.asked = true, true
}

// ObservePlatformFailure takes in that the platform was asked and did not answer.
func (r *Readiness) ObservePlatformFailure() { r.asked = true }

// ObservePause takes in that this process was paused until now. A node that was
// ready becomes so again when it has heard the present version, or after 5 s
// without an answer.
func (r *Readiness) ObservePause(now time.Time) {
	if !r.ready {
		return
	}
	r.ready, r.heard = false, false
	r.recheck = now.Add(recheckLimit)
}

// Ready reports whether a node that holds version v may serve. With no peers
// and an empty platform, v is 0.
func (r *Readiness) Ready(now time.Time, v mesh.Version) bool {
	if r.ready {
		return true
	}
	if !r.recheck.IsZero() && !now.Before(r.recheck) {
		r.ready = true
		return true
	}
	behind := v < r.head || v < r.peers && now.Sub(r.peersAt) <= heardLimit
	r.ready = r.heard && r.asked && !behind
	return r.ready
}
