package settings

import (
	"errors"
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Hosted holds the settings of a node that are provided by its platform:
// addresses, limits of the VM and time limits of the deployment.
type Hosted struct {
	ID      mesh.NodeID
	Zone    mesh.AvailabilityZone
	Service mesh.Service // service of the backend server on this VM

	Caller   string // listen address for callers
	Ready    string // listen address for the readiness check
	Announce string // listen address for heartbeats of the backend server
	Peer     string // listen address for other nodes, TCP and UDP

	Backend mesh.Addr // the backend server
	Store   mesh.Addr // the platform's store

	FirstStart bool // the whole system starts for the first time

	Heartbeat time.Duration // time between two heartbeats of the backend server
	Cores     int
	LinkRate  float64       // bandwidth of the VM's link in bytes per second, 0 if unknown
	Memory    int64         // memory limit of the process in bytes
	MaxFiles  int           // limit of open file descriptors of the process
	Grace     time.Duration // time from the stop request to the kill
	Rollout   time.Duration // time within which a configuration must be active
	Retry     RetryBudget
	Quota     QuotaBounds
	Rollouts  RolloutBounds
}

// QuotaBounds bound the requests of one client account on all nodes together: in each
// window, at most (rate * Window + burst) * (1 + Overage) + Slack.
type QuotaBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
}

// RolloutBounds bound the roll-out of a version of a service.
type RolloutBounds struct {
	Enabled       bool
	ExposureShare float64       // largest share of the requests of a service that a bad version may get
	ExposureSlack float64       // requests beyond ExposureShare
	RollbackTime  time.Duration // time within which a bad version must get no more requests
}

// RetryBudget limits the retries that all nodes together send to one service: in
// each window, at most Ratio times its requests plus Slack.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Check returns an error of kind fault.Settings that lists every invalid setting
// of h, or nil.
func (h *Hosted) Check() error {
	errs := []error{
		checkNotEmpty("node name", string(h.ID)),
		checkNotEmpty("zone", string(h.Zone)),
		checkNotEmpty("service", string(h.Service)),
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
	if h.Quota.Overage < 0 || h.Quota.Slack < 0 {
		errs = append(errs, fmt.Errorf("quota: overage %v and slack %v must not be negative", h.Quota.Overage, h.Quota.Slack))
	}
	if r := h.Rollouts; r.Enabled && (r.ExposureShare <= 0 || r.ExposureShare > 1 || r.RollbackTime <= 0) {
		errs = append(errs, fmt.Errorf("roll-outs: want an exposure share above 0 and up to 1 and a positive roll-back time, have %v and %v", r.ExposureShare, r.RollbackTime))
	}
	if err := errors.Join(errs...); err != nil {
		return fault.Newf(fault.Settings, "%w", err)
	}
	return nil
}
