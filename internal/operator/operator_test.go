package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/dynamo"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/standin/object"
	"lavenderrill.dev/lavenderrill/internal/standin/table"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const testToken = "token-of-the-test"

const fleetDocuments = `fleet: test
ranks:
  - {name: urgent, target: 100ms, worth: 10, floor: 0.1}
services:
  - {name: katalog, slots: 4, connections: 8}
---
template: branch
parameters:
  - {name: host, kind: string, required: true}
  - {name: limit, kind: int, min: 1, max: 100, default: 5}
routes:
  - {name: look, host: "${host}", path: /, service: katalog, rank: urgent, idempotent: true, deadline: 1s, rate: "${limit}"}
---
account: solo
template: branch
parameters: {host: solo.example}
`

// testServer is a Server on platform stand-ins. It replaces the node that
// publishes and serves versions.
type testServer struct {
	tables *table.Server
	client *client.Client
	server *Server

	mu      sync.Mutex
	content Content
}

func newTestServer(t *testing.T) *testServer {
	rows := table.New(table.Config{})
	tables := httptest.NewServer(rows)
	t.Cleanup(tables.Close)
	objects := httptest.NewServer(object.New(object.Config{}))
	t.Cleanup(objects.Close)
	p := dynamo.New(dynamo.Config{
		Table: "t", Bucket: "b", TableURL: tables.URL, ObjectURL: objects.URL,
		AccessKey: "a", SecretKey: "s", Reads: 1000, Writes: 1000, Burst: 1000,
	})
	require.NoError(t, p.EnsureSchema(t.Context()))
	ts := &testServer{tables: rows}
	ts.content.Part = func(mesh.Digest) (config.Part, bool) { return nil, false }
	ts.server = New(Config{
		ID: "n1", Token: testToken, Platform: p,
		Content: ts.servedContent, Publish: ts.publish,
		Survey: func(_ context.Context, v mesh.Version) ([]client.ZoneStatus, error) {
			if v == convergedVersion {
				return []client.ZoneStatus{{Zone: "z", Members: 2, Current: 2}}, nil
			}
			return []client.ZoneStatus{{Zone: "z", Members: 2, Current: 1, Lagging: []mesh.NodeID{"n2"}}}, nil
		},
		Members: func() []member.Member {
			return []member.Member{{ID: "n1"}, {ID: "n2"}, {ID: "gone", Status: member.Dead}}
		},
		Explain: func(client.ExplainRequest) client.Explanation { return client.Explanation{} },
		Ready:   func() bool { return true },
		Metrics: metric.New(), Log: zap.NewNop(),
	})
	api := httptest.NewServer(ts.server.Handler())
	t.Cleanup(api.Close)
	ts.client = client.New(client.Config{Node: strings.TrimPrefix(api.URL, "http://"), Token: testToken})
	return ts
}

func (ts *testServer) servedContent() Content {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.content
}

