package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestOwner guards against an answer that is believed although it may belong to another
// request, and against one of the request itself that is not.
func TestOwner(t *testing.T) {
	first, later := hop.Exchange{Requests: 1}, hop.Exchange{Requests: 2}
	for name, c := range map[string]struct {
		named          []string
		x              hop.Exchange
		notRun, echoes bool
		own            bool
	}{
		"own id":                            {named: []string{"r"}, x: later, notRun: true, echoes: true, own: true},
		"own id twice":                      {named: []string{"r", "r"}, x: later, notRun: true, echoes: true, own: true},
		"another id":                        {named: []string{"s"}, x: first},
		"own id, then another":              {named: []string{"r", "s"}, x: first},
		"another id, then the own":          {named: []string{"s", "r"}, x: first},
		"list of ids":                       {named: []string{"r, s"}, x: first},
		"empty id":                          {named: []string{""}, x: first},
		"own id, early":                     {named: []string{"r"}, x: hop.Exchange{Requests: 1, Early: 1}},
		"no id, early":                      {x: hop.Exchange{Requests: 1, Early: 1}},
		"no id, none needed":                {x: later, own: true},
		"rejection without an id, first":    {x: first, notRun: true, own: true},
		"rejection without an id, later":    {x: later, notRun: true},
		"no id from a server that echoes":   {x: later, echoes: true},
		"no id from one that echoes, first": {x: first, echoes: true, own: true},
		"rejection without an id, echoes":   {x: first, notRun: true, echoes: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := foreignRefusal(c.named, "r", c.x, c.notRun, c.echoes)
			if c.own {
				require.Nil(t, e)
				return
			}
			require.NotNil(t, e)
			require.Equal(t, fault.RunUnknown, e.Run)
		})
	}
}

// TestRejectionOnAccept guards against a rejection that a backend server writes when it
// accepts a connection, before any request, and that counts as the answer to the first
// request, which runs.
func TestRejectionOnAccept(t *testing.T) {
	ran := make(chan string, 1000)
	addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Rejected\r\nLavenderrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		ran <- req.Header.Get("Lavenderrill-Request-Id")
	})
	g := newTestGate(t, addr, platformDialect)
	notRun := make(map[string]bool)
	for range 300 {
		g.resetFailures()
		req := g.request(t, http.MethodPost, "seat", time.Second)
		p := send(t, req)
		if p.header.Get(fault.RunHeader) == string(fault.NotRun) {
			notRun[req.Header.Get(mesh.RequestHeader)] = true
		}
	}
	time.Sleep(50 * time.Millisecond)
	wrong, total := 0, len(ran)
	for range total {
		if notRun[<-ran] {
			wrong++
		}
	}
	require.NotZero(t, total)
	require.Zero(t, wrong, "of %d requests that ran, stated as not run; %d refused as not run", total, len(notRun))
}

// TestRejectionOfEarlierAttempt guards against a late copy of the rejection of an earlier
// attempt with the same id that counts as the answer to the next attempt, which runs.
func TestRejectionOfEarlierAttempt(t *testing.T) {
	ran := make(chan struct{}, 1)
	addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Rejected\r\nLavenderrill-Request-Id: %s\r\nLavenderrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
				req.Header.Get("Lavenderrill-Request-Id"))
			if n > 0 {
				ran <- struct{}{} // the answer above is a copy of the first one
			}
		}
	})
	g := newTestGate(t, addr, platformDialect)
	for attempt := range 2 {
		req := g.request(t, http.MethodPost, "seat", time.Second)
		req.Header.Set(mesh.RequestHeader, "r-same")
		req.Header.Set(mesh.AttemptHeader, fmt.Sprint(attempt+1))
		p := send(t, req)
		notRun := p.header.Get(fault.RunHeader) == string(fault.NotRun)
		if attempt == 0 {
			require.True(t, notRun)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case <-ran:
			require.False(t, notRun, "the second attempt has run")
		case <-time.After(time.Second):
			t.Fatal("the second attempt used another connection")
		}
	}
}
