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

const fleet = `fleet: test
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

// bench is a Server over stand-ins of the platform. It plays the part of the
// node that spreads and serves versions.
type bench struct {
	tables *table.Server
	client *client.Client
	server *Server

	mu      sync.Mutex
	content Content
}

func newBench(t *testing.T) *bench {
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
	b := &bench{tables: rows}
	b.content.Part = func(mesh.Digest) (config.Part, bool) { return nil, false }
	b.server = New(Config{
		ID: "n1", Token: testToken, Platform: p,
		Content: b.current, Publish: b.publish,
		Survey: func(_ context.Context, v mesh.Version) ([]client.ZoneStatus, error) {
			if v == everywhere {
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
	api := httptest.NewServer(b.server.Handler())
	t.Cleanup(api.Close)
	b.client = client.New(client.Config{Node: strings.TrimPrefix(api.URL, "http://"), Token: testToken})
	return b
}

func (b *bench) current() Content {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content
}

func (b *bench) publish(_ context.Context, v mesh.Version, m config.Manifest, parts []config.Part) error {
	held := map[mesh.Digest]config.Part{}
	for _, p := range parts {
		held[p.Digest()] = p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v > b.content.Version {
		b.content = Content{Version: v, Manifest: m, Part: func(d mesh.Digest) (config.Part, bool) {
			p, ok := held[d]
			return p, ok
		}}
	}
	return nil
}

func edit(content string) client.Edit {
	return client.Edit{Files: []client.File{{Name: "edit.yaml", Content: content}}}
}

func request(e client.Edit) client.AcceptRequest {
	return client.AcceptRequest{Change: mesh.ChangeID(uuid.NewString()), Operator: "test", Edit: e}
}

func account(limit string) string {
	return "account: solo\ntemplate: branch\nparameters: {host: solo.example, limit: " + limit + "}\n"
}

func requireKind(t *testing.T, k fault.Kind, err error) *client.Error {
	t.Helper()
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, string(k), refused.Kind, refused.Reason)
	return refused
}

// TestAcceptAndShow guards against documents that come back altered or that
// cannot be accepted again as shown.
func TestAcceptAndShow(t *testing.T) {
	b := newBench(t)
	a, err := b.client.Accept(t.Context(), request(edit(fleet)))
	require.NoError(t, err)
	require.Equal(t, mesh.Version(1), a.Version)
	d, err := b.client.Document(t.Context(), config.AccountKey("solo"))
	require.NoError(t, err)
	require.Equal(t, mesh.Revision(1), d.Revision)
	p, err := b.client.Plan(t.Context(), edit(d.Content))
	require.NoError(t, err)
	require.True(t, p.Empty, p.Text)
	p, err = b.client.Plan(t.Context(), edit(account("7")))
	require.NoError(t, err)
	require.Equal(t, []mesh.ClientAccount{"solo"}, p.Accounts)
}

// TestBadEdit guards against a wrong edit that changes anything, and against
// faults that do not name the file.
func TestBadEdit(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Accept(t.Context(), request(edit(fleet)))
	require.NoError(t, err)
	for name, e := range map[string]client.Edit{
		"range":    edit(account("1000")),
		"field":    edit("account: solo\ntemplate: branch\nowner: x\n"),
		"template": edit("account: solo\ntemplate: nothing\nparameters: {}\n"),
		"empty":    {},
		"twice":    edit(account("3") + "---\n" + account("4")),
		"removal":  {Remove: []config.DocumentKey{"template/branch"}},
		"unknown":  {Remove: []config.DocumentKey{"account/none"}},
	} {
		_, err := b.client.Accept(t.Context(), request(e))
		r := requireKind(t, fault.InvalidConfig, err)
		require.Equal(t, string(fault.NotRun), r.Run, name)
		if name == "range" || name == "field" || name == "template" {
			require.Contains(t, r.Reason, "edit.yaml", name)
		}
		require.Equal(t, r.Reason, requireKind(t, fault.InvalidConfig, b.client.Validate(t.Context(), e)).Reason, name)
	}
	require.Equal(t, mesh.Version(1), b.current().Version)
}

// TestNoChange guards against an accept that could not be repeated safely, and
// that was reported as an outage of the platform.
func TestNoChange(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Accept(t.Context(), client.AcceptRequest{Edit: edit(fleet)})
	_ = requireKind(t, fault.BadRequest, err)
	_, err = b.client.Restore(t.Context(), client.RestoreRequest{Version: 1})
	_ = requireKind(t, fault.BadRequest, err)
}

// TestConflict guards against an edit from an old copy that overwrites the edit
// of another operator.
func TestConflict(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Accept(t.Context(), request(edit(fleet)))
	require.NoError(t, err)
	old := edit(account("8"))
	old.Bases = map[config.DocumentKey]mesh.Revision{config.AccountKey("solo"): 1}
	_, err = b.client.Accept(t.Context(), request(edit(account("9"))))
	require.NoError(t, err)
	_, err = b.client.Accept(t.Context(), request(old))
	r := requireKind(t, fault.Conflict, err)
	require.Contains(t, r.Reason, "limit: 9")
	require.Contains(t, r.Reason, "limit: 8")
}

// TestRace guards against two racing edits of one client account of which both
// or neither win.
func TestRace(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Accept(t.Context(), request(edit(fleet)))
	require.NoError(t, err)
	const operators = 8
	won := make(chan bool)
	for i := range operators {
		e := edit(account(string(rune('1' + i))))
		e.Bases = map[config.DocumentKey]mesh.Revision{config.AccountKey("solo"): 1}
		go func() {
			_, err := b.client.Accept(t.Context(), request(e))
			won <- err == nil
		}()
	}
	n := 0
	for range operators {
		if <-won {
			n++
		}
	}
	require.Equal(t, 1, n)
	require.Equal(t, mesh.Version(2), b.current().Version)
}

// TestRepeat guards against an accept that is repeated after a lost response
// and becomes a second version or a conflict with itself.
func TestRepeat(t *testing.T) {
	b := newBench(t)
	r := request(edit(fleet))
	first, err := b.client.Accept(t.Context(), r)
	require.NoError(t, err)
	again, err := b.client.Accept(t.Context(), r)
	require.NoError(t, err)
	require.Equal(t, first, again)
}

// TestRestore guards against an undo that lowers the version.
func TestRestore(t *testing.T) {
	b := newBench(t)
	_, err := b.client.Accept(t.Context(), request(edit(fleet)))
	require.NoError(t, err)
	_, err = b.client.Accept(t.Context(), request(edit(account("9"))))
	require.NoError(t, err)
	a, err := b.client.Restore(t.Context(), client.RestoreRequest{Change: "undo", Operator: "test", Version: 1})
	require.NoError(t, err)
	require.Equal(t, mesh.Version(3), a.Version)
	d, err := b.client.Document(t.Context(), config.AccountKey("solo"))
	require.NoError(t, err)
	require.NotContains(t, d.Content, "limit")
	h, err := b.client.History(t.Context(), 10)
	require.NoError(t, err)
	require.Len(t, h, 3)
	require.Equal(t, mesh.Version(1), h[0].Restored)
	_, err = b.client.Restore(t.Context(), client.RestoreRequest{Change: "undo2", Operator: "test", Version: 99})
	_ = requireKind(t, fault.NotFound, err)
}

// TestToken guards against calls without the operator token.
func TestToken(t *testing.T) {
	b := newBench(t)
	api := httptest.NewServer(b.server.Handler())
	defer api.Close()
	for _, token := range []string{"", "wrong"} {
		c := client.New(client.Config{Node: strings.TrimPrefix(api.URL, "http://"), Token: token})
		_, err := c.Status(t.Context(), 0)
		_ = requireKind(t, fault.Unauthorized, err)
		_, err = c.Accept(t.Context(), request(edit(fleet)))
		_ = requireKind(t, fault.Unauthorized, err)
	}
	require.Zero(t, b.current().Version)
}

// unread is a body that must not be read.
type unread struct{ t *testing.T }

func (u unread) Read([]byte) (int, error) {
	u.t.Error("the body of a call without a token was read")
	return 0, io.EOF
}

// TestTokenFirst guards against calls without a token that make the node read
// and decode large bodies.
func TestTokenFirst(t *testing.T) {
	b := newBench(t)
	w := httptest.NewRecorder()
	b.server.Handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/accept", unread{t}))
	require.Equal(t, http.StatusUnauthorized, w.Code)
}

// everywhere is a version that all members of the bench serve.
const everywhere = 7

// TestUncounted guards against a version that is reported as served by all nodes while
// some that have registered are not members yet, and against a status that uses up the
// reads of the platform which the node needs itself.
func TestUncounted(t *testing.T) {
	b := newBench(t)
	for _, id := range []mesh.NodeID{"n1", "n3", "gone"} {
		require.NoError(t, b.server.cfg.Platform.WriteNode(t.Context(), dynamo.NodeRow{ID: id, Addr: "10.0.0.1:1", Zone: "z"}))
	}
	ids, err := b.client.Uncounted(t.Context())
	require.NoError(t, err)
	require.Equal(t, []mesh.NodeID{"gone", "n3"}, ids)

	before := b.tables.Count("Query")
	require.Positive(t, before)
	for range 20 { // as a command that waits does
		s, err := b.client.Status(t.Context(), everywhere)
		require.NoError(t, err)
		require.True(t, s.Converged)
	}
	require.Equal(t, before, b.tables.Count("Query"), "reads of the platform by the status")
}

// TestStatus guards against a status that reports lagging nodes as converged.
func TestStatus(t *testing.T) {
	b := newBench(t)
	s, err := b.client.Status(t.Context(), 5)
	require.NoError(t, err)
	require.False(t, s.Converged)
	require.Equal(t, []mesh.NodeID{"n2"}, s.Zones[0].Lagging)
}

// TestFault guards against refusals without effect that are reported as an
// unknown outcome because a passed deadline caused them.
func TestFault(t *testing.T) {
	late := fmt.Errorf("read: %w", context.DeadlineExceeded)
	for _, c := range []struct {
		err  error
		kind fault.Kind
		run  fault.RunState
	}{
		{late, fault.OutcomeUnknown, fault.RunUnknown},
		{fault.Newf(fault.PlatformUnavailable, "head: %w", late).WithRun(fault.NotRun), fault.PlatformUnavailable, fault.NotRun},
		{fault.Newf(fault.OutcomeUnknown, "commit: %w", late), fault.OutcomeUnknown, fault.RunUnknown},
	} {
		e := asFault(c.err)
		require.Equal(t, c.kind, e.Kind)
		require.Equal(t, c.run, e.Run)
	}
}
