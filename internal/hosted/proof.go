package hosted

// proof is what is needed before a backend server that was running before this process
// gets requests. It may be leaving, with a late heartbeat on the way.
type proof uint8

const (
	// proofPending means that more will be known soon.
	proofPending proof = iota
	// proofReport is a heartbeat or a health check.
	proofReport
	// proofHealthy is a heartbeat with a health check of the same instance, which a leaving
	// backend server fails, or proofSeveral.
	proofHealthy
	// proofRepeated is a second heartbeat. Health checks may be wrong.
	proofRepeated
	// proofSeveral is as many heartbeats as are not late together.
	proofSeveral
)

// String returns the name of p in the log.
func (p proof) String() string {
	switch p {
	case proofPending:
		return "pending"
	case proofReport:
		return "report"
	case proofHealthy:
		return "heartbeat and health"
	case proofRepeated:
		return "second heartbeat"
	case proofSeveral:
		return "several heartbeats"
	}
	return "invalid"
}

// startKnowledge is what a process knows of the time before its start.
type startKnowledge struct {
	firstStart         bool // the whole system starts, so that nothing was acknowledged
	rowRead            bool // the departures that earlier processes acknowledged are known
	rowAttempted       bool // the store was asked for them
	joinAttempted      bool // another node was asked for the predecessor
	predecessorLeaving bool // the backend server of the predecessor was leaving, or there was none
	waited             bool // these attempts have had their time
}

// requiredProof returns what is needed in the state k. That nothing is known of a
// departure does not mean that there was none: only the row tells.
func (k startKnowledge) requiredProof() proof {
	switch {
	case k.firstStart:
		return proofReport
	case k.predecessorLeaving && k.rowRead:
		return proofRepeated
	case k.predecessorLeaving:
		return proofSeveral
	case k.waited, k.joinAttempted && (k.rowRead || k.rowAttempted):
		if k.rowRead {
			return proofReport
		}
		return proofHealthy
	}
	return proofPending
}

// maxLateHeartbeats is the number of heartbeats of one start that may be on the way when
// it leaves: one arrives seconds late, and the next one follows after a second or two.
const maxLateHeartbeats = 2

// reports counts the reports of one start.
type reports struct {
	heartbeats int  // with rising sequence numbers
	healthy    bool // it has answered a health check
}

// suffice reports whether r is the proof p.
func (r reports) suffice(p proof) bool {
	switch p {
	case proofReport:
		return r.heartbeats > 0 || r.healthy
	case proofHealthy:
		return r.heartbeats > 0 && r.healthy || r.heartbeats > maxLateHeartbeats
	case proofRepeated:
		return r.heartbeats > 1
	case proofSeveral:
		return r.heartbeats > maxLateHeartbeats
	}
	return false
}

// unconfirmedStart is a start of the backend server that is not announced yet.
type unconfirmedStart struct {
	reports
	announce func() error // announcement of its last heartbeat
}
