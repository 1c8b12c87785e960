// The program of case 2: an endpoint leaves while the node beside it is stopped and
// started again, and a heartbeat that it made before arrives late.
package main

import (
	"context"
	"fmt"
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

	downTime      = 500 * time.Millisecond  // between the end of the process and the next start
	leaveRetry    = 100 * time.Millisecond  // between two attempts of an endpoint to report that it leaves
	heartbeatLate = 1500 * time.Millisecond // arrival of the late heartbeat after the leave was acknowledged
	serveTime     = 9 * time.Second         // for which the endpoint serves on after the acknowledgement
)

func main() { harness.Main(play) }

func play(ctx context.Context, d *harness.Deployment, trouble bool) ([]string, error) {
	client := d.AddNode("side-a-1", "nordur-a", "lotbok")
	restarted := d.AddNode("side-b-1", "nordur-b", "flokkun")
	other := d.AddNode("side-c-1", "nordur-c", "flokkun")
	var endpoints []*harness.Endpoint
	for i, n := range []*harness.Node{client, restarted, other} {
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
	go send(sending, client)
	harness.Sleep(ctx, time.Second)

	// Planned work: the node beside the endpoint is stopped and started again.
	if trouble {
		d.Record.Printf("disruption: the node beside %s is stopped and started again", leaver.ID)
		restarted.Terminate()
	}
	stopBeating()
	<-beatsEnded
	late, err := leaver.NewHeartbeat("ready")
	if err != nil {
		return nil, err
	}
	leaver.SetLeaving()
	restartEnded := make(chan error, 1)
	if trouble {
		time.AfterFunc(downTime, func() { restartEnded <- restarted.Start(false) })
	} else {
		restartEnded <- nil
	}
	for !leaver.Leave(ctx) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		harness.Sleep(ctx, leaveRetry)
	}
	acked := time.Now()
	d.Record.Printf("the leave of %s is acknowledged", leaver.ID)
	if err := <-restartEnded; err != nil {
		return nil, err
	}
	harness.Sleep(ctx, heartbeatLate)
	d.Record.Printf("the heartbeat that was made before the leave arrives now")
	leaver.Deliver(ctx, late)
	harness.Sleep(ctx, serveTime-heartbeatLate)
	leaver.Stop()
	harness.Sleep(ctx, time.Second)
	stopSending()
	harness.Sleep(ctx, time.Second)

	// The request must not arrive later than drain-ms after the acknowledgement. It counts
	// where the restarted machine, which sends it on, is in touch.
	from := acked.Add(drainTime)
	if t := restarted.StartTime().Add(stabilityWindow); t.After(from) {
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
