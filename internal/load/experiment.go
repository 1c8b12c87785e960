package load

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Experiment is one YAML file.
type Experiment struct {
	Name   string        `yaml:"-"` // of the file, without its extension
	About  string        `yaml:"about"`
	Seed   uint64        `yaml:"seed"`   // of arrivals, relays and stand-ins
	Settle time.Duration `yaml:"settle"` // wait between the start of the mesh and the first phase
	Mesh   Mesh          `yaml:"mesh"`
	Phases []Phase       `yaml:"phases"`

	dir string // of the file; Mesh.Config is relative to it
}

// Mesh describes the processes that are started.
type Mesh struct {
	Nodes       int                     `yaml:"nodes"`
	Zones       []mesh.AvailabilityZone `yaml:"zones"`
	Services    []mesh.Service          `yaml:"services"` // of the backend servers, in turn; none are started if empty
	Config      string                  `yaml:"config"`   // file with the fleet and template documents
	Template    string                  `yaml:"template"` // template of the client accounts
	Accounts    int                     `yaml:"accounts"` // client accounts, named a0, a1, ...
	Slots       int                     `yaml:"slots"`    // of a backend server
	ServiceTime string                  `yaml:"time"`     // service time; see backend.ParseTime
	Queue       int                     `yaml:"queue"`    // requests that wait at a backend server, first come first served
	Loss        float64                 `yaml:"loss"`     // share of peer datagrams lost; above 0 starts relays
	Relays      bool                    `yaml:"relays"`   // relays without loss
}

// Phase is a part of an experiment with one load.
type Phase struct {
	Name     string        `yaml:"name"`
	WarmUp   time.Duration `yaml:"warm"` // before the phase, under its load but not counted
	Duration time.Duration `yaml:"duration"`
	Via      Via           `yaml:"via"` // of entries without their own
	Load     []StreamSpec  `yaml:"load"`
	Edits    *Edits        `yaml:"edits"`
	Events   []Event       `yaml:"events"`
}

// Via is the way of requests to backend servers.
type Via string

// The ways.
const (
	ViaMesh   Via = "mesh"   // through any node
	ViaDirect Via = "direct" // to the backend servers in turn, without retries
	// ViaRoundRobin is the baseline of floods: to the backend servers in turn,
	// first come first served there, repeated at once without a budget.
	ViaRoundRobin Via = "round-robin"
)

// StreamSpec is one stream of requests.
type StreamSpec struct {
	Rank           mesh.Rank     `yaml:"rank"` // whose target and worth count; the route decides the rank in the mesh
	Via            Via           `yaml:"via"`
	Method         string        `yaml:"method"`
	Path           string        `yaml:"path"` // with query; see package backend for parameters
	Rate           float64       `yaml:"rate"` // requests/s
	CapacityFactor float64       `yaml:"times"`
	Arrivals       string        `yaml:"arrivals"` // poisson (default), constant or burst
	Burst          int           `yaml:"burst"`    // requests of a burst, which begin together
	Accounts       int           `yaml:"accounts"` // client accounts used in turn; all if 0
	ResponseBytes  int           `yaml:"size"`     // bytes of the response body
	RequestBytes   int           `yaml:"body"`     // bytes of the request body
	Depth          int           `yaml:"depth"`    // nested calls below each request
	Timeout        time.Duration `yaml:"timeout"`  // of one request; 5 s if 0
	Service        mesh.Service  `yaml:"service"`  // backend servers of requests that bypass the mesh; all if empty
}

// Edits is a stream of edits of client accounts.
type Edits struct {
	Rate         float64       `yaml:"rate"`    // edits/s
	Observe      bool          `yaml:"observe"` // poll every node until it serves the version
	PollInterval time.Duration `yaml:"poll"`    // interval of polls; 5 ms if 0
}

// Event is a fault at a time after the warm-up of a phase.
type Event struct {
	At       time.Duration `yaml:"at"`
	Action   string        `yaml:"do"`    // replace, restart, platform or servers
	Share    float64       `yaml:"share"` // of nodes or backend servers
	Duration time.Duration `yaml:"for"`   // length of platform and servers; until the end of the phase if 0
	// Outage of the platform: reset, error or hang.
	Outage string `yaml:"outage"`
	// Behaviour of backend servers.
	ServiceTime  string   `yaml:"time"`
	Shed         float64  `yaml:"shed"`
	ReportedLoad *float64 `yaml:"says"` // response of the load endpoint in place of the true one
}

// The events.
const (
	// doReplace kills nodes with their backend servers and starts them again.
	doReplace = "replace"
	// doRestart kills nodes alone and starts them again.
	doRestart = "restart"
	// doPlatform makes the platform unavailable.
	doPlatform = "platform"
	// doServers changes the behaviour of backend servers.
	doServers = "servers"
)
