package admitsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Load is the open-loop load of one rank.
type Load struct {
	Rank        mesh.Rank
	Rate        float64       // requests per second
	ServiceTime time.Duration // mean service time
	Accounts    int           // client accounts with equal load
	Deadline    time.Duration
}

// Sim drives a Machine in front of a simulated backend server. The server runs
// ServerSlots requests at a time and queues the rest in order of arrival, so
// that too high a limit shows as latency.
type Sim struct {
	Admission        admit.Config
	Loads            []Load
	ServerSlots      func(at time.Duration) int           // slots of the server
	ExtraServiceTime func(at time.Duration) time.Duration // added to each service time
	Duration         time.Duration                        // simulated time
	WarmUp           time.Duration                        // excluded from the results
	Seed             uint64                               // of the random arrivals and service times

	machine *admit.Machine
	rng     *rand.Rand
	events  events
	now     time.Duration
	running int
	backlog []*job
	result  map[mesh.Rank]*Outcome
}

// Outcome holds the results of the requests of one rank.
type Outcome struct {
	Offered, InTime, Late, Refused, Expired int
	Latency                                 *hdrhistogram.Histogram // microseconds
	SlotTime                                time.Duration           // slots integrated over the measured time
	PeakInFlight                            int                     // maximum in flight in the measured time

	running int
}

type job struct {
	ticket   admit.Ticket
	load     *Load
	offered  time.Duration
	admitted time.Duration // arrival at the server
	service  time.Duration
}

type event struct {
	at   time.Duration
	load *Load // set for an arrival
	job  *job  // set for a completion
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	n := len(*e) - 1
	x := (*e)[n]
	*e = (*e)[:n]
	return x
}

func (s *Sim) clock() time.Time { return epoch.Add(s.now) }

// Run simulates until all requests have ended and returns the outcome by rank.
func (s *Sim) Run() map[mesh.Rank]*Outcome {
	s.rng = rand.New(rand.NewPCG(s.Seed, 1))
	s.machine = admit.New(s.Admission, epoch)
	s.result = make(map[mesh.Rank]*Outcome)
	for i := range s.Loads {
		l := &s.Loads[i]
		s.result[l.Rank] = &Outcome{Latency: hdrhistogram.New(1, 60e6, 3)}
		s.scheduleArrival(l)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.advance(e.at)
		if e.job != nil {
			s.complete(e.job)
		} else if s.now < s.Duration {
			s.offer(e.load)
			s.scheduleArrival(e.load)
		}
	}
	return s.result
}

// advance sets the clock and adds the slot time held within the measured time.
func (s *Sim) advance(to time.Duration) {
	if d := min(to, s.Duration) - max(s.now, s.WarmUp); d > 0 {
		for _, o := range s.result {
			o.SlotTime += time.Duration(o.running) * d
		}
	}
	s.now = to
}

func (s *Sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// erlang returns a random service time with the given mean. It is the sum of
// four exponential variables: a single one would exceed 7.5 times its mean in 6
// of 10,000 cases, which is most of what the urgent rank may miss.
func (s *Sim) erlang(mean time.Duration) time.Duration {
	return s.exponential(mean/4) + s.exponential(mean/4) + s.exponential(mean/4) + s.exponential(mean/4)
}

func (s *Sim) scheduleArrival(l *Load) {
	if l.Rate > 0 {
		gap := s.exponential(time.Duration(float64(time.Second) / l.Rate))
		heap.Push(&s.events, event{at: s.now + gap, load: l})
	}
}

func (s *Sim) measured(j *job) bool { return j.offered >= s.WarmUp }

func (s *Sim) offer(l *Load) {
	j := &job{load: l, offered: s.now, service: s.erlang(l.ServiceTime)}
	if s.ExtraServiceTime != nil {
		j.service += s.ExtraServiceTime(s.now)
	}
	j.ticket = admit.Ticket{Rank: l.Rank, Account: mesh.ClientAccount(fmt.Sprint(s.rng.IntN(l.Accounts)))}
	j.ticket.Deadline = s.clock().Add(l.Deadline)
	j.ticket.Data = j
	if s.measured(j) {
		s.result[l.Rank].Offered++
	}
	ts := s.machine.Offer(s.clock(), &j.ticket)
	if j.ticket.State() != admit.Queued {
		s.recordDecision(&j.ticket)
	}
	s.recordDecisions(ts)
}

func (s *Sim) recordDecisions(ts []*admit.Ticket) {
	for _, t := range ts {
		s.recordDecision(t)
	}
}

func (s *Sim) recordDecision(t *admit.Ticket) {
	j := t.Data.(*job)
	if t.State() == admit.Admitted {
		j.admitted = s.now
		o := s.result[j.load.Rank]
		o.running++
		if s.now >= s.WarmUp && s.now < s.Duration {
			o.PeakInFlight = max(o.PeakInFlight, o.running)
		}
		if s.running < s.ServerSlots(s.now) {
			s.start(j)
		} else {
			s.backlog = append(s.backlog, j)
		}
		return
	}
	if s.measured(j) {
		if t.Refusal().Kind == fault.DeadlineExceeded {
			s.result[j.load.Rank].Expired++
		} else {
			s.result[j.load.Rank].Refused++
		}
	}
}

func (s *Sim) start(j *job) {
	s.running++
	heap.Push(&s.events, event{at: s.now + j.service, job: j})
}

func (s *Sim) complete(j *job) {
	s.running--
	s.result[j.load.Rank].running--
	for len(s.backlog) > 0 && s.running < s.ServerSlots(s.now) {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.start(next)
	}
	if s.measured(j) {
		o := s.result[j.load.Rank]
		d := s.now - j.offered
		_ = o.Latency.RecordValue(max(d.Microseconds(), 1))
		if d <= s.target(j.load.Rank) {
			o.InTime++
		} else {
			o.Late++
		}
	}
	s.recordDecisions(s.machine.Done(s.clock(), &j.ticket, s.now-j.admitted))
}

func (s *Sim) target(r mesh.Rank) time.Duration {
	i, _ := (&config.Snapshot{Ranks: s.Admission.Ranks}).RankIndex(r)
	return s.Admission.Ranks[i].Target
}

// Limit returns the concurrency limit at the end of the simulation.
func (s *Sim) Limit() int { return s.machine.Limit(s.clock()) }

// Table formats the results, one line per rank.
func (s *Sim) Table() string {
	out := ""
	secs := (s.Duration - s.WarmUp).Seconds()
	for i := range s.Loads {
		o := s.result[s.Loads[i].Rank]
		out += fmt.Sprintf("%-7s offered %6.0f/s in time %6.0f/s late %5.0f/s refused %6.0f/s expired %5.0f/s slots %5.2f p50 %6.1fms p99 %6.1fms p99.9 %6.1fms\n",
			s.Loads[i].Rank, float64(o.Offered)/secs, float64(o.InTime)/secs, float64(o.Late)/secs,
			float64(o.Refused)/secs, float64(o.Expired)/secs, o.SlotTime.Seconds()/secs,
			float64(o.Latency.ValueAtQuantile(50))/1e3, float64(o.Latency.ValueAtQuantile(99))/1e3, float64(o.Latency.ValueAtQuantile(99.9))/1e3)
	}
	return out
}
