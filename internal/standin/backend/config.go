package backend

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Config configures a Server.
type Config struct {
	Service    mesh.Service
	Listen     string // listen address of requests; 127.0.0.1:0 if empty
	Control    string // listen address of control and journal; 127.0.0.1:0 if empty
	NodeAddr   string // backend listener of its node; not announced if empty
	CallerAddr string // caller listener of its node, for nested calls

	Slots        int           // maximum number of concurrent requests; 20 if 0
	Connections  int           // maximum number of open connections; 110 if 0
	Queue        int           // maximum number of requests waiting for a slot; others are shed
	AcceptTime   time.Duration // time to accept one connection
	ColdStart    time.Duration // time in the state starting
	WarmUp       time.Duration // time after the cold start in which service times fall to normal
	DrainTimeout time.Duration // maximum wait for requests in flight; 30 s if 0

	Behavior Behavior // initial behavior, which can change at run time
	Journal  string   // path of the journal file; memory only if empty
	Seed     uint64   // seed of service times and shedding
	Log      *zap.Logger
}

// Behavior holds the settings that can change while the server runs.
type Behavior struct {
	ServiceTime ServiceTime `json:"time"`           // service time of requests without the time parameter
	Size        int         `json:"size,omitempty"` // body size of requests without the size parameter
	Shed        float64     `json:"shed,omitempty"` // share of requests refused without execution
	// Health and Load override the actual responses of the health and load
	// endpoints. Health is an HTTP status.
	Health int      `json:"health,omitempty"`
	Load   *float64 `json:"load,omitempty"`
	// Silent stops the announcements, like a server that hangs.
	Silent bool `json:"silent,omitempty"`
	// Truncate closes the connection after that many bytes of each body; 0
	// disables it.
	Truncate int `json:"truncate,omitempty"`
	// WrongID returns another request id, as if responses were mixed up.
	WrongID bool `json:"wrong_id,omitempty"`
}

// Defaults of Config.
const (
	defaultListen      = "127.0.0.1:0"
	defaultSlots       = 20
	defaultConnections = 110
	defaultDrain       = 30 * time.Second
)

// warmUpFactor multiplies service times at the start of the warm-up.
const warmUpFactor = 4

func (c *Config) setDefaults() {
	if c.Listen == "" {
		c.Listen = defaultListen
	}
	if c.Control == "" {
		c.Control = defaultListen
	}
	if c.Slots == 0 {
		c.Slots = defaultSlots
	}
	if c.Connections == 0 {
		c.Connections = defaultConnections
	}
	if c.DrainTimeout == 0 {
		c.DrainTimeout = defaultDrain
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
}

func (c *Config) validate() error {
	if c.NodeAddr != "" {
		if err := mesh.CheckName(string(c.Service)); err != nil {
			return fmt.Errorf("service: %w", err)
		}
	}
	if c.Slots < 0 || c.Connections < 0 || c.Queue < 0 {
		return fmt.Errorf("slots, connections and queue must not be negative")
	}
	return c.Behavior.validate()
}

func (b Behavior) validate() error {
	if b.Shed < 0 || b.Shed > 1 {
		return fmt.Errorf("shed %v is not between 0 and 1", b.Shed)
	}
	if b.Size < 0 || b.Size > maxBodyBytes || b.Truncate < 0 {
		return fmt.Errorf("size and truncate must be between 0 and %d", maxBodyBytes)
	}
	if b.Health != 0 && (b.Health < 100 || b.Health > 599) {
		return fmt.Errorf("health %d is not an HTTP status", b.Health)
	}
	return nil
}
