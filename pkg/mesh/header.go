package mesh

// Header names that the processes of a mesh, backend servers included,
// exchange with each request.
const (
	// RequestHeader carries the RequestID; it is echoed on every answer.
	RequestHeader = "Lavenderrill-Request"
	// DeadlineHeader carries the remaining time of a request in milliseconds.
	DeadlineHeader = "Lavenderrill-Deadline"
	// AttemptHeader carries the attempt number of a request, counted from 1.
	AttemptHeader = "Lavenderrill-Attempt"
	// CallHeader tells apart incoming requests with the same RequestID, which
	// callers may choose.
	CallHeader = "Lavenderrill-Call"
	// DepthHeader carries the number of mesh calls above this one.
	DepthHeader = "Lavenderrill-Depth"
	// PressureHeader carries the pressure of a gate per rank.
	PressureHeader = "Lavenderrill-Pressure"
	// WantHeader asks a node for something of its own in place of its gate.
	WantHeader = "Lavenderrill-Want"
	// StartHeader carries the time in milliseconds within which a request must be
	// passed to the backend server, because the node that sent it stops.
	StartHeader = "Lavenderrill-Start"
	// TargetHeader carries the time in milliseconds that is left for an answer of
	// full worth, 0 if it has passed.
	TargetHeader = "Lavenderrill-Target"
	// LoadHeader carries the load of a gate.
	LoadHeader = "Lavenderrill-Load"
	// VersionHeader carries the configuration version that routed a request.
	VersionHeader = "Lavenderrill-Version"
	// RankHeader carries the rank that the route gives to a request.
	RankHeader = "Lavenderrill-Rank"
	// AccountHeader carries the client account that the route belongs to.
	AccountHeader = "Lavenderrill-Account"
	// ServiceHeader carries the service that the request was routed to.
	ServiceHeader = "Lavenderrill-Service"
	// RouteHeader carries the name of the route.
	RouteHeader = "Lavenderrill-Route"
	// CallerHeader carries the service of the VM on which a request began.
	CallerHeader = "Lavenderrill-Caller"
	// HopHeader carries the authentication token of a request forwarded from
	// one node to another.
	HopHeader = "Lavenderrill-Hop"
)
