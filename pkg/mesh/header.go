package mesh

// Header names that the processes of a mesh, backend servers included,
// exchange with each request.
const (
	// RequestHeader carries the RequestID; it is echoed on every response.
	RequestHeader = "Lavenderrill-Request"
	// DeadlineHeader carries the remaining time of a request in milliseconds.
	DeadlineHeader = "Lavenderrill-Deadline"
	// AttemptHeader carries the attempt number of a request, counted from 1.
	AttemptHeader = "Lavenderrill-Attempt"
	// CallHeader distinguishes incoming requests with the same RequestID, since
	// callers may choose the RequestID.
	CallHeader = "Lavenderrill-Call"
	// DepthHeader carries the number of nested mesh calls that led to this one.
	DepthHeader = "Lavenderrill-Depth"
	// PressureHeader carries the pressure of a gate for each rank.
	PressureHeader = "Lavenderrill-Pressure"
	// WantHeader names a resource that the node serves itself, such as its
	// configuration, instead of passing the request to its gate.
	WantHeader = "Lavenderrill-Want"
	// StartHeader carries the time in milliseconds within which a request must be
	// passed to the backend server. A stopping node sets it.
	StartHeader = "Lavenderrill-Start"
	// EndHeader carries the time in milliseconds within which a request must end. A
	// stopping node sets it.
	EndHeader = "Lavenderrill-End"
	// WantEnd is the value of WantHeader in a notice of a stopping node: the requests
	// of which the body holds the values of CallHeader, one a line, must end within the
	// time of EndHeader.
	WantEnd = "end"
	// TargetHeader carries the remaining time in milliseconds within which a
	// response has full worth, 0 if it has passed.
	TargetHeader = "Lavenderrill-Target"
	// LoadHeader carries the load of a gate.
	LoadHeader = "Lavenderrill-Load"
	// ReportsHeader carries what a node knows of the load of endpoints. Requests between
	// nodes of one availability zone have it.
	ReportsHeader = "Lavenderrill-Reports"
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
	// CallerHeader carries the service of the VM that a request originates from.
	CallerHeader = "Lavenderrill-Caller"
	// OriginHeader says where a request comes from, if the node that received it knows:
	// OriginCall or OriginClient. In a response, OriginCall says that the route is one of
	// nested calls.
	OriginHeader = "Lavenderrill-Origin"
	// OriginCall marks a nested call of a backend server, whose request holds a slot.
	OriginCall = "call"
	// OriginClient marks a request that cannot be a nested call.
	OriginClient = "client"
	// ShortageHeader carries the share of the requests of each rank that a gate refuses.
	ShortageHeader = "Lavenderrill-Shortage"
	// NeedsHeader names the services that requests of the called service need.
	NeedsHeader = "Lavenderrill-Needs"
	// HopHeader carries the authentication token of a request forwarded from
	// one node to another.
	HopHeader = "Lavenderrill-Hop"
)
