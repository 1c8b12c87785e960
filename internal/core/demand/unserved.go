package demand

import "time"

const (
	// unservedTime is the time constant of Unserved. A backend server that starts or stops
	// to refuse requests is known within about a second.
	unservedTime = time.Second
	// unservedPrior is the number of served requests that are assumed of a backend server,
	// so that one refusal after a pause says little.
	unservedPrior = 2
)

// Unserved tracks the share of the requests sent to a backend server that it refuses or
// fails. Its zero value is ready for use.
type Unserved struct{ sent, unserved decayed }

// Record records the end of a request.
func (u *Unserved) Record(served bool, now time.Time) {
	u.sent.add(now, unservedTime, 1)
	if !served {
		u.unserved.add(now, unservedTime, 1)
	}
}

// Share returns the share of recent requests that were not served.
func (u *Unserved) Share(now time.Time) float64 {
	return u.unserved.at(now, unservedTime) / (u.sent.at(now, unservedTime) + unservedPrior)
}
