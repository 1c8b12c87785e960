package fault

import "net/http"

// Kind is an error kind from a closed list.
type Kind string

// The error kinds.
const (
	BadRequest          Kind = "bad_request"
	HeaderTooLarge      Kind = "header_too_large"
	BodyTooLarge        Kind = "body_too_large"
	Unauthorized        Kind = "unauthorized"
	NoRoute             Kind = "no_route"
	MethodNotAllowed    Kind = "method_not_allowed"
	RateLimited         Kind = "rate_limited"
	Overloaded          Kind = "overloaded"
	Throttled           Kind = "throttled"
	Draining            Kind = "draining"
	NoEndpoint          Kind = "no_endpoint"
	NotReady            Kind = "not_ready"
	DeadlineExceeded    Kind = "deadline_exceeded"
	OutcomeUnknown      Kind = "outcome_unknown"
	Canceled            Kind = "canceled"
	DepthExceeded       Kind = "depth_exceeded"
	Conflict            Kind = "conflict"
	NotFound            Kind = "not_found"
	InvalidConfig       Kind = "invalid_config"
	PlatformUnavailable Kind = "platform_unavailable"
	Settings            Kind = "settings"
	Internal            Kind = "internal"
)

// RunState tells whether a refused request may have had an effect.
type RunState string

// The run states of a refused request.
const (
	// NotRun means that no byte of the request reached a backend server, or
	// that the backend server itself said that it did not run the request.
	NotRun RunState = "not-run"
	// RunUnknown means that the request may have run.
	RunUnknown RunState = "unknown"
)

// StatusClientClosed is the non-standard status recorded for a request whose
// caller went away before it was answered.
const StatusClientClosed = 499

// KindInfo describes how an error kind is reported.
type KindInfo struct {
	Status   int      // HTTP status code
	Run      RunState // default run state
	ExitCode int      // exit code of the command line
}

// Exit codes of the command line.
const (
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
)

var kindInfos = map[Kind]KindInfo{
	BadRequest:          {http.StatusBadRequest, NotRun, ExitRefused},
	HeaderTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, NotRun, ExitRefused},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, NotRun, ExitRefused},
	Unauthorized:        {http.StatusUnauthorized, NotRun, ExitRefused},
	NoRoute:             {http.StatusNotFound, NotRun, ExitRefused},
	MethodNotAllowed:    {http.StatusMethodNotAllowed, NotRun, ExitRefused},
	RateLimited:         {http.StatusTooManyRequests, NotRun, ExitRefused},
	Overloaded:          {http.StatusServiceUnavailable, NotRun, ExitRefused},
	Throttled:           {http.StatusServiceUnavailable, NotRun, ExitRefused},
	Draining:            {http.StatusServiceUnavailable, NotRun, ExitRefused},
	NoEndpoint:          {http.StatusServiceUnavailable, NotRun, ExitRefused},
	NotReady:            {http.StatusServiceUnavailable, NotRun, ExitRefused},
	DeadlineExceeded:    {http.StatusGatewayTimeout, NotRun, ExitRefused},
	OutcomeUnknown:      {http.StatusBadGateway, RunUnknown, ExitUnknown},
	Canceled:            {StatusClientClosed, RunUnknown, ExitUnknown},
	DepthExceeded:       {http.StatusLoopDetected, NotRun, ExitRefused},
	Conflict:            {http.StatusConflict, NotRun, ExitRefused},
	NotFound:            {http.StatusNotFound, NotRun, ExitRefused},
	InvalidConfig:       {http.StatusUnprocessableEntity, NotRun, ExitRefused},
	PlatformUnavailable: {http.StatusServiceUnavailable, NotRun, ExitRefused},
	Settings:            {http.StatusInternalServerError, NotRun, ExitUsage},
	Internal:            {http.StatusInternalServerError, RunUnknown, ExitRefused},
}

// LookupKind returns the KindInfo of k, or that of Internal for a kind outside
// the list.
func LookupKind(k Kind) KindInfo {
	if a, ok := kindInfos[k]; ok {
		return a
	}
	return kindInfos[Internal]
}

// Kinds returns all error kinds in no particular order.
func Kinds() []Kind {
	ks := make([]Kind, 0, len(kindInfos))
	for k := range kindInfos {
		ks = append(ks, k)
	}
	return ks
}
