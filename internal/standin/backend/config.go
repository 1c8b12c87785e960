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
	Listen     string // address of requests; 127.0.0.1:0 if empty
	Control    string // address of control and journal; 127.0.0.1:0 if empty
	NodeAddr   string // backend listener of the node beside it; not announced if empty
	CallerAddr string // caller listener of the node, for nested calls

	Slots        int           // requests that run at a time; 20 if 0
	Connections  int           // connections accepted at a time; 110 if 0
	Queue        int           // requests that wait for a slot before shedding
	AcceptTime   time.Duration // time that accepting one connection takes
	ColdStart    time.Duration // time in state starting
	WarmUp       time.Duration // time after it in which service times fall to normal
	DrainTimeout time.Duration // longest wait for requests in flight; 30 s if 0

	Behavior Behavior // initial behaviour, settable at run time
	Journal  string   // path of the journal file; memory only if empty
	Seed     uint64   // of service times and shedding
	Log      *zap.Logger
}

// Behavior is what can change while the server runs.
type Behavior struct {
	ServiceTime ServiceTime `json:"time"`           // service time of requests without the parameter
	Size        int         `json:"size,omitempty"` // body size of requests without the parameter
	Shed        float64     `json:"shed,omitempty"` // share of requests refused as not run
	// Health and Load replace the true responses of the health and load
	// endpoints. Health is an HTTP status.
	Health int      `json:"health,omitempty"`
	Load   *float64 `json:"load,omitempty"`
	// Silent stops the announcements, as a server that hangs would.
	Silent bool `json:"silent,omitempty"`
	// Truncate ends each body after that many bytes by closing the connection;
	// 0 is off.
	Truncate int `json:"truncate,omitempty"`
	// WrongID answers with another request id, as crossed responses would.
	WrongID bool `json:"wrong_id,omitempty"`
}

// Defaults of Config.
const (
	defaultListen      = "127.0.0.1:0"
	defaultSlots       = 20
	defaultConnections = 110
	defaultDrain       = 30 * time.Second
)

// warmUpFactor multiplies service times when the warm-up begins.
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

func (c *Config) check() error {
	if c.NodeAddr != "" {
		if err := mesh.CheckName(string(c.Service)); err != nil {
			return fmt.Errorf("service: %w", err)
		}
	}
	if c.Slots < 0 || c.Connections < 0 || c.Queue < 0 {
		return fmt.Errorf("slots, connections and queue must not be negative")
	}
	return c.Behavior.check()
}

func (b Behavior) check() error {
	if b.Shed < 0 || b.Shed > 1 {
		return fmt.Errorf("shed %v is not between 0 and 1", b.Shed)
	}
	if b.Size < 0 || b.Size > maxBody || b.Truncate < 0 {
		return fmt.Errorf("size and truncate must be between 0 and %d", maxBody)
	}
	if b.Health != 0 && (b.Health < 100 || b.Health > 599) {
		return fmt.Errorf("health %d is not an HTTP status", b.Health)
	}
	return nil
}
