package hosted

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// settingsPeriod is the time between two looks at the settings file, which
	// may change without a signal.
	settingsPeriod = 2 * time.Second
	// memoryShare is the share of the permitted memory from which on the garbage
	// collector works harder.
	memoryShare = 0.7
	// gcPercent trades memory for processor time. The heap of a node is a few MB.
	gcPercent = 200
)

// limitProcess keeps the process within the limits of the settings.
func limitProcess(s *settings.Hosted) {
	if s.Cores > 0 {
		runtime.GOMAXPROCS(s.Cores)
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
	debug.SetGCPercent(gcPercent)
}

// watchSettings reads the settings file again on SIGHUP and when it changes.
func (n *Node) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsPeriod)
	defer t.Stop()
	last := modified(n.path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-t.C:
			if m := modified(n.path); m.Equal(last) {
				continue
			}
		}
		last = modified(n.path)
		n.reload()
	}
}

// modified returns the time of the last change of the file at path, or the zero
// time if it cannot be read, which reload reports.
func modified(path string) time.Time {
	s, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return s.ModTime()
}

// reload takes over the settings that can change while the node runs. Faulty
// settings change nothing.
func (n *Node) reload() {
	set, err := platform.ReadSettings(n.path)
	if err != nil {
		n.log.Error("settings are refused; those in force stay", zap.Error(err))
		return
	}
	old := n.set.Load()
	if set == *old {
		n.log.Info("settings read again; nothing changed")
		return
	}
	kept := set
	// Sockets and the identity of a node cannot change without a restart.
	kept.ID, kept.Zone, kept.Caller, kept.Ready, kept.Announce, kept.Peer, kept.Store =
		old.ID, old.Zone, old.Caller, old.Ready, old.Announce, old.Peer, old.Store
	n.set.Store(&kept)
	limitProcess(&kept)
	n.shareBudget(n.peer.Members())
	n.log.Info("settings changed", zap.Bool("restart_needed", kept != set))
}

const (
	// budgetWindow is the window of retry.Budget.
	budgetWindow = 10 * time.Second
	// gateTries is the number of gates that are asked once more for a request that
	// a gate refused. Most refusals for load are local: another gate has room.
	gateTries = 2
	// budgetMargin is the share of the common budget that is used. The rest is
	// for repeats that a node does not see: calls of a backend server that runs a
	// repeated request count as repeats where they arrive.
	budgetMargin = 0.7
)

// retryShare returns the budget of one rank of a service on one of n nodes.
func retryShare(b settings.RetryBudget, n, ranks int) retry.BudgetLimit {
	scale := budgetMargin * min(float64(b.Window)/float64(budgetWindow), 1)
	return retry.BudgetLimit{
		RetryRatio:      budgetMargin * b.Ratio,
		MaxGateRefusals: gateTries,
		Slack:           scale * b.Slack / float64(max(n, 1)*max(ranks, 1)),
	}
}
