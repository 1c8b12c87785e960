package intake

const (
	// connMemory is the memory of the process for which it accepts one connection of a
	// caller. An idle one takes about 20 KiB; the rest is for all else.
	connMemory = 96 << 10
	// headerMemoryShare is the share of the memory of the process that headers which
	// callers are sending may take together: 600 headers of 16 kB at 134 MB.
	headerMemoryShare = 0.15
	// requestMemoryShare is the same for requests in flight: their headers, buffered
	// bodies and small responses.
	requestMemoryShare = 0.3
	// streamMemoryShare is the same for HTTP/2 streams, from their first frame until their
	// handler has returned. It allows more of them than requestMemoryShare, so that requests
	// are refused rather than held back while their handlers run.
	streamMemoryShare = 0.05
	// peerMemoryShare is the same for headers that other nodes are sending.
	peerMemoryShare = 0.1
	// callerFileShare and peerFileShare are the shares of the descriptors for connections
	// of callers and of other nodes. The rest is for connections that the node opens.
	callerFileShare = 0.4
	peerFileShare   = 0.4
	// peerWaitingShare is the share of the descriptors for connections of other nodes that
	// have not carried a request yet. Nodes send one at once.
	peerWaitingShare = 0.1
	// gateRequestShare is the share of the connections of other nodes that requests which run
	// or are queued at the gate may take. The gate refuses others, which need a connection
	// only for that, so that none waits to be accepted.
	gateRequestShare = 0.5
	// gateConnShare is the share of the descriptors for requests in flight to one gate. If that
	// is the gate of the same node, each takes three: from the caller, to the gate and at it.
	gateConnShare = 0.16
	// idleConnShare is the share of the descriptors for idle connections to all gates, of bulk
	// and of other ranks each.
	idleConnShare = 0.1
	// minConns is the least number of connections of any listener.
	minConns = 16
	// otherFileShare is the share of the descriptors for each other listener: readiness,
	// heartbeats and metrics.
	otherFileShare = 1.0 / 32
)

// Limits bound what a node accepts and the connections that it opens. A field that is 0 is no
// bound.
type Limits struct {
	CallerConns      int
	PeerConns        int
	PeerWaitingConns int
	PeerKeepAlive    int   // open connections of other nodes above which responses close theirs
	GateRequests     int   // requests that run or are queued at the gate
	GateConns        int   // requests in flight to one gate, and connections to it
	IdleConns        int   // idle connections to all gates, of bulk and of other ranks each
	OtherConns       int   // of each other listener
	HeaderMemory     int64 // in bytes, of headers that callers are sending
	RequestMemory    int64 // in bytes, of requests of callers in flight
	StreamMemory     int64 // in bytes, of HTTP/2 streams of callers
	PeerMemory       int64 // in bytes, of headers from other nodes
}

// LimitsFor returns the limits of a process with the given memory in bytes and number of
// descriptors. 0 means that it has no such limit.
func LimitsFor(memory int64, files int) Limits {
	part := func(s float64) int64 { return int64(s * float64(memory)) }
	l := Limits{
		HeaderMemory: part(headerMemoryShare), RequestMemory: part(requestMemoryShare),
		StreamMemory: part(streamMemoryShare), PeerMemory: part(peerMemoryShare),
	}
	if memory > 0 {
		l.CallerConns = max(int(memory/connMemory), minConns)
	}
	if files <= 0 {
		return l
	}
	share := func(s float64) int { return max(int(s*float64(files)), minConns) }
	l.PeerConns, l.PeerWaitingConns, l.OtherConns = share(peerFileShare), share(peerWaitingShare), share(otherFileShare)
	l.GateRequests = int(gateRequestShare * float64(l.PeerConns))
	l.PeerKeepAlive = l.PeerConns - l.GateRequests
	l.GateConns, l.IdleConns = share(gateConnShare), share(idleConnShare)
	if n := share(callerFileShare); l.CallerConns == 0 || n < l.CallerConns {
		l.CallerConns = n
	}
	return l
}

const (
	// lineCost is the memory of a parsed header field beyond its text, in bytes.
	lineCost = 128
	// http2Cost is the memory of a byte of an HTTP/2 header block: 2 bytes may be a field.
	http2Cost = 8
	// maxHTTP2Cost bounds the memory of an HTTP/2 header block; net/http drops what is
	// beyond its limit.
	maxHTTP2Cost = 128 << 10
	// responseCost is the memory of a request that is in flight: small responses are read
	// into a buffer of 32 KiB.
	responseCost = 40 << 10
	// streamCost is the same over HTTP/2, where each request has a goroutine and buffers of
	// its own. With 80 KiB, requests whose responses nobody reads took 95 of 96 MiB.
	streamCost = 192 << 10
)

// StreamCost is the memory in bytes of an HTTP/2 stream without what RequestCost counts: 8 to
// 16 KiB of stack, a buffer of 4 KiB and about 4 KiB for the request.
const StreamCost = 24 << 10

// HeaderCost returns the memory in bytes of an HTTP/1 header of the given size and number
// of lines.
func HeaderCost(size, lines int) int64 { return int64(size) + lineCost*int64(lines) }

// BlockCost returns the memory in bytes of an HTTP/2 header block of which size bytes have
// arrived.
func BlockCost(size int) int64 { return min(http2Cost*int64(size), maxHTTP2Cost) }

// RequestCost returns the memory in bytes of a request in flight whose header has the given
// size and number of fields.
func RequestCost(size, fields int, http2 bool) int64 {
	if http2 {
		return HeaderCost(size, fields) + streamCost
	}
	return HeaderCost(size, fields) + responseCost
}
