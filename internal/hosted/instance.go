package hosted

import (
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// instance orders what is said about the backend server of this VM, since a
// heartbeat may arrive after its sender has ended and another start has
// reported.
type instance struct {
	id       mesh.Instance
	born     int64 // start of the backend server as it says, 0 if not known
	sequence int64 // of the last heartbeat
	gone     bool  // it left
}

// verdict is what a heartbeat is to the gate.
type verdict uint8

const (
	stale   verdict = iota // older than what is known
	renewal                // of the start that is known
	started                // of a new start
)

// beat takes in b and says what it is.
func (s *instance) beat(b platform.Heartbeat) verdict {
	same := b.Instance == s.id && (b.Born == s.born || s.born == 0)
	switch {
	case same && s.gone, same && b.Sequence <= s.sequence, !same && b.Born < s.born:
		return stale
	case same:
		s.born, s.sequence = b.Born, b.Sequence
		return renewal
	}
	*s = instance{id: b.Instance, born: b.Born, sequence: b.Sequence}
	return started
}

// leave takes in that the start id has left and reports whether it is the one
// that is known. Born is 0 if the message did not say it.
func (s *instance) leave(id mesh.Instance, born int64) bool {
	if id != s.id || s.gone || born != 0 && born < s.born {
		return false
	}
	s.gone = true
	return true
}

// found takes in the instance that a health check showed and reports whether it
// was not known.
func (s *instance) found(id mesh.Instance) bool {
	if id == s.id {
		return false
	}
	*s = instance{id: id, born: s.born}
	// A heartbeat of this start comes with a time that is not known yet.
	s.born = 0
	return true
}
