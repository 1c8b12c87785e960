package admit

import (
	"math"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// minFloor is the floor of a rank whose policy sets none, as a share of the
// slots. Without it a flood of a more urgent rank would starve the rank.
const minFloor = 0.01

const (
	// maxServiceWeight is the maximum weight of a new sample in the mean service
	// time.
	maxServiceWeight = 1.0 / 16
	// serviceTimeConstant is the time constant of the mean service time. A sample
	// is weighted by the time since the last one, so that the many slow samples of
	// one stall count about as one.
	serviceTimeConstant = time.Second
	// intervalWeight is the weight of a new sample in the mean time between
	// two admissions from the queue.
	intervalWeight = 1.0 / 64
	// outlierRatio is the ratio to the mean service time at which a sample is
	// clipped, so that one long stall does not distort the mean.
	outlierRatio = 4
	// serviceDeviations is the number of mean deviations added to the mean service
	// time when a request is checked against its deadline and target.
	serviceDeviations = 2
	// minWaitDivisor sets the wait that is always allowed, as the target of the
	// rank divided by it, even if the service time uses up the target: a late
	// response is still worth more than a refusal when there is no overload.
	minWaitDivisor = 4
	// initialServiceTime is the service time assumed before the first sample if
	// Config.InitialServiceShare is 0.
	initialServiceTime = 10 * time.Millisecond
	// initialSamples is the number of samples that are averaged with equal weight
	// at first.
	initialSamples = 16
	// maxCreditTime is the time over which a rank with waiting work accumulates
	// the credit of its floor when it gets no slots.
	maxCreditTime = time.Second
	// rateTimeConstant is the time constant of the arrival rate.
	rateTimeConstant = 2 * time.Second
	// maxReserveShare is the maximum share of the slots that is reserved for more
	// urgent ranks.
	maxReserveShare = 0.5
	// urgentWeight is the number of requests that may be lost for one more urgent
	// request that is answered in time.
	urgentWeight = 4
	// maxDebtTime limits the debt of a rank for slots used beyond its floor, as
	// the time in which its floor repays it.
	maxDebtTime = 100 * time.Millisecond
)

// rank is the state of one rank. Credit is in slot seconds: it grows with the
// floor and is charged with the service time of admitted requests. While it is
// not negative, the rank is served before more urgent ones.
type rank struct {
	policy            config.RankPolicy
	queue             queue
	lateQueue         queue // tickets whose target has passed
	inFlight          int
	admittedSum       time.Duration // sum of the admission times of the requests in flight
	credit            float64
	lastRefill        time.Duration
	serviceTime       // over all routes
	routes            map[string]*serviceTime
	initialSeconds    float64       // service time assumed for a new route
	callTarget        time.Duration // target of the nested calls in this rank
	admissionInterval float64       // mean seconds between two admissions from the queue
	arrivalRate       float64       // recent arrivals per second
	lastArrival       time.Duration
	lastAdmission     time.Duration // last admission from the queue, or start of the wait
	mergedInto        *rank         // rank that took over the tickets of a removed one
	latency           baseline
}

func newRank(p config.RankPolicy, now time.Duration, initialServiceShare float64) *rank {
	r := &rank{lastRefill: now, initialSeconds: initialServiceTime.Seconds()}
	if s := initialServiceShare * p.Target.Seconds(); s > 0 {
		r.initialSeconds = s
	}
	if p.Name == NestedRank {
		r.initialSeconds = initialNestedTime.Seconds()
	}
	r.serviceSeconds = r.initialSeconds
	r.queue.accounts = make(map[mesh.ClientAccount]*accountQueue)
	r.lateQueue.accounts = make(map[mesh.ClientAccount]*accountQueue)
	r.setPolicy(p)
	return r
}

func (r *rank) setPolicy(p config.RankPolicy) {
	p.Floor = max(p.Floor, minFloor)
	r.policy = p
}

// current returns r, or the rank that took over its tickets.
func (r *rank) current() *rank {
	for r.mergedInto != nil {
		r = r.mergedInto
	}
	return r
}

// refill adds the credit that the floor yields since the last refill at limit
// slots.
func (r *rank) refill(now time.Duration, limit float64) {
	rate := r.policy.Floor * limit
	r.credit += rate * (now - r.lastRefill).Seconds()
	r.lastRefill = now
	top := r.serviceSeconds
	if r.queue.n > 0 {
		top += rate * maxCreditTime.Seconds()
	}
	low := -r.serviceSeconds - rate*maxDebtTime.Seconds()
	r.credit = min(max(r.credit, low), top)
}

// recordArrival adds an arrival at now to the arrival rate.
func (r *rank) recordArrival(now time.Duration) {
	r.arrivalRate = r.arrivalRateAt(now) + 1/rateTimeConstant.Seconds()
	r.lastArrival = now
}

// arrivalRateAt returns the arrival rate, decayed to now.
func (r *rank) arrivalRateAt(now time.Duration) float64 {
	return r.arrivalRate * math.Exp(-(now-r.lastArrival).Seconds()/rateTimeConstant.Seconds())
}

// expectedDemand returns the number of slots that r is expected to need beyond
// those that it holds: the mean number that its arrivals occupy plus one
// standard deviation.
func (r *rank) expectedDemand(now time.Duration) float64 {
	mean := r.arrivalRateAt(now) * r.serviceSeconds
	return max(0, mean+math.Sqrt(mean)-float64(r.inFlight))
}

// belowFloor reports whether the floor of r entitles it to a slot at the given
// limit. It may hold one slot more than its floor, since it does not get every
// slot as soon as it is entitled to it.
func (r *rank) belowFloor(limit float64) bool {
	return r.credit >= 0 && float64(r.inFlight) < r.policy.Floor*limit+1
}

// recordService records the end of a request of r that held its slot for d.
func (r *rank) recordService(now time.Duration, charged float64, d time.Duration) {
	r.credit += charged - d.Seconds()
	r.record(now, d)
}

// meanAge returns the mean time since the admission of the requests in flight. In a
// steady state, it is half of their service time or more, so that it shows work that
// is longer than the recorded samples.
func (r *rank) meanAge(now time.Duration) time.Duration {
	if r.inFlight == 0 {
		return 0
	}
	return now - r.admittedSum/time.Duration(r.inFlight)
}

// lateRefusal returns the refusal of t, which was first in its queue, if its
// response would miss the target or the deadline while more work of r is
// waiting. A request that reaches its deadline wastes a slot and ends with an
// unknown outcome.
func (m *Machine) lateRefusal(now time.Duration, t *Ticket) *fault.Error {
	r := t.rank
	service := t.service.upperServiceTime()
	if m.targetAware {
		service = t.service.meanServiceTime() // a deadline may be shorter than upperServiceTime
	}
	switch {
	case r.queue.n == 0:
		return nil
	case t.deadline-now < service:
		return errLateForDeadline
	case r.policy.Target > 0 && now > max(t.target-t.service.upperServiceTime(), t.offered+r.policy.Target/minWaitDivisor):
		return errLateForTarget
	}
	return nil
}

// waitBudget returns the longest useful wait: the target less the service time,
// but at least the target divided by minWaitDivisor.
func (r *rank) waitBudget() time.Duration {
	target := max(r.policy.Target, r.callTarget)
	return max(target-r.upperServiceTime(), target/minWaitDivisor)
}

// recordAdmission records an admission from the queue.
func (r *rank) recordAdmission(now time.Duration) {
	r.admissionInterval += intervalWeight * ((now - r.lastAdmission).Seconds() - r.admissionInterval)
	r.lastAdmission = now
}
