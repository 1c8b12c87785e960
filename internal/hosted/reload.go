package hosted

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// settingsPollInterval is the time between two checks of the settings file, which
	// may change without a signal.
	settingsPollInterval = 2 * time.Second
	// memoryLimitShare is the share of the permitted memory above which the garbage
	// collector runs more often.
	memoryLimitShare = 0.7
	// residentShare is the share of the permitted memory that the process may have resident
	// while the collector keeps its limit, and programMemory the part of it that the
	// collector does not count: pages of the program, 24 MiB. Below 187 MiB their difference
	// is less than memoryLimitShare; with that alone, 96 MiB left 4 MiB above the limit.
	residentShare = 0.85
	programMemory = 28 << 20
	// minMemoryLimitShare bounds the limit from below.
	minMemoryLimitShare = 0.4
	// gcPercent trades memory for processor time. The heap of a node is a few MB.
	gcPercent = 200
)

// limitProcess applies the processor and memory limits of the settings to the process.
func limitProcess(s *settings.Hosted) {
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(collectorLimit(s.Memory))
	}
	debug.SetGCPercent(gcPercent)
}

// collectorLimit returns the memory above which the garbage collector runs more often, for
// a process that may use the given memory.
func collectorLimit(memory int64) int64 {
	m := float64(memory)
	return int64(max(min(memoryLimitShare*m, residentShare*m-programMemory), minMemoryLimitShare*m))
}

// watchSettings reloads the settings file on request and when the file changes.
func (n *Node) watchSettings(ctx context.Context) error {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.reloads:
			n.reloadMu.Lock()
			n.reload(modTime(n.settingsPath))
			n.reloadMu.Unlock()
		case <-t.C:
			n.refreshSettings()
		}
	}
}

// refreshSettings reloads the settings file if it has changed since it was last read.
func (n *Node) refreshSettings() {
	n.reloadMu.Lock()
	defer n.reloadMu.Unlock()
	if m := modTime(n.settingsPath); !m.Equal(n.settingsTime) {
		n.reload(m)
	}
}

// modTime returns the modification time of the file at path, or the zero time if it
// cannot be read, which reload reports.
func modTime(path string) time.Time {
	s, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return s.ModTime()
}

// reload applies the settings that can change while the node runs, from a file that was
// modified at the given time. Invalid settings change nothing. n.reloadMu must be held.
func (n *Node) reload(modified time.Time) {
	n.settingsTime = modified
	set, err := platform.ReadSettings(n.settingsPath)
	if err != nil {
		n.log.Error("invalid settings; keeping the current ones", zap.Error(err))
		return
	}
	old := n.nodeSettings.Load()
	if set == *old {
		n.log.Info("settings reloaded; nothing changed")
		return
	}
	effective := set
	// Sockets and the identity of a node cannot change without a restart.
	effective.ID, effective.Zone, effective.Caller, effective.Ready, effective.Announce, effective.Peer, effective.Store =
		old.ID, old.Zone, old.Caller, old.Ready, old.Announce, old.Peer, old.Store
	n.nodeSettings.Store(&effective)
	if effective.Service != old.Service || effective.Backend != old.Backend {
		n.replaceBackend()
	}
	limitProcess(&effective)
	n.intake.update(&effective)
	n.updateRetryBudget(n.peer.Members())
	n.log.Info("settings changed", zap.Bool("restart_needed", effective != set))
}

// replaceBackend withdraws the backend server: the VM now has one of another service or
// address, which announces itself.
func (n *Node) replaceBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pendingAnnounce, n.unconfirmed, n.healthy = nil, nil, ""
	n.instance.forget()
	n.gate.Withdraw()
}

const (
	// retryBudgetWindow is the window of retry.Budget.
	retryBudgetWindow = 10 * time.Second
	// maxGateRefusals is the number of gates that may refuse one request, beyond the
	// attempts of its route. Most refusals for load are local: another gate has capacity.
	maxGateRefusals = 2
	// retryBudgetShare is the share of the common retry budget that the nodes use. The
	// rest is for retries that a node does not see: calls of a backend server that runs
	// a retried request count as retries where they arrive.
	retryBudgetShare = 0.7
)

// nodeRetryLimit returns the retry budget of one rank of a service on one of n nodes.
func nodeRetryLimit(b settings.RetryBudget, n, ranks int) retry.BudgetLimit {
	scale := retryBudgetShare * min(float64(b.Window)/float64(retryBudgetWindow), 1)
	return retry.BudgetLimit{
		RetryRatio:      retryBudgetShare * b.Ratio,
		MaxGateRefusals: maxGateRefusals,
		Slack:           scale * b.Slack / float64(max(n, 1)*max(ranks, 1)),
	}
}
