package endless

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Response is a response that does not end: Head once, then Repeat until the client
// closes the connection, with a pause before each if Pause is not 0.
type Response struct {
	Head, Repeat string
	Pause        time.Duration
}

const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

var block = strings.Repeat("a", 4<<10)

// Responses has a response for each part of an HTTP/1.1 message that may lack an end.
var Responses = map[string]Response{
	"no protocol":         {Head: "", Repeat: block},
	"no protocol, lines":  {Head: "", Repeat: strings.Repeat("\x01", 100) + "\r\n"},
	"status line":         {Head: "HTTP/1.1 200 ", Repeat: block},
	"header line":         {Head: ok + "X: ", Repeat: block},
	"header lines":        {Head: ok, Repeat: "X: " + block + "\r\n"},
	"empty header lines":  {Head: ok, Repeat: "X: \r\n"},
	"continued lines":     {Head: ok + "X: y\r\n", Repeat: " z\r\n"},
	"informational":       {Head: "", Repeat: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	"100 continue":        {Head: "", Repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
	"chunk size":          {Head: ok + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "0"},
	"chunk extension":     {Head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat: block},
	"small chunks":        {Head: ok + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1;" + block[:1000] + "\r\na\r\n"},
	"chunked body":        {Head: ok + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + block + "\r\n"},
	"trailer":             {Head: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", Repeat: block},
	"trailers":            {Head: ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Repeat: "X: y\r\n"},
	"body without length": {Head: ok + "\r\n", Repeat: block},
	"body of huge length": {Head: ok + "Content-Length: 9000000000000000000\r\n\r\n", Repeat: block},
	"failure":             {Head: "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\r\n", Repeat: block},
	"failure in chunks":   {Head: "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", Repeat: "1000\r\n" + block + "\r\n"},
}

// Server sends a Response to each request. The text ID in its head is replaced by the id
// of the request.
type Server struct {
	listener  net.Listener
	responses []Response // of the connections in turn
	accepted  int
	conns     sync.WaitGroup
}

// NewServer starts a server on addr. Close stops it.
func NewServer(addr string, rs ...Response) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, responses: rs}
	s.conns.Go(s.accept)
	return s, nil
}

// Addr returns the address of s.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops s and waits until the clients have closed all connections.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.conns.Wait()
	return err
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		r := s.responses[s.accepted%len(s.responses)]
		s.accepted++
		s.conns.Go(func() { serve(c, r) })
	}
}

func serve(c net.Conn, r Response) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = io.WriteString(c, strings.ReplaceAll(r.Head, "ID", req.Header.Get("Lavenderrill-Request-Id")))
	repeat := []byte(r.Repeat) // no garbage that would count as the client's
	for err == nil {
		time.Sleep(r.Pause)
		_, err = c.Write(repeat)
	}
}

// PeakHeap calls f and returns by how many bytes the heap in use grew at most meanwhile.
func PeakHeap(f func()) uint64 {
	runtime.GC()
	before := heapInUse()
	done := make(chan struct{})
	peak := make(chan uint64)
	go func() {
		highest := before
		for {
			highest = max(highest, heapInUse())
			select {
			case <-done:
				peak <- max(highest, heapInUse())
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	f()
	close(done)
	return <-peak - before
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
