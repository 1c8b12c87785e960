package zone

import (
	"math"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// settleTime is the time constant of a share when reports have no age. Requests that
	// a step moves appear in the reports only after they have started and been reported.
	settleTime = 500 * time.Millisecond
	// ageFactor is the number of report ages by which settleTime is prolonged. The loop
	// delay is one report age, and a loop of first order does not overshoot if its time
	// constant is at least e times the delay.
	ageFactor = 2.7
	// smoothTime is the time constant of the smoothed loads. The number of requests in a
	// zone of few backend servers varies by a third from one moment to the next.
	smoothTime = 500 * time.Millisecond
	// leadTime is the time for which the trend of a load is continued, beside the age of
	// the reports. A queue that already shrinks needs no further step.
	leadTime = 500 * time.Millisecond
	// minLevel and maxLevel bound the utilization that a zone with a share abroad is kept
	// at. Below minLevel requests hardly wait; above maxLevel the queue grows.
	minLevel = 0.85
	maxLevel = 0.95
	// levelBand is the hysteresis of the level.
	levelBand = 0.05
	// maxExcess bounds the utilization that a step is computed from. Above 1 the
	// utilization says how long the queue is, and not by how much the demand is too high.
	maxExcess = 1.2
	// fullShare is the utilization from which a share of a zone is reduced.
	fullShare = 1.0
	// minGain and gainShare are the hysteresis of the time: a share grows only if the time
	// gained exceeds its cost by minGain and by gainShare of the time at home.
	minGain   = 2 * time.Millisecond
	gainShare = 0.05
	// headroomShare is the part of the free slots abroad that all nodes together may fill
	// in one step.
	headroomShare = 0.5
	// minShare is the share below which a share that shrinks ends.
	minShare = 0.01
)

// Load is the load of the usable endpoints of a service in one zone.
type Load struct {
	Zone   mesh.AvailabilityZone
	Slots  float64       // of all endpoints
	Busy   float64       // requests in flight and waiting
	Finish time.Duration // expected time until a new request of the rank ends
	Age    time.Duration // mean age of the reports

	trend float64 // change of Busy a second
}

// utilization returns the utilization expected when a step takes effect.
func (l *Load) utilization() float64 {
	busy := l.Busy + l.trend*(leadTime+l.Age).Seconds()
	return max(busy, 0) / l.Slots
}

// Input is what a decision is based on.
type Input struct {
	Home    mesh.AvailabilityZone
	Loads   []Load        // of zones with usable endpoints
	Latency time.Duration // that another zone adds to a request
	// Cost is the wait that the bytes of a request and its response are worth, if they
	// pass between zones.
	Cost     time.Duration
	Deciders int           // nodes that decide on the same reports, at least 1
	Demand   float64       // slots that the requests of this node need
	Elapsed  time.Duration // since the previous decision
}

// Share is the share of requests that is sent to one other zone.
type Share struct {
	Zone  mesh.AvailabilityZone
	Share float64 // 0 to 1
}

// Decider holds the shares of one service and rank. Its zero value sends nothing to other
// zones.
type Decider struct {
	shares []Share
	loads  []Load // smoothed
}

// Abroad returns the sum of the shares.
func Abroad(shares []Share) float64 {
	sum := 0.0
	for _, s := range shares {
		sum += s.Share
	}
	return sum
}

// Update adjusts the shares to in and returns them. The slice is not changed by later
// calls.
func (d *Decider) Update(in Input) []Share {
	d.smooth(in)
	home := d.load(in.Home)
	if home == nil {
		d.shares = bySlots(d.loads)
		return d.shares
	}
	next := make([]Share, 0, len(d.loads))
	for i := range d.loads {
		if z := d.loads[i].Zone; z != in.Home {
			next = append(next, Share{z, d.share(z)})
		}
	}
	d.leaveFull(in, home, next)
	d.comeHome(in, home, next)
	d.raise(in, home, next)
	d.shares = slices.DeleteFunc(next, func(s Share) bool { return s.Share == 0 })
	return d.shares
}

