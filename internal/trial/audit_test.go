package trial

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestAudit guards against an audit that misses a violated invariant.
func TestAudit(t *testing.T) {
	result := func(id mesh.RequestID, status int, run fault.RunState, err error) Result {
		return Result{Request: Request{ID: id}, Status: status, Run: run, Err: err}
	}
	runs := []backend.Execution{{Request: "ok"}, {Request: "twice"}, {Request: "twice"}, {Request: "false"}, {Request: "lost"}, {Request: "crossed"}}
	a := NewAudit([]Result{
		result("ok", 200, "", nil),
		result("refused", 503, fault.NotRun, nil),
		result("lost", 502, fault.RunUnknown, nil),
	}, runs)
	require.NoError(t, a.Check())
	require.Equal(t, Audit{Requests: 3, OK: 1, NotRun: 1, Unknown: 1}, a)
	for _, r := range []Result{
		result("twice", 502, fault.RunUnknown, nil),
		result("false", 503, fault.NotRun, nil),
		result("missing", 200, "", nil),
		result("crossed", 200, "", errOtherRequest),
		result("crossed", 200, "", backend.CheckBody("/x", []byte("other"), "crossed")),
	} {
		require.Error(t, NewAudit([]Result{r}, runs).Check(), r.Request.ID)
	}
	r := result("twice", 200, "", nil)
	r.Request.Idempotent = true
	require.NoError(t, NewAudit([]Result{r}, runs).Check())
}
