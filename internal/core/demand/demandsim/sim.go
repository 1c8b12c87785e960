package demandsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// Slots is the number of slots of each server.
	Slots       = 6
	maxGates    = 3 // gates that a request is offered to
	clientTries = 3 // attempts of a client, which follows Retry-After
)

// Kind is one kind of request of clients.
type Kind struct {
	Route    string
	Rank     mesh.Rank
	Service  mesh.Service
	Rate     float64 // per second
	Work     time.Duration
	Deadline time.Duration
	Calls    mesh.Service  // service called at the end of the work; "" for none
	CallWork time.Duration // work of the call
}

// Outcome counts the requests of one kind. Failed ones have run in vain.
type Outcome struct{ Offered, Served, Failed int }

// ServedShare returns the share of the requests that were served.
func (o *Outcome) ServedShare() float64 { return float64(o.Served) / float64(max(o.Offered, 1)) }

// gate is the gate of one simulated backend server with Slots slots.
type gate struct {
	machine *admit.Machine
	tracker *demand.Tracker
	slow    float64   // work of the server, as a multiple of that of its requests
	stalled time.Time // end of the current stall
}

// Sim is a mesh of services whose gates use admission and, if enabled, a Tracker.
type Sim struct {
	Ranks   []config.RankPolicy
	gates   map[mesh.Service][]*gate
	Kinds   []Kind
	Length  time.Duration
	Enabled bool    // nested calls are known, and requests may be refused early
	Faulty  float64 // share of calls that fail whatever the load
	Uneven  bool    // servers take 0.6 to 2 times the work, and 15 in 100 stall at a time

	rnd    *rand.Rand
	now    time.Time
	events events
	result map[string]*Outcome
	Peak   int // most requests in flight at one gate
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

func (s *Sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), do})
}

