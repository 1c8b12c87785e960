// The program of case 1: endpoints send a late second copy of some answers, also of those
// that reject a request, on connections that are in use again.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/review/harness"
)

const (
	requestRate = 76.9 // requests a second, as on the sheet of dunmesh
	workTime    = 290 * time.Millisecond
	deadline    = 5 * time.Second

	rounds       = 4 // of both disruptions
	warmUp       = 3 * time.Second
	roundTime    = 8 * time.Second
	greyTime     = 6500 * time.Millisecond // srv_grey, how shed
	greyShare    = 0.3
	garbleTime   = 5 * time.Second // garble, how extra late
	garbledShare = 0.03
	tail         = 6 * time.Second // until the last answers
)

func main() { harness.Main(play) }

func play(ctx context.Context, d *harness.Deployment, trouble bool) ([]string, error) {
	nodes := []*harness.Node{
		d.AddNode("side-a-1", "nordur-a", "lotbok"), d.AddNode("side-b-1", "nordur-b", "lotbok"),
		d.AddNode("side-a-2", "nordur-a", "sendir"), d.AddNode("side-b-2", "nordur-b", "sendir"), d.AddNode("side-c-2", "nordur-c", "sendir"),
	}
	var grey, garbled atomic.Bool
	var endpoints []*harness.Endpoint
	for i, n := range nodes {
		e, err := d.AddEndpoint(n, fmt.Sprintf("i-%d", i+1), workTime)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	// One of three endpoints of sendir rejects requests, two of three send copies.
	endpoints[2].Full = func() bool { return grey.Load() && rand.Float64() < greyShare }
	for _, e := range endpoints[2:4] {
		e.CopyLate = (&copier{on: &garbled}).copyLate
	}
	if err := d.Configure(7, []string{"lotbok", "sendir"}, []harness.Route{
		{Host: "hulo84.example", Prefix: "/xapu221/", Service: "sendir", Type: "unsafe", TargetMS: 800, TimeoutMS: 5000, Attempts: 2, Priority: 1},
	}); err != nil {
		return nil, err
	}
	if err := d.StartAll(ctx); err != nil {
		return nil, err
	}
	for _, e := range endpoints {
		go e.Beat(ctx)
	}
	harness.Sleep(ctx, 2*time.Second)
	for i := range rounds {
		if !trouble {
			break
		}
		start := warmUp + time.Duration(i)*roundTime
		time.AfterFunc(start, func() {
			d.Record.Printf("disruption: i-3 rejects a part of its requests, i-3 and i-4 send some answers twice")
			grey.Store(true)
			garbled.Store(true)
		})
		time.AfterFunc(start+garbleTime, func() { garbled.Store(false) })
		time.AfterFunc(start+greyTime, func() { grey.Store(false) })
	}
	answers := send(ctx, nodes, warmUp+rounds*roundTime)
	harness.Sleep(ctx, tail)
	return check(d, answers(), endpoints), ctx.Err()
}

// copier chooses the answers that are sent a second time: rejections, as long as they are
// no more than garbledShare of all answers.
type copier struct {
	on *atomic.Bool

	mu              sync.Mutex
	answers, copies int
}

func (c *copier) copyLate(rejected bool) bool {
	if !c.on.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	if !rejected || float64(c.copies+1) > garbledShare*float64(c.answers) {
		return false
	}
	c.copies++
	return true
}

// send sends requests for the given time. The function that it returns waits for their
// answers.
func send(ctx context.Context, nodes []*harness.Node, length time.Duration) func() []harness.Answer {
	var mu sync.Mutex
	var answers []harness.Answer
	var pending sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end) && ctx.Err() == nil; {
		n := nodes[rand.IntN(len(nodes))]
		pending.Go(func() {
			a := n.Send(ctx, harness.Request{
				Method: "POST", Host: "hulo84.example", Path: "/xapu221/book", Body: []byte("one seat"), Deadline: deadline,
			})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		harness.Sleep(ctx, time.Duration(rand.ExpFloat64()/requestRate*float64(time.Second)))
	}
	return func() []harness.Answer {
		pending.Wait()
		return answers
	}
}

// check returns the breaches of TWICE and notes those of REFUSED in the record.
func check(d *harness.Deployment, answers []harness.Answer, endpoints []*harness.Endpoint) []string {
	runs := make(map[string][]string)
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r.Endpoint)
		}
	}
	var out []string
	for _, a := range answers {
		rs := runs[a.ID]
		if len(rs) > 1 {
			out = append(out, fmt.Sprintf("TWICE: unsafe request %s has run at %v, its client got %d", a.ID, rs, a.Status))
		}
		switch a.Status {
		case 408, 421, 429, 503:
			if len(rs) > 0 {
				d.Record.Printf("note: REFUSED: unsafe request %s was answered %d and has run at %v", a.ID, a.Status, rs)
			}
		}
	}
	return out
}
