package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

func validNode() Node {
	return Node{
		Zone: "solo", Caller: "127.0.0.1:0", Peer: "[::1]:8081", Operator: "127.0.0.1:1", Backend: "10.0.0.1:2",
		Table: "t", Bucket: "b", Region: "r", TableURL: "http://127.0.0.1:1", ObjectURL: "https://127.0.0.1:2",
		PlatformTimeout: time.Second, Drain: time.Second, LogFormat: "json", LogLevel: "info",
		Key: "sixteen-letters-", Token: "sixteen-letters-", AccessKey: "a", SecretKey: "s",
	}
}

// TestCheckReportsAll guards against a check that stops at the first invalid
// setting, and against secrets in its error.
func TestCheckReportsAll(t *testing.T) {
	n := validNode()
	require.NoError(t, n.Check())
	n.Zone, n.Caller, n.Peer, n.Drain, n.LogLevel = "", "localhost:80", "127.0.0.1", 0, "loud"
	n.Key, n.Join = "short", []string{"127.0.0.1:70000"}
	err := n.Check()
	require.True(t, fault.Is(err, fault.Settings))
	for _, field := range []string{"zone", "caller", "peer", "drain", "log-level", KeyEnv, "join"} {
		require.ErrorContains(t, err, field+": ")
	}
	require.NotContains(t, err.Error(), "short")
}
