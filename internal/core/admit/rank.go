package admit

import (
	"math"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// minFloor is the share of slots of a rank whose policy names none. Without it
// a flood of a more urgent rank would starve the rank.
const minFloor = 0.01

const (
	// serviceWeight is the largest weight of a new sample in the mean service
	// time.
	serviceWeight = 1.0 / 16
	// serviceMemory is the time constant of the mean service time. A sample
	// weighs as much as the time since the last one, so that the many slow
	// samples of one stall count about as one.
	serviceMemory = time.Second
	// intervalWeight is the weight of a new sample in the mean time between
	// two admissions from the queue.
	intervalWeight = 1.0 / 64
	// outlier is the ratio to the mean service time at which a sample is cut
	// off, so that one long stall does not stand for the normal service time.
	outlier = 4
	// spreads is the number of mean deviations added to the mean service time
	// when a request is held against its deadline and target.
	spreads = 2
	// leastWait divides the target of a rank; the result may be waited even if
	// the service time uses up the target, since a late answer is still worth
	// more than a refusal when there is no overload.
	leastWait = 4
	// initialService is the service time assumed before the first sample, unless
	// Config.Assumed says otherwise.
	initialService = 10 * time.Millisecond
	// quickSamples is the number of samples that are averaged plainly at first.
	quickSamples = 16
	// saveUp is the time for which a rank with waiting work saves up its floor
	// when it gets no slots.
	saveUp = time.Second
	// rateMemory is the time constant of the rate of arrivals.
	rateMemory = 2 * time.Second
	// reserveShare is the largest share of the slots that is kept free for more
	// urgent ranks.
	reserveShare = 0.5
	// turnShare is the inverse of the share of the useful wait from which on the
	// wait for the next free slot has slots reserved in full.
	turnShare = 4
	// debtTime is the time of floor that a rank owes at most for slots that it
	// got beyond its floor.
	debtTime = 100 * time.Millisecond
)

// rank is the state of one rank. Credit is in slot seconds: it grows with the
// floor and pays for the service time of admitted requests. While it is not
// negative, the rank is served before more urgent ones.
type rank struct {
	policy   config.RankPolicy
	queue    queue
	behind   queue // tickets whose target has passed
	inFlight int
	credit   float64
	refilled time.Duration // time of the last refill
	service  float64       // mean service time in seconds
	sampled  time.Duration // time of the last sample of service
	samples  int           // of service, up to quickSamples
	spread   float64       // mean deviation of the service time in seconds
	interval float64       // mean seconds between two admissions from the queue
	rate     float64       // arrivals per second, lately
	counted  time.Duration // time of the last arrival in rate
	last     time.Duration // last admission from the queue, or start of waiting
	merged   *rank         // rank that took over the tickets of a removed one
	latency  baseline
}

func newRank(p config.RankPolicy, now time.Duration, assumed float64) *rank {
	r := &rank{refilled: now, service: initialService.Seconds(), samples: quickSamples}
	if s := assumed * p.Target.Seconds(); s > 0 {
		r.service, r.samples = s, 0
	}
	r.queue.lines = make(map[mesh.ClientAccount]*line)
	r.behind.lines = make(map[mesh.ClientAccount]*line)
	r.setPolicy(p)
	return r
}

func (r *rank) setPolicy(p config.RankPolicy) {
	p.Floor = max(p.Floor, minFloor)
	r.policy = p
}

// current returns the rank that accounts for tickets of r.
func (r *rank) current() *rank {
	for r.merged != nil {
		r = r.merged
	}
	return r
}

// refill adds the floor of the time since the last refill at limit slots.
func (r *rank) refill(now time.Duration, limit float64) {
	rate := r.policy.Floor * limit
	r.credit += rate * (now - r.refilled).Seconds()
	r.refilled = now
	top := r.service
	if r.queue.n > 0 {
		top += rate * saveUp.Seconds()
	}
	low := -r.service - rate*debtTime.Seconds()
	r.credit = min(max(r.credit, low), top)
}

// arrived counts an arrival at now in the rate.
func (r *rank) arrived(now time.Duration) {
	r.rate = r.rateAt(now) + 1/rateMemory.Seconds()
	r.counted = now
}

// rateAt returns the rate of arrivals as it has decayed by now.
func (r *rank) rateAt(now time.Duration) float64 {
	return r.rate * math.Exp(-(now-r.counted).Seconds()/rateMemory.Seconds())
}

// expected returns the number of slots that r is expected to ask for beyond those
// that it holds: the mean number that its arrivals keep in use and one standard
// deviation of it.
func (r *rank) expected(now time.Duration) float64 {
	mean := r.rateAt(now) * r.service
	return max(0, mean+math.Sqrt(mean)-float64(r.inFlight))
}

// belowFloor reports whether r is owed a slot at the given limit. It may hold one
// slot more than its floor, since it does not get every slot at once when owed.
func (r *rank) belowFloor(limit float64) bool {
	return r.credit >= 0 && float64(r.inFlight) < r.policy.Floor*limit+1
}

// served records the end of a request of r that held its slot for d.
func (r *rank) served(now time.Duration, charged float64, d time.Duration) {
	s := d.Seconds()
	r.credit += charged - s
	s = min(s, outlier*r.service)
	w := min(serviceWeight, float64(now-r.sampled)/float64(serviceMemory))
	if r.samples < quickSamples {
		r.samples++
		w = max(w, 1/float64(r.samples+1)) // the assumed time counts as one sample
	}
	r.sampled = now
	diff := s - r.service
	r.service += w * diff
	r.spread += w * (math.Abs(diff) - r.spread)
}

// expectedService returns a service time that few requests exceed.
func (r *rank) expectedService() time.Duration {
	return time.Duration((r.service + spreads*r.spread) * float64(time.Second))
}

// meanService returns the mean service time.
func (r *rank) meanService() time.Duration {
	return time.Duration(r.service * float64(time.Second))
}

// late returns the refusal of t, which was first in its queue, if its answer
// would miss the target or the deadline while more work of r waits behind it.
// A request that runs into its deadline takes a slot for nothing and ends with
// an unknown outcome.
func (m *Machine) late(now time.Duration, t *Ticket) *fault.Error {
	r := t.rank
	service := r.expectedService()
	if m.timely {
		service = r.meanService() // a caller may well wait for less than most answers take
	}
	switch {
	case r.queue.n == 0:
		return nil
	case t.deadline-now < service:
		return errTooShort
	case r.policy.Target > 0 && now > max(t.target-r.expectedService(), t.offered+r.policy.Target/leastWait):
		return errLate
	}
	return nil
}

// waitBudget returns the longest useful wait: what the service time leaves of
// the target, but at least leastWait of it.
func (r *rank) waitBudget() time.Duration {
	return max(r.policy.Target-r.expectedService(), r.policy.Target/leastWait)
}

// dequeued records an admission from the queue.
func (r *rank) dequeued(now time.Duration) {
	r.interval += intervalWeight * ((now - r.last).Seconds() - r.interval)
	r.last = now
}
