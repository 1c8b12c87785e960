package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestAnnouncementErrors guards against announcements with invalid values that are
// accepted, or refused without the name of the field.
func TestAnnouncementErrors(t *testing.T) {
	good := announcement("127.0.0.1:9000")
	for _, c := range []struct {
		name, body string
		status     int
		want       string
	}{
		{"good", good, 200, `"state":"ready"`},
		{"unknown field", strings.Replace(good, `"load"`, `"weight"`, 1), 400, "weight"},
		{"not an object", `[]`, 400, "announcement"},
		{"empty", ``, 400, "announcement"},
		{"two objects", good + good, 400, "after the JSON object"},
		{"wrong type", strings.Replace(good, `:20`, `:"20"`, 1), 400, "slots"},
		{"no slots", strings.Replace(good, `:20`, `:0`, 1), 400, "slots"},
		{"few connections", strings.Replace(good, `:110`, `:19`, 1), 400, "connections"},
		{"host name", announcement("localhost:9000"), 400, "addr"},
		{"no port", announcement("127.0.0.1:0"), 400, "addr"},
		{"bad service", strings.Replace(good, "reservasi", "Reservasi", 1), 400, "service"},
		{"bad state", strings.Replace(good, `"ready"`, `"unhealthy"`, 1), 400, "state"},
		{"load is no path", strings.Replace(good, `"load":"/load"`, `"load":"9"`, 1), 400, "load"},
		{"large", good + strings.Repeat(" ", maxAnnouncementBytes), 413, "limit"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestGate(t, "", nil).announce(t, c.body)
			require.Equal(t, c.status, w.Code, w.Body)
			require.Contains(t, w.Body.String(), c.want)
		})
	}
	h := newTestGate(t, "", nil).AnnouncementHandler()
	for _, c := range []struct {
		method, path string
		status       int
	}{{"GET", AnnouncePath, 405}, {"POST", "/v1/other", 404}, {"DELETE", AnnouncePath, 200}} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
		require.Equal(t, c.status, w.Code)
	}
}

type stateChange struct {
	at    time.Duration
	state member.EndpointState
}

// TestLease guards against an endpoint that stays ready after its lease expires,
// returns without a ramp, or is removed because this process was paused.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var changes []stateChange
		g := New(Config{
			Snapshot: func() *config.Snapshot { return testSnapshot },
			OnEndpointChange: func(_ mesh.Service, _ int, s member.EndpointState) {
				changes = append(changes, stateChange{time.Since(start).Truncate(time.Second), s})
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		go func() { runErr <- g.Run(ctx) }()
		post := func(state string) {
			w := httptest.NewRecorder()
			body := strings.Replace(announcement("127.0.0.1:9"), `"ready"`, `"`+state+`"`, 1)
			g.AnnouncementHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(body)))
			require.Equal(t, 200, w.Code)
		}
		post("starting")
		for range 9 {
			time.Sleep(time.Second)
			post("ready")
		}
		require.Equal(t, 20, g.Status().Limit)
		time.Sleep(11 * time.Second) // at 20 s; the lease ended at 12 s
		post("ready")
		require.Equal(t, 5, g.Status().Limit, "no ramp after an expired lease")
		g.tick(ctx, time.Now().Add(time.Hour), time.Hour) // this process was paused
		time.Sleep(time.Second)
		post("draining")
		post("ready")
		g.withdraw()
		require.Equal(t, []stateChange{
			{0, member.Starting}, {time.Second, member.Ready}, {12 * time.Second, member.Unhealthy},
			{20 * time.Second, member.Ready}, {21 * time.Second, member.Draining},
			{21 * time.Second, member.Ready}, {21 * time.Second, member.NoEndpoint},
		}, changes)
		require.Equal(t, "1", g.metrics.leaseExpiries.String())
		cancel()
		require.NoError(t, <-runErr)
	})
}
