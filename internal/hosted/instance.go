package hosted

import (
	"cmp"
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

	replaced platform.BackendStart // last start in whose place a health check found another instance

	// reassigned is the instance that was known when the settings named another service or
	// address. A heartbeat names its service and a health check does not.
	reassigned mesh.Instance

	// departed holds the last starts that have reported that they leave, oldest first,
	// whether or not they were known before.
	departed []platform.BackendStart
}

// maxDeparted limits the starts of one address that are remembered as departed. A
// heartbeat arrives seconds late at most, and a backend server takes seconds to start.
const maxDeparted = 4

// heartbeatStatus tells how a heartbeat relates to the known start of the backend
// server.
type heartbeatStatus uint8

const (
	heartbeatStale    heartbeatStatus = iota // older than the known state
	heartbeatRenewal                         // of the known start
	heartbeatNewStart                        // of a new start
)

// recordHeartbeat records b unless it is stale, and returns its status. A start that
// reports that it drains departs, also by a stale heartbeat, and none of its later
// heartbeats makes it available again.
func (s *instanceTracker) recordHeartbeat(b platform.Heartbeat) heartbeatStatus {
	status := s.orderHeartbeat(b)
	if b.Draining {
		s.recordDeparture(platform.BackendStart{Instance: b.Instance, Born: b.Born})
	}
	return status
}

func (s *instanceTracker) orderHeartbeat(b platform.Heartbeat) heartbeatStatus {
	sameStart := b.Instance == s.id && (b.Born == s.born || s.born == 0)
	switch {
	case sameStart && s.left, sameStart && b.Sequence <= s.sequence, !sameStart && b.Born < s.born,
		s.hasDeparted(b.Instance, b.Born) && (!sameStart || !b.Draining),
		!sameStart && s.replaced == platform.BackendStart{Instance: b.Instance, Born: b.Born}:
		return heartbeatStale
	case sameStart:
		s.born, s.sequence, s.draining = b.Born, b.Sequence, b.Draining
		return heartbeatRenewal
	}
	*s = instanceTracker{id: b.Instance, born: b.Born, sequence: b.Sequence, draining: b.Draining, replaced: s.replaced, departed: s.departed, reassigned: s.reassigned}
	return heartbeatNewStart
}

// recordDeparture records that the start b leaves, and that no earlier start under its id
// runs any more.
func (s *instanceTracker) recordDeparture(b platform.BackendStart) {
	if s.hasDeparted(b.Instance, b.Born) {
		return
	}
	s.departed = append(slices.Clone(s.departed), b)
	s.departed = s.departed[max(0, len(s.departed)-maxDeparted):]
}

// hasDeparted reports whether the start of id at the time born, or a later one under the
// same id, has departed.
func (s *instanceTracker) hasDeparted(id mesh.Instance, born int64) bool {
	_, ok := s.departure(id, born)
	return ok
}

// departure returns the departure that covers the start of id at the time born.
func (s *instanceTracker) departure(id mesh.Instance, born int64) (platform.BackendStart, bool) {
	i := slices.IndexFunc(s.departed, func(d platform.BackendStart) bool { return d.Instance == id && born <= d.Born })
	if i < 0 {
		return platform.BackendStart{}, false
	}
	return s.departed[i], true
}

// adoptDepartures records starts that departed before this process started, and reports
// whether the known start is one of them.
func (s *instanceTracker) adoptDepartures(starts []platform.BackendStart) bool {
	left := false
	for _, d := range starts {
		s.recordDeparture(d)
		if d.Instance == s.id && s.born <= d.Born && !s.left {
			s.left, s.born, left = true, d.Born, true
		}
	}
	return left
}

// forget drops the current instance, since the settings name another service or address.
func (s *instanceTracker) forget() {
	*s = instanceTracker{replaced: s.replaced, departed: s.departed, reassigned: cmp.Or(s.id, s.reassigned)}
}

// continues reports whether the instance is known and has not reported that it leaves.
func (s *instanceTracker) continues() bool { return s.id != "" && !s.left && !s.draining }

// recordLeave records that the start id has left, also if it is not known: a process that
// has just started knows no instance. It reports whether the known one has left by it.
// Born is 0 if the message did not contain it; the start is then before now.
func (s *instanceTracker) recordLeave(id mesh.Instance, born int64, now time.Time) bool {
	departed := platform.BackendStart{Instance: id, Born: born}
	if born == 0 {
		earlier, ok := s.departure(id, 0) // by a message that is repeated
		switch {
		case id == s.id && s.born != 0:
			departed.Born = s.born
		case ok:
			departed.Born = earlier.Born
		default:
			departed.Born = now.UnixMilli()
		}
	}
	s.recordDeparture(departed)
	if id != s.id || s.left || born != 0 && born < s.born {
		return false
	}
	s.left, s.born = true, departed.Born
	return true
}

// recordHealthCheck records the instance that answered a health check and reports
// whether it was unknown. The answer tells neither a departed start from a later one under
// the same id, nor the service of the instance, which a heartbeat shows.
func (s *instanceTracker) recordHealthCheck(id mesh.Instance) bool {
	if id == s.id || id == s.reassigned || slices.ContainsFunc(s.departed, func(d platform.BackendStart) bool { return d.Instance == id }) {
		return false
	}
	replaced := s.replaced
	if s.born != 0 {
		replaced = platform.BackendStart{Instance: s.id, Born: s.born}
	}
	// The first heartbeat of this start reports its start time, which may be before that of
	// the replaced one if the clock was set back.
	*s = instanceTracker{id: id, replaced: replaced, departed: s.departed, reassigned: s.reassigned}
	return true
}
