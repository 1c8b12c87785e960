package inject_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// TestControl guards against faults sent over HTTP that are applied partly or
// not at all, and against invalid faults that are accepted.
func TestControl(t *testing.T) {
	unavailable := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	s := inject.New(inject.Service{
		Handler:     http.NotFoundHandler(),
		Operation:   func(*http.Request) string { return "Op" },
		Writes:      func(string) bool { return true },
		Unavailable: unavailable,
		Throttled:   unavailable,
	}, 1)
	h := inject.Control(map[string]*inject.Injector{"table": s})
	send := func(body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(body)))
		return w.Code
	}
	require.Equal(t, http.StatusOK, send(`{"table":{"latency":"1ms","outage":"error"}}`))
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	for _, bad := range []string{`{"none":{}}`, `{"table":{"unknown":1}}`, `{"table":{"lose":2}}`, `{"table":{"outage":"x"}}`} {
		require.Equal(t, http.StatusBadRequest, send(bad), bad)
	}
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/control", nil))
	var got map[string]inject.Status
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	require.Equal(t, inject.OutageError, got["table"].Faults.Outage)
	require.EqualValues(t, 1, got["table"].Counts["Op"])
	require.EqualValues(t, 1, got["table"].Failed["error"])
}
