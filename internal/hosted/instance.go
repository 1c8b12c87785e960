package hosted

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// instanceTracker tracks the current instance of the backend server of this VM. It
// orders heartbeats and leave messages, since a heartbeat may arrive after its sender
// has ended and a later start has reported.
type instanceTracker struct {
	id       mesh.Instance
	born     int64 // start time reported by the backend server, 0 if unknown
	sequence int64 // of the last heartbeat
	left     bool  // the instance has reported that it has left
	draining bool  // the last heartbeat reported that it is going to stop

	replaced backendStart // last start in whose place a health check found another instance

	// departed holds the last starts that have reported that they leave, oldest first,
	// whether or not they were known before.
	departed []backendStart
}

// maxDeparted limits the starts of one address that are remembered as departed. A
// heartbeat arrives seconds late at most, and a backend server takes seconds to start.
const maxDeparted = 4

// backendStart identifies one start of a backend server.
type backendStart struct {
	id   mesh.Instance
	born int64
}

// heartbeatStatus tells how a heartbeat relates to the known start of the backend
// server.
type heartbeatStatus uint8

const (
	heartbeatStale    heartbeatStatus = iota // older than the known state
	heartbeatRenewal                         // of the known start
	heartbeatNewStart                        // of a new start
)

// recordHeartbeat records b unless it is stale, and returns its status.
func (s *instanceTracker) recordHeartbeat(b platform.Heartbeat) heartbeatStatus {
	sameStart := b.Instance == s.id && (b.Born == s.born || s.born == 0)
	switch {
	case sameStart && s.left, sameStart && b.Sequence <= s.sequence, !sameStart && b.Born < s.born,
		s.hasDeparted(b.Instance, b.Born) && !(sameStart && b.Draining),
		!sameStart && s.replaced == backendStart{b.Instance, b.Born}:
		return heartbeatStale
	case sameStart:
		s.born, s.sequence, s.draining = b.Born, b.Sequence, b.Draining
		return heartbeatRenewal
	}
	*s = instanceTracker{id: b.Instance, born: b.Born, sequence: b.Sequence, draining: b.Draining, replaced: s.replaced, departed: s.departed}
	return heartbeatNewStart
}

// recordDeparture records that the start b leaves, and that no earlier start under its id
// runs any more.
func (s *instanceTracker) recordDeparture(b backendStart) {
	if s.hasDeparted(b.id, b.born) {
		return
	}
	s.departed = append(slices.Clone(s.departed), b)
	s.departed = s.departed[max(0, len(s.departed)-maxDeparted):]
}

// hasDeparted reports whether the start of id at the time born, or a later one under the
// same id, has departed.
func (s *instanceTracker) hasDeparted(id mesh.Instance, born int64) bool {
	return slices.ContainsFunc(s.departed, func(d backendStart) bool { return d.id == id && born <= d.born })
}

// continues reports whether the instance is known and has not reported that it leaves.
func (s *instanceTracker) continues() bool { return s.id != "" && !s.left && !s.draining }

// recordLeave records that the start id has left, also if it is not known: a process that
// has just started knows no instance. It reports whether the known one has left by it.
// Born is 0 if the message did not contain it; the start is then before now.
func (s *instanceTracker) recordLeave(id mesh.Instance, born int64, now time.Time) bool {
	departed := backendStart{id, born}
	switch {
	case born != 0:
	case id == s.id && s.born != 0:
		departed.born = s.born
	default:
		departed.born = now.UnixMilli()
	}
	s.recordDeparture(departed)
	if id != s.id || s.left || born != 0 && born < s.born {
		return false
	}
	s.left, s.born = true, departed.born
	return true
}

// recordHealthCheck records the instance that answered a health check and reports
// whether it was unknown. The answer does not tell a departed start from a later one under
// the same id, which shows itself by a heartbeat.
func (s *instanceTracker) recordHealthCheck(id mesh.Instance) bool {
	if id == s.id || slices.ContainsFunc(s.departed, func(d backendStart) bool { return d.id == id }) {
		return false
	}
	replaced := s.replaced
	if s.born != 0 {
		replaced = backendStart{s.id, s.born}
	}
	// The first heartbeat of this start reports its start time, which may be before that of
	// the replaced one if the clock was set back.
	*s = instanceTracker{id: id, replaced: replaced, departed: s.departed}
	return true
}
