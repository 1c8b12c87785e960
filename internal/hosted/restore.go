package hosted

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/platform"
)

// eraField is the response header by which a watcher tells the nodes that follow it the
// era of the store. Most nodes make no calls to the store.
const eraField = "Lavenderrill-Era"

// restoreWritesPerSecond is the rate to which all nodes together spread the writes of
// their rows after the store was restored. A part of the store takes 300 transactions a
// second, departures of backend servers included.
const restoreWritesPerSecond = 150

// handleRestore makes the node write again what the restored store may have lost.
func (n *Node) handleRestore(e platform.Era) {
	n.metrics.Counter("store_restored").Add(1)
	n.log.Warn("the store was restored from a copy; writing the row of this node again", zap.Uint64("era", uint64(e)))
	select {
	case n.restored <- struct{}{}:
	default: // a rewrite is already due
	}
}

// rewriteRows writes the row of this node after each restoration of the store, until ctx
// ends.
func (n *Node) rewriteRows(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.restored:
		}
		spread := time.Duration(len(n.peer.Members())) * time.Second / restoreWritesPerSecond
		if wait.For(ctx, time.Duration(rand.Int64N(int64(spread)+1))) != nil {
			return nil
		}
		n.registration.restore()
	}
}

// setEra sets the header that tells the era of the store to another node.
func (n *Node) setEra(h http.Header) {
	if e := n.store.Era(); e > 0 {
		h[eraField] = []string{strconv.FormatUint(uint64(e), 10)}
	}
}

// observeEra reads the header that setEra has set.
func (n *Node) observeEra(h http.Header) {
	if e, err := strconv.ParseUint(h.Get(eraField), 10, 64); err == nil {
		n.store.ObserveEra(platform.Era(e))
	}
}