// smooth replaces the loads of d by those of in, averaged over smoothTime.
func (d *Decider) smooth(in Input) {
	w := 1 - math.Exp(-in.Elapsed.Seconds()/smoothTime.Seconds())
	next := make([]Load, 0, len(in.Loads))
	for _, l := range in.Loads {
		if l.Slots <= 0 {
			continue
		}
		if old := d.load(l.Zone); old != nil {
			l.Busy = old.Busy + w*(l.Busy-old.Busy)
			if t := in.Elapsed.Seconds(); t > 0 {
				l.trend = (l.Busy - old.Busy) / t
			}
			l.Finish = old.Finish + time.Duration(w*float64(l.Finish-old.Finish))
		}
		next = append(next, l)
	}
	d.loads = next
}

func (d *Decider) load(z mesh.AvailabilityZone) *Load {
	for i := range d.loads {
		if d.loads[i].Zone == z {
			return &d.loads[i]
		}
	}
	return nil
}

func (d *Decider) share(z mesh.AvailabilityZone) float64 {
	for _, s := range d.shares {
		if s.Zone == z {
			return s.Share
		}
	}
	return 0
}

// bySlots distributes all requests in proportion to the slots of the zones.
func bySlots(loads []Load) []Share {
	sum := 0.0
	for i := range loads {
		sum += loads[i].Slots
	}
	shares := make([]Share, len(loads))
	for i := range loads {
		shares[i] = Share{loads[i].Zone, loads[i].Slots / sum}
	}
	return shares
}

// gain returns the time that a request saves in the zone of l, less its cost.
func (in *Input) gain(home, l *Load) time.Duration {
	return home.Finish - l.Finish - in.Latency - in.Cost
}

// step returns the part of a deviation that one decision removes.
func (in *Input) step(age time.Duration) float64 {
	t := settleTime.Seconds() + ageFactor*age.Seconds()
	return 1 - math.Exp(-in.Elapsed.Seconds()/t)
}

// leaveFull reduces the shares of zones that are full. If the home zone is as full, the
// requests return there, where no bytes are to be paid.
func (d *Decider) leaveFull(in Input, home *Load, shares []Share) {
	for i := range shares {
		s, l := &shares[i], d.load(shares[i].Zone)
		if l.utilization() >= fullShare {
			s.scale(1 - in.step(max(l.Age, home.Age)))
		}
	}
}

// comeHome reduces the shares of zones where requests gain nothing, as far as the home zone
// has room.
func (d *Decider) comeHome(in Input, home *Load, shares []Share) {
	level := d.level() - levelBand
	u := max(home.utilization(), level/2)
	if u >= level {
		return
	}
	stay := max(1-Abroad(shares), minShare)
	for i := range shares {
		s, l := &shares[i], d.load(shares[i].Zone)
		if in.gain(home, l) >= 0 {
			continue
		}
		back := stay * (math.Pow(level/u, in.step(max(l.Age, home.Age))) - 1)
		s.scale(max(1-back/Abroad(shares), 0))
	}
}

func (s *Share) scale(f float64) {
	s.Share *= f
	if s.Share < minShare {
		s.Share = 0
	}
}

// raise moves requests from the home zone to zones that are less utilized.
func (d *Decider) raise(in Input, home *Load, shares []Share) {
	level := d.level()
	u := min(home.utilization(), maxExcess)
	if u <= level {
		return
	}
	room := make([]float64, len(shares))
	total, age := 0.0, home.Age
	for i := range shares {
		l := d.load(shares[i].Zone)
		margin := max(minGain, time.Duration(gainShare*float64(home.Finish)))
		if in.gain(home, l) <= margin || l.utilization() >= level {
			continue
		}
		room[i] = (level - l.utilization()) * l.Slots
		total += room[i]
		age = max(age, l.Age)
	}
	if total <= 0 {
		return
	}
	moved := (1 - Abroad(shares)) * (1 - math.Pow(level/u, in.step(age)))
	if flow := in.Demand * float64(max(in.Deciders, 1)); flow > 0 {
		moved = min(moved, headroomShare*total/flow)
	}
	for i := range shares {
		shares[i].Share += moved * room[i] / total
	}
}

// level returns the utilization to keep the home zone at: that of all zones together, within
// bounds.
func (d *Decider) level() float64 {
	busy, slots := 0.0, 0.0
	for i := range d.loads {
		busy += d.loads[i].Busy
		slots += d.loads[i].Slots
	}
	return min(max(busy/slots, minLevel), maxLevel)
}
