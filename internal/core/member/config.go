package member

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// probePeriod is the time between two probes sent by one node.
	probePeriod = time.Second
	// directTimeout is the wait for an acknowledgement before other members
	// are asked to probe the target.
	directTimeout = 300 * time.Millisecond
	// relayCount is the number of members asked to probe an unresponsive
	// target.
	relayCount = 3
	// defaultDeadProbeInterval is the time between two probes of dead members.
	defaultDeadProbeInterval = 10 * time.Second
	// leftProbeDuration is the time for which members that left are probed like
	// dead ones: most of them restart at the same address.
	leftProbeDuration = 30 * time.Second
	// deadRetention is the time for which dead members are remembered and probed.
	deadRetention = 10 * time.Minute
	// leftRetention is the time for which members that left are remembered. It
	// exceeds the longest partition expected (1 h), so that a side that missed
	// the leave cannot bring the member back when views merge.
	leftRetention = 2 * time.Hour
	// pauseThreshold is how late Tick may be called before the node is
	// considered to have been paused.
	pauseThreshold = 2 * time.Second
	// maxPauseProbes is the largest number of probes that a node completes
	// after a pause before it may declare a member dead. Probing all of 2,500
	// members once would take 40 minutes.
	maxPauseProbes = 10
	// maxSilentProbes is the number of probes without any acknowledgement after
	// which a node that was paused considers the other members unreachable.
	maxSilentProbes = 30
	// maxRecheckProbes is the number of suspects that are probed at once when a
	// node that was paused may declare members dead again.
	maxRecheckProbes = 32
	// gossipDelay is the wait before a new update is forwarded, so that updates
	// that arrive together share datagrams.
	gossipDelay = 20 * time.Millisecond
	// gossipFanout is the number of members that a new update is sent to
	// immediately, in addition to the probes that carry it later.
	gossipFanout = 3
	// zoneFanout is gossipFanout in the own availability zone, if gossip prefers it, in
	// zoneRounds rounds zoneRoundInterval apart. One round of 5 misses 1 in 150 members, and
	// probes from the own zone alone bring them an update only after some seconds.
	zoneFanout        = 5
	zoneRounds        = 2
	zoneRoundInterval = 200 * time.Millisecond
	// zoneGossips is the number of members of each other availability zone to which all
	// nodes of a zone together forward a new update, if gossip prefers the own zone. Probes
	// carry it there too, so that no loss of these datagrams keeps it from a zone.
	zoneGossips = 8
	// ownZoneGossips is the number of times for which a change of this node itself goes to
	// each other zone directly.
	ownZoneGossips = 2
	// maxZoneSends is the number of times that one node may have sent an update until it no
	// longer sends it to other zones, if gossip prefers the own zone.
	maxZoneSends = zoneFanout
	// retransmitFactor times log2 of the member count is the number of times
	// that one node sends an update.
	retransmitFactor = 3
	// defaultBudgetBytes is the space for updates in one datagram.
	defaultBudgetBytes = 1200
	// minSyncInterval is the time from joining to the first exchange of views
	// with another member, which repairs what nodes that joined at the same
	// time missed about each other. The interval doubles up to maxSyncInterval.
	minSyncInterval = 5 * time.Second
	maxSyncInterval = time.Minute
	// minSuspicionTimeout is the shortest time from suspicion to death.
	minSuspicionTimeout = 2 * time.Second
)

// Config configures a List.
type Config struct {
	// Self is this node. If its incarnation is 0, the time passed to New in
	// milliseconds is used, so that a restarted node overrides the record of
	// its previous process.
	Self Member
	// Rand shuffles probes and selects members. It must not be nil.
	Rand *rand.Rand
	// BudgetBytes is the space for updates in one datagram; 0 means 1,200.
	BudgetBytes int
	// DeadProbeInterval is the time between two probes of dead members; 10 s if 0.
	DeadProbeInterval time.Duration
	// UpdateSize returns the encoded size of an update in bytes; if nil, an
	// upper bound is used.
	UpdateSize func(Update) int
}

func (c *Config) setDefaults() {
	if c.BudgetBytes == 0 {
		c.BudgetBytes = defaultBudgetBytes
	}
	if c.DeadProbeInterval <= 0 {
		c.DeadProbeInterval = defaultDeadProbeInterval
	}
	if c.UpdateSize == nil {
		c.UpdateSize = estimateSize
	}
}

// estimateSize returns an upper bound of the encoded size of u in bytes.
func estimateSize(u Update) int {
	const fixedBytes = 48
	return fixedBytes + len(u.ID) + len(u.Zone) + len(u.Addr) + len(u.Service)
}

// suspicionTimeout returns the time from suspicion to death: 3 s among 10
// members and 8 s among 2,500, linear in the logarithm of n, the member count.
func suspicionTimeout(n int) time.Duration {
	const (
		secondsAtTen = 3.0
		slope        = (8 - secondsAtTen) / 2.398 // log10(2500) - log10(10) is 2.398
	)
	seconds := secondsAtTen + slope*(math.Log10(float64(max(n, 1)))-1)
	return max(time.Duration(seconds*float64(time.Second)), minSuspicionTimeout)
}

// NextSyncInterval returns the time until the next exchange of views with a
// random member, given the previous interval, or 0 for a node that has just
// joined.
func NextSyncInterval(last time.Duration) time.Duration {
	return min(max(2*last, minSyncInterval), maxSyncInterval)
}

// transmissions returns how many times one node sends an update among n
// members.
func transmissions(n int) int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(n+2))))
}