// Run simulates the mesh with the given number of gates by service.
func (s *Sim) Run(gates map[mesh.Service]int) map[string]*Outcome {
	s.rnd = rand.New(rand.NewPCG(1, 2))
	s.now = time.Unix(0, 0)
	s.gates, s.result = map[mesh.Service][]*gate{}, map[string]*Outcome{}
	ranks, tiers := s.Ranks, map[mesh.Rank]int{}
	for _, r := range ranks {
		tiers[r.Name] = r.Tier
	}
	if s.Enabled {
		ranks = admit.WithNested(ranks)
	}
	for _, service := range []mesh.Service{"album", "orders"} {
		for range gates[service] {
			g := &gate{slow: 1, tracker: demand.New(), machine: admit.New(admit.Config{
				Slots: Slots, Ranks: ranks, Ramp: -1, FixedLimit: true, Reserve: true, TargetAware: true, InitialServiceShare: 1.0 / 3,
			}, s.now)}
			if s.Uneven {
				g.slow = 1 / (0.5 + 1.1*s.rnd.Float64())
				s.stall(g)
			}
			g.tracker.Rand = s.rnd.Float64
			g.tracker.SetTiers(tiers)
			s.gates[service] = append(s.gates[service], g)
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		s.result[k.Route] = new(Outcome)
		s.arrive(k)
	}
	end := s.now.Add(s.Length)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result
}

func (s *Sim) arrive(k *Kind) {
	if k.Rate <= 0 {
		return
	}
	s.after(time.Duration(s.rnd.ExpFloat64()/k.Rate*float64(time.Second)), func() {
		s.result[k.Route].Offered++
		s.request(k, s.now.Add(k.Deadline), 1)
		s.arrive(k)
	})
}

// request sends a request of a client, which tries again after a refusal.
func (s *Sim) request(k *Kind, deadline time.Time, try int) {
	retry := func() {
		if left := deadline.Sub(s.now); try < clientTries && left > k.Work {
			s.after(time.Duration((0.3+0.7*s.rnd.Float64())*float64(left)/3), func() { s.request(k, deadline, try+1) })
		}
	}
	s.offer(k.Service, k.Rank, k.Route, false, deadline, 1, retry, func(g *gate, end func()) {
		s.after(s.work(g, k.Work), func() { s.finish(g, k, deadline, end) })
	})
}

// work returns the time that work of the given mean takes on g.
func (s *Sim) work(g *gate, mean time.Duration) time.Duration {
	f := g.slow * (0.7 + 0.6*s.rnd.Float64())
	if s.now.Before(g.stalled) {
		f *= 2.5
	}
	return time.Duration(float64(mean) * f)
}

// stall lets g stall for 600 ms, 15 in 100 of the time.
func (s *Sim) stall(g *gate) {
	s.after(time.Duration(s.rnd.ExpFloat64()*3.4*float64(time.Second)), func() {
		g.stalled = s.now.Add(600 * time.Millisecond)
		s.after(600*time.Millisecond, func() { s.stall(g) })
	})
}

// finish makes the call of a request whose work is done.
func (s *Sim) finish(g *gate, k *Kind, deadline time.Time, end func()) {
	done := func(ok bool) {
		end()
		o := s.result[k.Route]
		if ok && !s.now.After(deadline) {
			o.Served++
		} else {
			o.Failed++
		}
	}
	if k.Calls == "" {
		done(true)
		return
	}
	g.tracker.CallStarted(k.Calls, s.now)
	callDeadline := s.now.Add(600 * time.Millisecond)
	var report demand.Report
	ended := func(out demand.CallOutcome) {
		g.tracker.CallEnded(k.Calls, out, report, s.now)
		done(out == demand.CallSucceeded)
	}
	s.offer(k.Calls, "p1-200ms", "call", s.Enabled, callDeadline, 1, func() { ended(demand.CallRefused) }, func(to *gate, endCall func()) {
		report = demand.Report{Shortage: to.tracker.Shortage(s.now), Needs: to.tracker.Needs(s.now)}
		s.after(s.work(to, k.CallWork), func() {
			endCall()
			if s.now.After(callDeadline) || s.rnd.Float64() < s.Faulty {
				ended(demand.CallFailed)
				return
			}
			ended(demand.CallSucceeded)
		})
	})
}

// offer offers a request to a gate of the service, and after a refusal to others.
func (s *Sim) offer(service mesh.Service, rank mesh.Rank, route string, nested bool, deadline time.Time, attempt int, refused func(), admitted func(*gate, func())) {
	gs := s.gates[service]
	g, other := gs[s.rnd.IntN(len(gs))], gs[s.rnd.IntN(len(gs))]
	if other.machine.InFlight()+other.machine.Queued() < g.machine.InFlight()+g.machine.Queued() {
		g = other
	}
	t := &admit.Ticket{Rank: rank, Nested: nested, Deadline: deadline}
	if s.Enabled {
		t.Route = route
		g.machine.SetCycle(slices.Contains(g.tracker.Needs(s.now), service))
		if !nested {
			if reason, _ := g.tracker.Check(route, rank, s.now); reason != demand.Admitted {
				g.tracker.RecordOffer(rank, demand.Offer{First: attempt == 1, Early: true}, s.now)
				refused()
				return
			}
		}
	}
	t.Data = func() {
		if !nested {
			g.tracker.RecordOffer(rank, demand.Offer{First: attempt == 1, Refused: attempt == maxGates && t.State() == admit.Refused}, s.now)
		}
		switch {
		case t.State() == admit.Admitted:
			s.Peak = max(s.Peak, g.machine.InFlight())
			g.tracker.Started(route, s.now)
			admitted(g, func() {
				g.tracker.Ended(route, true, s.now)
				s.decide(g.machine.Done(s.now, t, 0))
			})
		case attempt < maxGates:
			s.offer(service, rank, route, nested, deadline, attempt+1, refused, admitted)
		default:
			refused()
		}
	}
	decided := append([]*admit.Ticket(nil), g.machine.Offer(s.now, t)...)
	if st := t.State(); st == admit.Admitted || st == admit.Refused {
		decided = append(decided, t)
	} else if !deadline.IsZero() {
		s.after(deadline.Sub(s.now), func() { s.decide(g.machine.Tick(s.now)) })
	}
	s.decide(decided)
}

// decide continues the requests of the decided tickets. The machine reuses the slice.
func (s *Sim) decide(ts []*admit.Ticket) {
	for _, t := range append([]*admit.Ticket(nil), ts...) {
		t.Data.(func())()
	}
}

// Table formats the results, one line for each kind.
func (s *Sim) Table() string {
	out := ""
	for _, k := range s.Kinds {
		o := s.result[k.Route]
		out += fmt.Sprintf("  %-7s offered %5d served %.3f failed after work %.3f\n", k.Route, o.Offered, o.ServedShare(), float64(o.Failed)/float64(max(o.Offered, 1)))
	}
	return out
}
