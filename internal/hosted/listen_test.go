package hosted

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/settings"
)

// TestListenWithoutMetrics guards against a node that does not start because the address
// of its metrics is in use.
func TestListenWithoutMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	n := &Node{log: zap.NewNop()}
	any := "127.0.0.1:0"
	n.nodeSettings.Store(&settings.Hosted{Caller: any, Ready: any, Announce: any, Peer: any})
	require.NoError(t, n.listen(l.Addr().String()))
	defer n.close()
	require.NotContains(t, n.listeners, "metrics")
	require.Len(t, n.listeners, 4)
}
