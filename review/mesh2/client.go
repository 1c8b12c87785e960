package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id       string
	sent     time.Time // when its last byte was written
	ended    time.Time
	status   int    // 0 if there was no answer
	signed   bool   // the answer has the signature of an endpoint
	whole    bool   // the answer is complete
	how      string // how it ended, if there was no complete answer
	deadline time.Duration
}

var lastID atomic.Uint64

// send sends a request on a new connection and waits until its deadline.
func send(addr, method, host, path string, deadline time.Duration) *request {
	return sendWithID(addr, method, host, path, deadline, fmt.Sprintf("%016x", lastID.Add(1)))
}

// sendWithID is send for a request with the given id.
func sendWithID(addr, method, host, path string, deadline time.Duration, id string) *request {
	q := &request{id: id, deadline: deadline}
	defer func() { q.ended = time.Now() }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		q.how = "no connection"
		return q
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline)) // c is open
	_, err = fmt.Fprintf(c, "%s %s%s HTTP/1.1\r\nHost: %s\r\nLavenderrill-Request-Id: %s\r\nLavenderrill-Deadline-Ms: %d\r\n\r\n",
		method, path, q.id[max(0, len(q.id)-16):], host, q.id, deadline.Milliseconds())
	q.sent = time.Now()
	if err != nil {
		q.how = "not sent"
		return q
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		q.how = describe(err)
		return q
	}
	defer resp.Body.Close()
	q.status, q.signed = resp.StatusCode, resp.Header.Get("Lavenderrill-Response-Signature") != ""
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		q.how = describe(err)
		return q
	}
	q.whole = true
	return q
}

// describe says how a connection ended.
func describe(err error) string {
	if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
		return "deadline of the client"
	}
	return "connection closed"
}