func (ts *testServer) publish(_ context.Context, v mesh.Version, m config.Manifest, parts []config.Part) error {
	byDigest := map[mesh.Digest]config.Part{}
	for _, p := range parts {
		byDigest[p.Digest()] = p
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if v > ts.content.Version {
		ts.content = Content{Version: v, Manifest: m, Part: func(d mesh.Digest) (config.Part, bool) {
			p, ok := byDigest[d]
			return p, ok
		}}
	}
	return nil
}

func newEdit(content string) client.Edit {
	return client.Edit{Files: []client.File{{Name: "edit.yaml", Content: content}}}
}

func newAcceptRequest(e client.Edit) client.AcceptRequest {
	return client.AcceptRequest{Change: mesh.ChangeID(uuid.NewString()), Operator: "test", Edit: e}
}

func accountDocument(limit string) string {
	return "account: solo\ntemplate: branch\nparameters: {host: solo.example, limit: " + limit + "}\n"
}

func requireKind(t *testing.T, k fault.Kind, err error) *client.Error {
	t.Helper()
	var apiErr *client.Error
	require.ErrorAs(t, err, &apiErr)
	require.Equal(t, string(k), apiErr.Kind, apiErr.Reason)
	return apiErr
}

// TestAcceptAndShow guards against documents that are returned altered or that
// cannot be accepted again as shown.
func TestAcceptAndShow(t *testing.T) {
	ts := newTestServer(t)
	a, err := ts.client.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
	require.NoError(t, err)
	require.Equal(t, mesh.Version(1), a.Version)
	d, err := ts.client.Document(t.Context(), config.AccountKey("solo"))
	require.NoError(t, err)
	require.Equal(t, mesh.Revision(1), d.Revision)
	p, err := ts.client.Plan(t.Context(), newEdit(d.Content))
	require.NoError(t, err)
	require.True(t, p.Empty, p.Text)
	p, err = ts.client.Plan(t.Context(), newEdit(accountDocument("7")))
	require.NoError(t, err)
	require.Equal(t, []mesh.ClientAccount{"solo"}, p.Accounts)
}

// TestBadEdit guards against an invalid edit that takes effect, and against
// faults that do not name the file.
func TestBadEdit(t *testing.T) {
	ts := newTestServer(t)
	_, err := ts.client.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
	require.NoError(t, err)
	for name, e := range map[string]client.Edit{
		"range":    newEdit(accountDocument("1000")),
		"field":    newEdit("account: solo\ntemplate: branch\nowner: x\n"),
		"template": newEdit("account: solo\ntemplate: nothing\nparameters: {}\n"),
		"empty":    {},
		"twice":    newEdit(accountDocument("3") + "---\n" + accountDocument("4")),
		"removal":  {Remove: []config.DocumentKey{"template/branch"}},
		"unknown":  {Remove: []config.DocumentKey{"account/none"}},
	} {
		_, err := ts.client.Accept(t.Context(), newAcceptRequest(e))
		r := requireKind(t, fault.InvalidConfig, err)
		require.Equal(t, string(fault.NotRun), r.Run, name)
		if name == "range" || name == "field" || name == "template" {
			require.Contains(t, r.Reason, "edit.yaml", name)
		}
		require.Equal(t, r.Reason, requireKind(t, fault.InvalidConfig, ts.client.Validate(t.Context(), e)).Reason, name)
	}
	require.Equal(t, mesh.Version(1), ts.servedContent().Version)
}

// TestNoChange guards against a call without a change id, which could not be
// repeated safely, and against reporting it as an outage of the platform.
func TestNoChange(t *testing.T) {
	ts := newTestServer(t)
	_, err := ts.client.Accept(t.Context(), client.AcceptRequest{Edit: newEdit(fleetDocuments)})
	_ = requireKind(t, fault.BadRequest, err)
	_, err = ts.client.Restore(t.Context(), client.RestoreRequest{Version: 1})
	_ = requireKind(t, fault.BadRequest, err)
}

// TestConflict guards against an edit of an outdated copy that overwrites the
// edit of another operator.
func TestConflict(t *testing.T) {
	ts := newTestServer(t)
	_, err := ts.client.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
	require.NoError(t, err)
	staleEdit := newEdit(accountDocument("8"))
	staleEdit.Bases = map[config.DocumentKey]mesh.Revision{config.AccountKey("solo"): 1}
	_, err = ts.client.Accept(t.Context(), newAcceptRequest(newEdit(accountDocument("9"))))
	require.NoError(t, err)
	_, err = ts.client.Accept(t.Context(), newAcceptRequest(staleEdit))
	r := requireKind(t, fault.Conflict, err)
	require.Contains(t, r.Reason, "limit: 9")
	require.Contains(t, r.Reason, "limit: 8")
}

// TestRace guards against concurrent edits of one client account of which none or
// more than one is accepted.
func TestRace(t *testing.T) {
	ts := newTestServer(t)
	_, err := ts.client.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
	require.NoError(t, err)
	const operators = 8
	accepted := make(chan bool)
	for i := range operators {
		e := newEdit(accountDocument(string(rune('1' + i))))
		e.Bases = map[config.DocumentKey]mesh.Revision{config.AccountKey("solo"): 1}
		go func() {
			_, err := ts.client.Accept(t.Context(), newAcceptRequest(e))
			accepted <- err == nil
		}()
	}
	n := 0
	for range operators {
		if <-accepted {
			n++
		}
	}
	require.Equal(t, 1, n)
	require.Equal(t, mesh.Version(2), ts.servedContent().Version)
}

// TestRepeat guards against an accept that is repeated after a lost response and
// creates a second version or conflicts with itself.
func TestRepeat(t *testing.T) {
	ts := newTestServer(t)
	r := newAcceptRequest(newEdit(fleetDocuments))
	first, err := ts.client.Accept(t.Context(), r)
	require.NoError(t, err)
	again, err := ts.client.Accept(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// TestRestore guards against a restore that lowers the version.
func TestRestore(t *testing.T) {
	ts := newTestServer(t)
	_, err := ts.client.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
	require.NoError(t, err)
	_, err = ts.client.Accept(t.Context(), newAcceptRequest(newEdit(accountDocument("9"))))
	require.NoError(t, err)
	a, err := ts.client.Restore(t.Context(), client.RestoreRequest{Change: "undo", Operator: "test", Version: 1})
	require.NoError(t, err)
	require.Equal(t, mesh.Version(3), a.Version)
	d, err := ts.client.Document(t.Context(), config.AccountKey("solo"))
	require.NoError(t, err)
	require.NotContains(t, d.Content, "limit")
	h, err := ts.client.History(t.Context(), 10)
	require.NoError(t, err)
	require.Len(t, h, 3)
	require.Equal(t, mesh.Version(1), h[0].Restored)
	_, err = ts.client.Restore(t.Context(), client.RestoreRequest{Change: "undo2", Operator: "test", Version: 99})
	_ = requireKind(t, fault.NotFound, err)
}

// TestToken guards against calls without the operator token.
func TestToken(t *testing.T) {
	ts := newTestServer(t)
	api := httptest.NewServer(ts.server.Handler())
	defer api.Close()
	for _, token := range []string{"", "wrong"} {
		c := client.New(client.Config{Node: strings.TrimPrefix(api.URL, "http://"), Token: token})
		_, err := c.Status(t.Context(), 0)
		_ = requireKind(t, fault.Unauthorized, err)
		_, err = c.Accept(t.Context(), newAcceptRequest(newEdit(fleetDocuments)))
		_ = requireKind(t, fault.Unauthorized, err)
	}
	require.Zero(t, ts.servedContent().Version)
}

// unreadBody is a request body that must not be read.
type unreadBody struct{ t *testing.T }

func (u unreadBody) Read([]byte) (int, error) {
	u.t.Error("the body of a call without a token was read")
	return 0, io.EOF
}

// TestTokenFirst guards against calls without a token that make the node read
// and decode large bodies.
func TestTokenFirst(t *testing.T) {
	ts := newTestServer(t)
	w := httptest.NewRecorder()
	ts.server.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/accept", unreadBody{t}))
	require.Equal(t, http.StatusUnauthorized, w.Code)
}

// convergedVersion is a version that all members of a testServer serve.
const convergedVersion = 7

// TestUncounted guards against reporting a version as served by all nodes while
// some registered nodes are not members yet, and against a status call that uses
// up the platform reads that the node needs itself.
func TestUncounted(t *testing.T) {
	ts := newTestServer(t)
	for _, id := range []mesh.NodeID{"n1", "n3", "gone"} {
		require.NoError(t, ts.server.cfg.Platform.WriteNode(t.Context(), dynamo.NodeRow{ID: id, Addr: "10.0.0.1:1", Zone: "z"}))
	}
	ids, err := ts.client.Uncounted(t.Context())
	require.NoError(t, err)
	require.Equal(t, []mesh.NodeID{"gone", "n3"}, ids)

	before := ts.tables.Count("Query")
	require.Positive(t, before)
	for range 20 { // as a command that polls for convergence does
		s, err := ts.client.Status(t.Context(), convergedVersion)
		require.NoError(t, err)
		require.True(t, s.Converged)
	}
	require.Equal(t, before, ts.tables.Count("Query"), "the status call must not read the platform")
}

// TestStatus guards against a status that reports lagging nodes as converged.
func TestStatus(t *testing.T) {
	ts := newTestServer(t)
	s, err := ts.client.Status(t.Context(), 5)
	require.NoError(t, err)
	require.False(t, s.Converged)
	require.Equal(t, []mesh.NodeID{"n2"}, s.Zones[0].Lagging)
}

// TestFault guards against refusals without effect that are reported as an
// unknown outcome because an exceeded deadline caused them.
func TestFault(t *testing.T) {
	deadlineErr := fmt.Errorf("read: %w", context.DeadlineExceeded)
	for _, c := range []struct {
		err  error
		kind fault.Kind
		run  fault.RunState
	}{
		{deadlineErr, fault.OutcomeUnknown, fault.RunUnknown},
		{fault.Newf(fault.PlatformUnavailable, "head: %w", deadlineErr).WithRun(fault.NotRun), fault.PlatformUnavailable, fault.NotRun},
		{fault.Newf(fault.OutcomeUnknown, "commit: %w", deadlineErr), fault.OutcomeUnknown, fault.RunUnknown},
	} {
		e := asFault(c.err)
		require.Equal(t, c.kind, e.Kind)
		require.Equal(t, c.run, e.Run)
	}
}
