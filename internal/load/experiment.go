package load

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name   string        `yaml:"-"` // file name without its extension
	About  string        `yaml:"about"`
	Seed   uint64        `yaml:"seed"`   // for arrivals, relays and stand-ins
	Settle time.Duration `yaml:"settle"` // wait between the start of the mesh and the first phase
	Mesh   Mesh          `yaml:"mesh"`
	Phases []Phase       `yaml:"phases"`

	dir string // directory of the file; Mesh.Config is relative to it
}

// Mesh describes the processes to start.
type Mesh struct {
	Nodes       int                     `yaml:"nodes"`
	Zones       []mesh.AvailabilityZone `yaml:"zones"`
	Services    []mesh.Service          `yaml:"services"` // assigned to the backend servers in rotation; if empty, none are started
	Config      string                  `yaml:"config"`   // file with the fleet and template documents
	Template    string                  `yaml:"template"` // template of the client accounts
	Accounts    int                     `yaml:"accounts"` // client accounts, named a0, a1, ...
	Slots       int                     `yaml:"slots"`    // per backend server
	ServiceTime string                  `yaml:"time"`     // see backend.ParseServiceTime
	Queue       int                     `yaml:"queue"`    // FIFO queue capacity of a backend server, in requests
	Loss        float64                 `yaml:"loss"`     // share of peer datagrams lost; above 0, relays are started
	Relays      bool                    `yaml:"relays"`   // start relays even without loss
}

// Phase is a part of an experiment with a fixed load.
type Phase struct {
	Name     string        `yaml:"name"`
	WarmUp   time.Duration `yaml:"warm"` // time before the phase in which its load is sent but not counted
	Duration time.Duration `yaml:"duration"`
	Via      Via           `yaml:"via"` // default of the streams in Load
	Load     []StreamSpec  `yaml:"load"`
	Edits    *Edits        `yaml:"edits"`
	Events   []Event       `yaml:"events"`
}

// Via selects how requests reach the backend servers.
type Via string

// Values of Via, which select whether requests go through the mesh or directly to
// the backend servers.
const (
	ViaMesh   Via = "mesh"   // through any node
	ViaDirect Via = "direct" // to the backend servers in rotation, without retries
	// ViaRoundRobin is the baseline of overload experiments: requests go to the
	// FIFO queues of the backend servers in rotation and are retried immediately,
	// without a retry budget.
	ViaRoundRobin Via = "round-robin"
)

// StreamSpec describes one stream of requests.
type StreamSpec struct {
	Rank           mesh.Rank     `yaml:"rank"` // its target and worth apply; in the mesh, the route determines the rank
	Via            Via           `yaml:"via"`
	Method         string        `yaml:"method"`
	Path           string        `yaml:"path"`     // with query; package backend describes the parameters
	Rate           float64       `yaml:"rate"`     // requests/s
	CapacityFactor float64       `yaml:"times"`    // rate as a multiple of the capacity of all backend servers
	Arrivals       string        `yaml:"arrivals"` // poisson (default), constant or burst
	Burst          int           `yaml:"burst"`    // requests per burst, which start at the same time
	Entries        int           `yaml:"entries"`  // number of nodes, the last ones, that the requests enter at; all if 0
	Accounts       int           `yaml:"accounts"` // number of client accounts to rotate over; all if 0
	ResponseBytes  int           `yaml:"size"`     // size of the response body
	RequestBytes   int           `yaml:"body"`     // size of the request body
	Depth          int           `yaml:"depth"`    // depth of the nested calls of each request
	Timeout        time.Duration `yaml:"timeout"`  // of one request; default 5 s
	Service        mesh.Service  `yaml:"service"`  // of the backend servers for requests that bypass the mesh; all if empty
}

// Edits is a stream of edits of client accounts.
type Edits struct {
	Rate         float64       `yaml:"rate"`    // edits/s
	Observe      bool          `yaml:"observe"` // poll every node until it serves the version
	PollInterval time.Duration `yaml:"poll"`    // default 5 ms
}

// Event is a fault that is injected during a phase.
type Event struct {
	At       time.Duration `yaml:"at"`    // since the end of the warm-up
	Action   string        `yaml:"do"`    // replace, restart, platform or servers
	Share    float64       `yaml:"share"` // share of nodes or backend servers affected
	Duration time.Duration `yaml:"for"`   // of platform and servers events; until the end of the phase if 0
	// Outage is the kind of a platform outage: reset, error or hang.
	Outage string `yaml:"outage"`
	// The following fields set the behavior of backend servers.
	ServiceTime  string   `yaml:"time"`
	Shed         float64  `yaml:"shed"`
	ReportedLoad *float64 `yaml:"says"` // load reported by the load endpoint instead of the actual one
}

// Values of Event.Action.
const (
	// actionReplace kills nodes and their backend servers and starts them again.
	actionReplace = "replace"
	// actionRestart kills only the nodes and starts them again.
	actionRestart = "restart"
	// actionPlatform makes the platform unavailable.
	actionPlatform = "platform"
	// actionServers changes the behavior of backend servers.
	actionServers = "servers"
)
