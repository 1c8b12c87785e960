package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second // drain-ms
	shipWork  = 290 * time.Millisecond
	// oddAfter is the time from the acknowledgement of a departure to the odd heartbeat.
	oddAfter = time.Second
	// oddBefore is the time from the odd heartbeat to the departure.
	oddBefore = 200 * time.Millisecond
	// servesOn is the time for which the endpoint serves after the acknowledgement. It is
	// drain-ms and a little longer, at times many seconds.
	servesOn = 5 * time.Second
	// oddBorn is 2100-01-01 in Unix milliseconds.
	oddBorn = 4102444800000
)

const drainConfig = `{"version":"00000007","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"lopu30.example","rules":[
{"name":"r-ship","route-type":"unsafe","target-latency-ms":800,"priority":1,"match":{"prefix":"/puba11/"},"action":{"service":"sendir","timeout-ms":2500,"attempts":2}}]}],
"clusters":[{"name":"lotbok","health-path":"/healthz","max-connections":120},{"name":"sendir","health-path":"/healthz","max-connections":120}]}`

// oddSequence is the largest number of 64 bits.
const oddSequence = math.MaxInt64

// oddHeartbeat sends, as another writer, a heartbeat for the endpoint beside x with the given
// numbers, one of which is too large. It returns the status of the answer.
func oddHeartbeat(x *machine, sequence, born int64) (int, error) {
	e := x.endpoint
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.slots,
		"phase": "ready", "warmup-left-ms": 0, "sequence": sequence, "born": born,
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.control+"/v1/instances/"+e.id, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// workAfterDrain lets an endpoint leave, and a heartbeat of another writer with a start time
// that is too large arrive after that.
func workAfterDrain(t *trial) (bool, error) {
	return t.drainWithOddHeartbeat(oddAfter, func(x *machine) (int, error) { return oddHeartbeat(x, 1, oddBorn) })
}

// drainAfterOdd lets a heartbeat of another writer with a sequence number that is too large
// arrive, and the endpoint leave after that.
func drainAfterOdd(t *trial) (bool, error) {
	return t.drainWithOddHeartbeat(-oddBefore, func(x *machine) (int, error) { return oddHeartbeat(x, oddSequence, x.endpoint.born) })
}

// drainWithOddHeartbeat lets an endpoint leave, and calls odd at the given time from then,
// before it if that is negative.
func (t *trial) drainWithOddHeartbeat(oddAt time.Duration, odd func(*machine) (int, error)) (bool, error) {
	front, err := t.add("nordur-a", endpointConfig{id: "i-lotbok-1", service: "lotbok", slots: 18, queue: 72, work: shipWork})
	if err != nil {
		return false, err
	}
	leaving, err := t.add("nordur-a", endpointConfig{id: "i-sendir-1", service: "sendir", slots: 18, queue: 72, work: shipWork})
	if err != nil {
		return false, err
	}
	if _, err := t.add("nordur-b", endpointConfig{id: "i-sendir-2", service: "sendir", slots: 18, queue: 72, work: shipWork}); err != nil {
		return false, err
	}
	t.store.Put("op", "config", []byte(drainConfig))
	if err := awaitReady(t.machines, 20*time.Second, func() bool {
		return send(front.outbound(), "POST", "lopu30.example", "/puba11/", 5*time.Second).status == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stability-window-ms, so that the machines are in touch
	start := time.Now()
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / 20)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			wg.Go(func() {
				q := send(front.outbound(), "POST", "lopu30.example", "/puba11/", 5*time.Second)
				t.logf("request %s sent %.3f ended %.3f status %d %s", q.id, q.sent.Sub(start).Seconds(), q.ended.Sub(start).Seconds(), q.status, q.how)
			})
		}
	})
	time.Sleep(3 * time.Second)
	sendOdd := func() error {
		if !t.trouble {
			return nil
		}
		status, err := odd(leaving)
		t.logf("at %.3f another writer sends a heartbeat for %s with a number that is too large: status %d", time.Since(start).Seconds(), leaving.endpoint.id, status)
		return err
	}
	if oddAt < 0 {
		if err := sendOdd(); err != nil {
			return false, err
		}
		time.Sleep(-oddAt)
	}
	acked, err := leaving.endpoint.leave(ctx)
	if err != nil {
		return false, err
	}
	t.logf("at %.3f the node acknowledges that %s is draining", acked.Sub(start).Seconds(), leaving.endpoint.id)
	if oddAt > 0 {
		time.Sleep(oddAt)
		if err := sendOdd(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	if err := leaving.endpoint.exit(ctx); err != nil {
		t.logf("the leave message of %s fails: %v", leaving.endpoint.id, err)
	}
	t.logf("at %.3f %s has left and ends", time.Since(start).Seconds(), leaving.endpoint.id)
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	late, brokenOff := 0, 0
	for _, x := range leaving.endpoint.allRuns() {
		if x.dropped {
			brokenOff++
		}
		if x.arrived.Sub(acked) > drainTime {
			late++
			t.logf("request %s reached %s at %.3f, %.3f s after the acknowledgement", x.id, x.endpoint, x.arrived.Sub(start).Seconds(), x.arrived.Sub(acked).Seconds())
		}
	}
	t.logf("requests that reached the leaving endpoint later than drain-ms after the acknowledgement: %d; of all, cut off as it ended: %d", late, brokenOff)
	fmt.Printf("later than drain-ms after the acknowledgement: %d; cut off as the endpoint ended: %d\n", late, brokenOff)
	return late == 0, nil
}
