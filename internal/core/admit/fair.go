package admit

import (
	"math"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// usageTime is the time constant of the slot time that an account has used. A gate
	// sees few requests of each account per second, and a burst lasts some seconds.
	usageTime = 8 * time.Second
	// maxUsageEntries is the number of accounts from which those that have used next to
	// nothing are forgotten.
	maxUsageEntries = 1024
	// negligibleUsage is the slot time in seconds that counts as nothing.
	negligibleUsage = 1e-3
)

// accountUsage is the slot time in seconds that one account has used, decayed.
type accountUsage struct {
	seconds float64
	last    time.Duration
}

func (u accountUsage) at(now time.Duration) float64 {
	return u.seconds * math.Exp(-(now-u.last).Seconds()/usageTime.Seconds())
}

// SetFair sets whether the accounts in a queue are served by the slot time that they
// have used at this gate, the least first. Otherwise they take turns.
func (m *Machine) SetFair(v bool) {
	if m.fair = v; !v {
		m.usage = nil
	}
}

func (m *Machine) usageOf(at time.Duration, a mesh.ClientAccount) float64 { return m.usage[a].at(at) }

// charge adds the slot time of t to the usage of its account.
func (m *Machine) charge(at time.Duration, t *Ticket, seconds float64) {
	if !m.fair || t.Account == "" {
		return
	}
	if m.usage == nil {
		m.usage = make(map[mesh.ClientAccount]accountUsage)
	}
	if len(m.usage) >= maxUsageEntries {
		for a, u := range m.usage {
			if u.at(at) < negligibleUsage {
				delete(m.usage, a)
			}
		}
	}
	m.usage[t.Account] = accountUsage{max(m.usageOf(at, t.Account)+seconds, 0), at}
}

// pop removes and returns the ticket of q that is served next.
func (m *Machine) pop(at time.Duration, q *queue) *Ticket {
	if m.fair && q.cursor != nil {
		least, first := math.Inf(1), q.cursor
		for l := q.cursor; ; {
			if u := m.usageOf(at, l.account); u < least {
				least, first = u, l
			}
			if l = l.next; l == q.cursor {
				break
			}
		}
		q.cursor = first
	}
	return q.pop()
}

// aheadOf returns the number of waiting tickets of the rank of t that are served before
// the new t.
func (m *Machine) aheadOf(at time.Duration, t *Ticket) int {
	q := &t.rank.queue
	if !m.fair || q.cursor == nil {
		return q.n
	}
	own, work := m.usageOf(at, t.Account), max(t.rank.serviceSeconds, negligibleUsage)
	own += float64(q.accountLen(t.Account)) * work
	ahead := 0
	for l := q.cursor; ; {
		if l.account == t.Account {
			ahead += l.n
		} else if less := own - m.usageOf(at, l.account); less >= 0 {
			ahead += min(l.n, 1+int(min(less/work, float64(l.n))))
		}
		if l = l.next; l == q.cursor {
			return ahead
		}
	}
}
