package intake

import (
	"iter"
	"time"
)

// State says what a connection does.
type State uint32

// States of a connection, those that are closed first before the others.
const (
	Waiting State = iota // for its first request, or a part of it
	Idle                 // between two requests, or receiving the header of the next one
	Active               // a request is in flight
)

// Conn is a connection as seen by the choice of the one to close.
type Conn struct {
	State  State
	Since  time.Time // start of State
	Memory int64     // of the header that it is sending
}

// Oldest returns the connection to close if there are too many: that which has waited
// longest for its first request, and for at least minWait, else that which has been idle
// longest, and for at least minIdle. Requests in flight are never interrupted. It returns
// false if there is none.
func Oldest[K any](conns iter.Seq2[K, Conn], now time.Time, minWait, minIdle time.Duration) (K, bool) {
	var (
		key   K
		best  Conn
		found bool
	)
	for k, c := range conns {
		age := now.Sub(c.Since)
		if c.State == Active || c.State == Waiting && age < minWait || c.State == Idle && age < minIdle {
			continue
		}
		if !found || c.State < best.State || c.State == best.State && c.Since.Before(best.Since) {
			key, best, found = k, c, true
		}
	}
	return key, found
}

// Largest returns the connection to close if headers take too much memory: that whose
// header takes most. It returns false if none takes any.
func Largest[K any](conns iter.Seq2[K, Conn]) (K, bool) {
	var (
		key  K
		most int64
	)
	for k, c := range conns {
		if c.State != Active && c.Memory > most {
			key, most = k, c.Memory
		}
	}
	return key, most > 0
}
