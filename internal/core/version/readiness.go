package version

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// recheckTimeout is how long a node that was paused waits for an answer
	// before it continues with the version it holds, like a node that was cut
	// off without a pause.
	recheckTimeout = 5 * time.Second
	// peerVersionTTL is how long a node waits for a version that a peer
	// reported. A reachable peer repeats its version in every message.
	peerVersionTTL = 10 * time.Second
)

// Readiness decides whether a node may serve: it must hold the highest version
// reported by its reachable peers and, if it answers, by the platform. A node
// without an answer from a ready peer or the platform is not ready. Once ready,
// a node remains ready until its process is paused.
type Readiness struct {
	ready           bool
	answered        bool         // a ready peer or the platform answered
	platformAsked   bool         // the platform answered or failed to answer
	platformVersion mesh.Version // highest version reported by the platform
	peerVersion     mesh.Version // highest version reported by a peer
	peerVersionAt   time.Time    // time of the last report of that version
	recheckDeadline time.Time    // end of the wait for an answer after a pause
}

// ObservePeer records the version of a peer. A peer that is not ready may hold
// an older version than the mesh, so its answer alone makes no node ready.
func (r *Readiness) ObservePeer(now time.Time, v mesh.Version, ready bool) {
	if v >= r.peerVersion || now.Sub(r.peerVersionAt) > peerVersionTTL {
		r.peerVersion, r.peerVersionAt = v, now
	}
	r.answered = r.answered || ready
}

// ObservePlatform records the head version of the platform.
func (r *Readiness) ObservePlatform(v mesh.Version) {
	r.platformVersion = max(r.platformVersion, v)
	r.answered, r.platformAsked = true, true
}

// ObservePlatformFailure records that the platform did not answer a request.
func (r *Readiness) ObservePlatformFailure() { r.platformAsked = true }

// ObservePause records that this process was paused until now. A node that was
// ready becomes ready again when an answer confirms the version it holds, or
// after 5 s without an answer.
func (r *Readiness) ObservePause(now time.Time) {
	if !r.ready {
		return
	}
	r.ready, r.answered = false, false
	r.recheckDeadline = now.Add(recheckTimeout)
}

// Ready reports whether a node that holds version v may serve. With no peers
// and an empty platform, v is 0.
func (r *Readiness) Ready(now time.Time, v mesh.Version) bool {
	if r.ready {
		return true
	}
	if !r.recheckDeadline.IsZero() && !now.Before(r.recheckDeadline) {
		r.ready = true
		return true
	}
	behind := v < r.platformVersion || v < r.peerVersion && now.Sub(r.peerVersionAt) <= peerVersionTTL
	r.ready = r.answered && r.platformAsked && !behind
	return r.ready
}
