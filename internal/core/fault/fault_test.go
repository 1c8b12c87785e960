package fault

import (
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWriteRoundTrip guards against a refusal that loses its kind or its run
// state between two nodes.
func TestWriteRoundTrip(t *testing.T) {
	for _, k := range Kinds() {
		w := httptest.NewRecorder()
		Write(w, New(k, "reason"), "r1")
		require.Equal(t, LookupKind(k).Status, w.Code, k)
		got := FromHeader(w.Header())
		require.Equal(t, k, got.Kind)
		require.Equal(t, LookupKind(k).Run, got.Run)
	}
}

// TestFromKeepsKind guards against a wrapped error that is reported as internal
// instead of by its own kind.
func TestFromKeepsKind(t *testing.T) {
	err := fmt.Errorf("accept: %w", Newf(PlatformUnavailable, "table: %w", io.ErrUnexpectedEOF))
	require.True(t, Is(err, PlatformUnavailable))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, Internal, From(errors.New("x")).Kind)
	require.Nil(t, From(nil))
}

// TestKindOnce guards against messages that repeat their kind for each wrapped error.
func TestKindOnce(t *testing.T) {
	inner := New(InvalidConfig, "a.yaml: no such template")
	require.Equal(t, "invalid_config: a.yaml: no such template", Newf(InvalidConfig, "%w", inner).Error())
	require.Equal(t, "settings: invalid_config: a.yaml: no such template", Newf(Settings, "%w", inner).Error())
}
