package member

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// probePeriod is the time between two probes by one node.
	probePeriod = time.Second
	// directTimeout is the wait for an acknowledgement before other members
	// are asked to probe the target.
	directTimeout = 300 * time.Millisecond
	// relays is the number of members asked to probe a silent target.
	relays = 3
	// deadPeriod is the time between two probes of dead members.
	deadPeriod = 10 * time.Second
	// probeLeft is the time for which members that left are probed like dead ones:
	// most of them start again at their address.
	probeLeft = 30 * time.Second
	// keepDead is the time for which dead members are remembered and probed.
	keepDead = 10 * time.Minute
	// keepLeft is the time for which members that left are remembered. It
	// exceeds the longest partition expected (1 h), so that a side that missed
	// the leave cannot bring the member back when views merge.
	keepLeft = 2 * time.Hour
	// pauseLimit is how late Tick may be called before the node takes itself
	// to have been paused.
	pauseLimit = 2 * time.Second
	// pauseRound is the largest number of probes that a node completes after a
	// pause before it declares a member dead. Probing every one of 2,500
	// members once would take 40 minutes.
	pauseRound = 10
	// pauseSilence is the number of probes without any acknowledgement after
	// which a node that was paused takes the silence for real.
	pauseSilence = 30
	// recheckLimit is the number of suspects that are probed at once when a
	// node that was paused begins to declare members dead again.
	recheckLimit = 32
	// gossipDelay is the wait before a new update is sent on, so that updates
	// that arrive together share datagrams.
	gossipDelay = 20 * time.Millisecond
	// gossipFanout is the number of members that a new update is sent to at
	// once, apart from the probes that carry it later.
	gossipFanout = 3
	// spreadFactor times log2 of the member count is the number of times that
	// one node sends an update.
	spreadFactor = 3
	// defaultBudget is the space for updates in one datagram, in bytes.
	defaultBudget = 1200
	// firstSync is the time from joining to the first exchange of views with
	// another member, which repairs what nodes that joined together missed of
	// each other. The time doubles up to lastSync.
	firstSync = 5 * time.Second
	lastSync  = time.Minute
	// minSuspicion is the shortest time from suspicion to death.
	minSuspicion = 2 * time.Second
)

// Config configures a List.
type Config struct {
	// Self is this node. If its incarnation is 0, the time passed to New in
	// milliseconds is used, so that a restarted node overrides its former self.
	Self Member
	// Rand orders probes and picks members. It must not be nil.
	Rand *rand.Rand
	// BudgetBytes is the space for updates in one datagram in bytes; 0 means 1,200.
	BudgetBytes int
	// DeadPeriod is the time between two probes of dead members; 10 s if 0.
	DeadPeriod time.Duration
	// UpdateSize returns the encoded size of an update in bytes; nil means an upper
	// estimate.
	UpdateSize func(Update) int
}

func (c *Config) fill() {
	if c.BudgetBytes == 0 {
		c.BudgetBytes = defaultBudget
	}
	if c.DeadPeriod <= 0 {
		c.DeadPeriod = deadPeriod
	}
	if c.UpdateSize == nil {
		c.UpdateSize = estimate
	}
}

// estimate is an upper bound of the encoded size of u.
func estimate(u Update) int {
	const fixed = 48
	return fixed + len(u.ID) + len(u.Zone) + len(u.Addr) + len(u.Service)
}

// suspicion returns the time from suspicion to death among n members: 3 s at
// 10 and 8 s at 2,500 members, linear in the logarithm of n.
func suspicion(n int) time.Duration {
	const (
		atTen = 3.0
		slope = (8 - atTen) / 2.398 // log10(2500) - log10(10) is 2.398
	)
	s := atTen + slope*(math.Log10(float64(max(n, 1)))-1)
	return max(time.Duration(s*float64(time.Second)), minSuspicion)
}

// NextSyncInterval returns the time to the next exchange of views with a random
// member, given the time before the last one, or 0 for a node that joined.
func NextSyncInterval(last time.Duration) time.Duration {
	return min(max(2*last, firstSync), lastSync)
}

// transmissions returns how often one node sends an update among n members.
func transmissions(n int) int {
	return spreadFactor * int(math.Ceil(math.Log2(float64(n+2))))
}
