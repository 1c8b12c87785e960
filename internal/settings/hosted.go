package settings

import (
	"errors"
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Hosted holds the settings of a node whose platform sets them: addresses,
// limits of the VM and bounds of the deployment.
type Hosted struct {
	ID      mesh.NodeID
	Zone    mesh.AvailabilityZone
	Service mesh.Service // of the backend server on this VM

	Caller   string // listen address for callers
	Ready    string // listen address for the readiness check
	Announce string // listen address for heartbeats of the backend server
	Peer     string // listen address for other nodes, TCP and UDP

	Backend mesh.Addr // the backend server
	Store   mesh.Addr // the platform's store

	Heartbeat time.Duration // time between two heartbeats of the backend server
	Cores     int
	LinkRate  float64       // rate of the VM's link in bytes per second, 0 if not known
	Memory    int64         // bytes that the process may use
	MaxFiles  int           // descriptors that the process may use
	Grace     time.Duration // from the request to stop to the kill
	Rollout   time.Duration // within which a configuration must be in force
	Retry     RetryBudget
}

// RetryBudget bounds the repeated requests to one service by all nodes together:
// in each window at most Ratio of its requests plus Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Check returns an error of kind fault.Settings that names every fault in h, or
// nil.
func (h *Hosted) Check() error {
	errs := []error{
		checkFilled("node name", string(h.ID)),
		checkFilled("zone", string(h.Zone)),
		checkFilled("service", string(h.Service)),
		checkAddr("caller address", h.Caller),
		checkAddr("ready address", h.Ready),
		checkAddr("heartbeat address", h.Announce),
		checkAddr("peer address", h.Peer),
		checkAddr("backend address", string(h.Backend)),
		checkAddr("store address", string(h.Store)),
		checkPositive("heartbeat interval", h.Heartbeat),
		checkPositive("grace", h.Grace),
		checkPositive("rollout bound", h.Rollout),
		checkPositive("retry window", h.Retry.Window),
	}
	if h.Retry.Ratio < 0 || h.Retry.Slack < 0 {
		errs = append(errs, fmt.Errorf("retry budget: ratio %v and slack %v must not be negative", h.Retry.Ratio, h.Retry.Slack))
	}
	if err := errors.Join(errs...); err != nil {
		return fault.Newf(fault.Settings, "%w", err)
	}
	return nil
}
