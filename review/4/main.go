// The program of case 4: all processes are killed soon after an endpoint has left, and a
// heartbeat that the endpoint made before arrives late. With KILL=one only the process
// beside the endpoint is killed, as soon as it has acknowledged the leave.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"lavenderrill.dev/lavenderrill/review/harness"
)

const (
	requestGap = 25 * time.Millisecond
	workTime   = 180 * time.Millisecond
	deadline   = 4 * time.Second

	drainTime       = 2 * time.Second // drain-ms
	stabilityWindow = 3 * time.Second // stability-window-ms
	slack           = 300 * time.Millisecond

	killAfter     = 500 * time.Millisecond // the kill, after the leave was acknowledged
	downTime      = time.Second
	heartbeatLate = 3 * time.Second // arrival of the late heartbeat after it was made
	serveTime     = 10 * time.Second
)

func main() { harness.Main(play) }

func play(ctx context.Context, d *harness.Deployment, trouble bool) ([]string, error) {
	nodes := []*harness.Node{
		d.AddNode("side-a-1", "nordur-a", "lotbok"),
		d.AddNode("side-b-1", "nordur-b", "flokkun"),
		d.AddNode("side-c-1", "nordur-c", "flokkun"),
	}
	var endpoints []*harness.Endpoint
	for i, n := range nodes {
		e, err := d.AddEndpoint(n, fmt.Sprintf("i-%d", i+1), workTime)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, e)
	}
	leaver := endpoints[1]
	if err := d.Configure(7, []string{"lotbok", "flokkun"}, []harness.Route{
		{Host: "jepu9.example", Prefix: "/fiti832/", Service: "flokkun", Type: "safe", TargetMS: 600, TimeoutMS: 4000, Attempts: 2, Priority: 1},
	}); err != nil {
		return nil, err
	}
	if err := d.StartAll(ctx); err != nil {
		return nil, err
	}
	go endpoints[0].Beat(ctx)
	go endpoints[2].Beat(ctx)
	beating, stopBeating := context.WithCancel(ctx)
	defer stopBeating()
	beatsEnded := make(chan struct{})
	go func() {
		leaver.Beat(beating)
		close(beatsEnded)
	}()
	harness.Sleep(ctx, stabilityWindow+time.Second)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	go send(sending, nodes[0])
	harness.Sleep(ctx, time.Second)

	stopBeating()
	<-beatsEnded
	late, err := leaver.NewHeartbeat("ready")
	if err != nil {
		return nil, err
	}
	made := time.Now()
	leaver.SetLeaving()
	if !leaver.Leave(ctx) {
		return nil, fmt.Errorf("the leave of %s is not acknowledged", leaver.ID)
	}
	acked := time.Now()
	killed := nodes
	if os.Getenv("KILL") == "one" {
		killed = nodes[1:2]
	} else {
		harness.Sleep(ctx, killAfter)
	}
	var started time.Time
	if trouble {
		d.Record.Printf("disruption: %d of %d processes are killed", len(killed), len(nodes))
		for _, n := range killed {
			n.Kill()
		}
		harness.Sleep(ctx, downTime)
		started = time.Now()
		for _, n := range killed {
			if err := n.Start(false); err != nil {
				return nil, err
			}
		}
	}
	harness.Sleep(ctx, time.Until(made.Add(heartbeatLate)))
	d.Record.Printf("the heartbeat that was made before the leave arrives now")
	leaver.Deliver(ctx, late)
	harness.Sleep(ctx, time.Until(acked.Add(serveTime)))
	leaver.Stop()
	harness.Sleep(ctx, time.Second)
	stopSending()
	harness.Sleep(ctx, time.Second)

	// A request must not arrive later than drain-ms after the acknowledgement. It counts
	// where the machines are in touch again.
	from := acked.Add(drainTime)
	if t := started.Add(stabilityWindow); t.After(from) {
		from = t
	}
	from = from.Add(slack)
	var out []string
	for _, r := range leaver.Runs() {
		if r.At.After(from) {
			out = append(out, fmt.Sprintf("DRAIN: request %s reached %s %.2f s after its leave was acknowledged",
				r.ID, r.Endpoint, r.At.Sub(acked).Seconds()))
		}
	}
	return out, ctx.Err()
}

// send sends requests until ctx ends.
func send(ctx context.Context, n *harness.Node) {
	t := time.NewTicker(requestGap)
	defer t.Stop()
	for ctx.Err() == nil {
		go n.Send(context.WithoutCancel(ctx), harness.Request{
			Method: "GET", Host: "jepu9.example", Path: "/fiti832/certificate", Deadline: deadline,
		})
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}
