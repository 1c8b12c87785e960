package demand

const (
	// maxRoutes bounds the routes of one evidence. A node learns anew when there are more.
	maxRoutes = 1024
	// maxSamples is the number of requests of a route after which its counts are halved,
	// so that a changed use of the route is noticed.
	maxSamples = 2000
	// minExpectedOutside is the number of requests from outside that a route of clients
	// must be expected to have had before it counts as one of nested calls. By chance,
	// such a route has less than nestedOutsideShare of them in 1 of 2,000 cases.
	minExpectedOutside = 12
	// nestedOutsideShare is the largest share of the expected requests from outside with
	// which a route counts as one of nested calls. Requests of a server that ran on after
	// its gate gave up are taken for some.
	nestedOutsideShare = 0.2
	// outsideConnArrivals is the number of requests that arrived while the backend server
	// was idle after which a connection is known not to be one of the backend server.
	outsideConnArrivals = 2
)

// Conn is what is known of one connection of a caller. The backend server and clients
// share no connection, so that one request of a client identifies all others. It is
// guarded by the Tracker.
type Conn struct {
	idleArrivals int
}

func (c *Conn) outside() bool { return c != nil && c.idleArrivals >= outsideConnArrivals }

// evidence counts the requests of each route and those of them that are known to come
// from outside, since the backend server of the node that received them was idle or the
// connection carried such a request before.
type evidence struct {
	routes map[string]*origin
}

type origin struct {
	requests, outside float64
	nested            bool
}

// add counts a request of the given route.
func (e *evidence) add(route string, outside bool) {
	o := e.routes[route]
	if o == nil {
		if e.routes == nil || len(e.routes) >= maxRoutes {
			e.routes = make(map[string]*origin)
		}
		o = new(origin)
		e.routes[route] = o
	}
	if o.requests++; o.requests > maxSamples {
		o.requests, o.outside = o.requests/2, o.outside/2
	}
	if outside {
		o.outside++
	}
	expected := o.requests * e.outsideShare()
	o.nested = expected >= minExpectedOutside && o.outside <= nestedOutsideShare*expected
}

// outsideShare returns the share of the requests of clients that are known to come from
// outside.
func (e *evidence) outsideShare() float64 {
	requests, outside := 0.0, 0.0
	for _, o := range e.routes {
		if !o.nested {
			requests += o.requests
			outside += o.outside
		}
	}
	if requests == 0 {
		return 0
	}
	return outside / requests
}

func (e *evidence) nested(route string) bool {
	o := e.routes[route]
	return o != nil && o.nested
}
