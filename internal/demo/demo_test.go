package demo

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestRun guards against a demo, the first command of the README, that refuses or
// breaks a request or does not end by itself.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Run(t.Context(), Config{Out: &out, Log: zap.NewNop()}), &out)
	require.Contains(t, out.String(), "No request was refused or broken.")
}
