package admit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// load is the open-loop load of one rank.
type load struct {
	rank     mesh.Rank
	rate     float64       // requests per second
	service  time.Duration // mean service time
	accounts int
	deadline time.Duration
}

// sim drives a Machine in front of a simulated backend server. The server runs
// real requests at a time and queues the rest by itself, first come first
// served, so that too high a limit shows as latency.
type sim struct {
	conf  Config
	loads []load
	real  func(at time.Duration) int           // slots of the server
	slow  func(at time.Duration) time.Duration // added to each service time
	span  time.Duration                        // simulated time
	warm  time.Duration                        // excluded from the figures
	seed  uint64

	m       *Machine
	rng     *rand.Rand
	events  events
	now     time.Duration
	running int
	backlog []*job
	result  map[mesh.Rank]*outcome
}

type outcome struct {
	offered, inTime, late, refused, expired int
	latency                                 *hdrhistogram.Histogram // microseconds
	slotTime                                time.Duration           // slots integrated over the measured time
	running, peak                           int                     // in flight; peak of the measured time
}

type job struct {
	ticket  Ticket
	load    *load
	offered time.Duration
	started time.Duration // arrival at the server
	service time.Duration
}

type event struct {
	at   time.Duration
	load *load // an arrival
	job  *job  // a completion
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

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) run() map[mesh.Rank]*outcome {
	s.rng = rand.New(rand.NewPCG(s.seed, 1))
	s.m = NewMachine(s.conf, epoch)
	s.result = make(map[mesh.Rank]*outcome)
	for i := range s.loads {
		l := &s.loads[i]
		s.result[l.rank] = &outcome{latency: hdrhistogram.New(1, 60e6, 3)}
		s.arrive(l)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.advance(e.at)
		if e.job != nil {
			s.complete(e.job)
		} else if s.now < s.span {
			s.offer(e.load)
			s.arrive(e.load)
		}
	}
	return s.result
}

// advance moves the clock on and adds up the slots held in the measured time.
func (s *sim) advance(to time.Duration) {
	if d := min(to, s.span) - max(s.now, s.warm); d > 0 {
		for _, o := range s.result {
			o.slotTime += time.Duration(o.running) * d
		}
	}
	s.now = to
}

func (s *sim) exp(mean time.Duration) time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(mean))
}

// erlang returns a service time of the given mean. It is the sum of four
// exponential parts: a single one would by itself exceed 7.5 times its mean in
// 6 of 10,000 cases, which is most of what the urgent rank may miss.
func (s *sim) erlang(mean time.Duration) time.Duration {
	return s.exp(mean/4) + s.exp(mean/4) + s.exp(mean/4) + s.exp(mean/4)
}

func (s *sim) arrive(l *load) {
	if l.rate > 0 {
		gap := s.exp(time.Duration(float64(time.Second) / l.rate))
		heap.Push(&s.events, event{at: s.now + gap, load: l})
	}
}

func (s *sim) counts(j *job) bool { return j.offered >= s.warm }

func (s *sim) offer(l *load) {
	j := &job{load: l, offered: s.now, service: s.erlang(l.service)}
	if s.slow != nil {
		j.service += s.slow(s.now)
	}
	j.ticket = Ticket{Rank: l.rank, Account: mesh.ClientAccount(fmt.Sprint(s.rng.IntN(l.accounts)))}
	j.ticket.Deadline = s.clock().Add(l.deadline)
	j.ticket.Data = j
	if s.counts(j) {
		s.result[l.rank].offered++
	}
	ts := s.m.Offer(s.clock(), &j.ticket)
	if j.ticket.State() != Queued {
		s.decide(&j.ticket)
	}
	s.decideAll(ts)
}

func (s *sim) decideAll(ts []*Ticket) {
	for _, t := range ts {
		s.decide(t)
	}
}

func (s *sim) decide(t *Ticket) {
	j := t.Data.(*job)
	if t.State() == Admitted {
		j.started = s.now
		o := s.result[j.load.rank]
		o.running++
		if s.now >= s.warm && s.now < s.span {
			o.peak = max(o.peak, o.running)
		}
		if s.running < s.real(s.now) {
			s.start(j)
		} else {
			s.backlog = append(s.backlog, j)
		}
		return
	}
	if s.counts(j) {
		if t.Refusal() == errExpired {
			s.result[j.load.rank].expired++
		} else {
			s.result[j.load.rank].refused++
		}
	}
}

func (s *sim) start(j *job) {
	s.running++
	heap.Push(&s.events, event{at: s.now + j.service, job: j})
}

func (s *sim) complete(j *job) {
	s.running--
	s.result[j.load.rank].running--
	for len(s.backlog) > 0 && s.running < s.real(s.now) {
		next := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.start(next)
	}
	if s.counts(j) {
		o := s.result[j.load.rank]
		d := s.now - j.offered
		_ = o.latency.RecordValue(max(d.Microseconds(), 1))
		if d <= s.target(j.load.rank) {
			o.inTime++
		} else {
			o.late++
		}
	}
	s.decideAll(s.m.Done(s.clock(), &j.ticket, s.now-j.started))
}

func (s *sim) target(r mesh.Rank) time.Duration {
	i, _ := (&config.Snapshot{Ranks: s.conf.Ranks}).RankIndex(r)
	return s.conf.Ranks[i].Target
}

// table formats the result, one line per rank.
func (s *sim) table() string {
	out := ""
	secs := (s.span - s.warm).Seconds()
	for i := range s.loads {
		o := s.result[s.loads[i].rank]
		out += fmt.Sprintf("%-7s offered %6.0f/s in time %6.0f/s late %5.0f/s refused %6.0f/s expired %5.0f/s slots %5.2f p50 %6.1fms p99 %6.1fms p99.9 %6.1fms\n",
			s.loads[i].rank, float64(o.offered)/secs, float64(o.inTime)/secs, float64(o.late)/secs,
			float64(o.refused)/secs, float64(o.expired)/secs, o.slotTime.Seconds()/secs,
			float64(o.latency.ValueAtQuantile(50))/1e3, float64(o.latency.ValueAtQuantile(99))/1e3, float64(o.latency.ValueAtQuantile(99.9))/1e3)
	}
	return out
}
