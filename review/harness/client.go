package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method, Host, Path string
	Body               []byte
	Deadline           time.Duration
}

// Answer is what the client received.
type Answer struct {
	ID        string
	Status    int // 0 if there was no answer
	Body      []byte
	Signature string
	Err       error // the answer is missing or incomplete
}

// Send sends r to the node beside the client on a new connection and returns the answer.
func (n *Node) Send(ctx context.Context, r Request) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+n.addr(outboundPort)+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = r.Host
	req.Header.Set("Lavenderrill-Request-Id", a.ID)
	req.Header.Set("Lavenderrill-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	t := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	n.d.Record.Printf("client at %s: sends %s %s %s", n.Name, a.ID, r.Method, r.Path)
	resp, err := t.RoundTrip(req)
	if err != nil {
		a.Err = err
		n.d.Record.Printf("client at %s: %s has no answer: %v", n.Name, a.ID, err)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Signature = resp.StatusCode, resp.Header.Get("Lavenderrill-Response-Signature")
	a.Body, a.Err = io.ReadAll(resp.Body)
	n.d.Record.Printf("client at %s: %s answered %d, signature %q, %d bytes, %v", n.Name, a.ID, a.Status, a.Signature, len(a.Body), a.Err)
	return a
}
