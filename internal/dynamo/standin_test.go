package dynamo

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/object"
	"lavenderrill.dev/lavenderrill/internal/standin/table"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// testPlatform is a platform stand-in with an empty table and bucket.
type testPlatform struct {
	t       *testing.T
	table   *table.Server
	objects *object.Server
	config  Config
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	s := &testPlatform{t: t, table: table.New(table.Config{Seed: 1}), objects: object.New(object.Config{Seed: 1})}
	ts, os := httptest.NewServer(s.table), httptest.NewServer(s.objects)
	t.Cleanup(ts.Close)
	t.Cleanup(os.Close)
	s.config = Config{
		Table: "mesh", Bucket: "mesh", TableURL: ts.URL, ObjectURL: os.URL, AccessKey: "a", SecretKey: "s",
		Timeout: time.Second, Reads: 1e6, Writes: 1e6, Burst: 1e6, ObjectReads: 1e6, ObjectWrites: 1e6, ObjectBurst: 1e6,
	}
	require.NoError(t, s.client().EnsureSchema(t.Context()))
	return s
}

func (s *testPlatform) client() *Client { return New(s.config) }

// setFaults injects faults into the table.
func (s *testPlatform) setFaults(f inject.Faults) { require.NoError(s.t, s.table.SetFaults(f)) }

// accountEdit returns an edit of the account with the given name, whose content
// depends on rate.
func accountEdit(name string, base mesh.Revision, rate int) Edit {
	docs, err := config.ParseDocuments("test", strings.NewReader(fmt.Sprintf("account: %s\ntemplate: t\nparameters: {rate: %d}", name, rate)))
	if err != nil {
		panic(err)
	}
	return Edit{Key: docs[0].Key, Base: base, Part: docs[0].Part}
}

func newChange(id string, es ...Edit) Change {
	return Change{ID: mesh.ChangeID(id), Operator: "operator", Edits: es}
}

func (s *testPlatform) commit(id string, es ...Edit) Head {
	s.t.Helper()
	h, err := s.client().Commit(s.t.Context(), newChange(id, es...), nil)
	require.NoError(s.t, err)
	return h
}

// TestCommit guards against an accept that loses an edit, a revision or the
// history of a document.
func TestCommit(t *testing.T) {
	s := newTestPlatform(t)
	c := s.client()
	h := s.commit("c1", accountEdit("a", 0, 1), accountEdit("b", 0, 1))
	require.EqualValues(t, 1, h.Version)
	h = s.commit("c2", accountEdit("a", 1, 2))
	require.Equal(t, h, s.commit("c2", accountEdit("a", 1, 2)), "a repeated change creates no version")
	_, err := c.Commit(t.Context(), newChange("c2", accountEdit("a", 1, 3)), nil)
	requireFault(t, err, fault.BadRequest, fault.NotRun)

	got, m, err := c.NewestManifest(t.Context())
	require.NoError(t, err)
	require.Equal(t, h, got)
	e, _ := m.Entry("account/a")
	require.EqualValues(t, 2, e.Revision)
	parts, err := c.Parts(t.Context(), m, nil)
	require.NoError(t, err)
	require.Equal(t, accountEdit("a", 0, 2).Part, parts[e.Part])

	_, err = c.Commit(t.Context(), newChange("c3", accountEdit("a", 1, 9)), nil)
	requireFault(t, err, fault.Conflict, fault.NotRun)
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []Conflict{{"account/a", 1, accountEdit("a", 0, 1).Part.Digest(), 2, accountEdit("a", 0, 2).Part.Digest()}}, conflict.Conflicts)

	wrong := errors.New("wrong")
	_, err = c.Commit(t.Context(), newChange("c4", accountEdit("a", 2, 9)), func(v mesh.Version, m config.Manifest) error {
		require.EqualValues(t, 3, v)
		return wrong
	})
	require.ErrorIs(t, err, wrong)

	s.commit("c5", Edit{Key: "account/a", Base: 2})
	s.commit("c6", accountEdit("a", 0, 5))
	_, m, err = c.NewestManifest(t.Context())
	require.NoError(t, err)
	e, _ = m.Entry("account/a")
	require.EqualValues(t, 4, e.Revision, "revisions continue after a removal")

	rs, err := c.History(t.Context(), 2, 4)
	require.NoError(t, err)
	require.Len(t, rs, 2)
	require.Equal(t, []mesh.ChangeID{"c5", "c2"}, []mesh.ChangeID{rs[0].Change, rs[1].Change})
	require.True(t, rs[0].Documents[0].Part.IsZero())
	r, err := c.Change(t.Context(), "c2")
	require.NoError(t, err)
	require.Equal(t, rs[1], r)
	_, err = c.Change(t.Context(), "c9")
	requireFault(t, err, fault.NotFound, fault.NotRun)
}

// TestRacingOperators guards against two operators who both replace the same
// revision of a document.
func TestRacingOperators(t *testing.T) {
	s := newTestPlatform(t)
	s.commit("first", accountEdit("a", 0, 0))
	const operators = 8
	var mu sync.Mutex
	accepted := 0
	var g errgroup.Group
	for i := range operators {
		c := s.client()
		g.Go(func() error {
			_, err := c.Commit(t.Context(), newChange(fmt.Sprint("c", i), accountEdit("a", 1, i+1)), nil)
			if err == nil {
				mu.Lock()
				accepted++
				mu.Unlock()
				return nil
			}
			var conflict *ConflictError
			if !errors.As(err, &conflict) || conflict.Conflicts[0].Current != 2 {
				return err
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.Equal(t, 1, accepted)
}

// TestRebase guards against a commit that starves, or overwrites another, while
// operators on many nodes edit different documents.
func TestRebase(t *testing.T) {
	s := newTestPlatform(t)
	const nodes, edits = 10, 8
	var g errgroup.Group
	var mu sync.Mutex
	var longest time.Duration
	for n := range nodes {
		c := s.client()
		g.Go(func() error {
			for i := range edits {
				start := time.Now()
				_, err := c.Commit(t.Context(), newChange(fmt.Sprint(n, "-", i), accountEdit(fmt.Sprint("a", n), mesh.Revision(i), i)), nil)
				if err != nil {
					return err
				}
				mu.Lock()
				longest = max(longest, time.Since(start))
				mu.Unlock()
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	h, m, err := s.client().NewestManifest(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, nodes*edits, h.Version)
	require.Len(t, m.Entries, nodes)
	for _, e := range m.Entries {
		require.EqualValues(t, edits, e.Revision)
	}
	t.Logf("longest commit of %d on %d nodes: %v", nodes*edits, nodes, longest)
}

// TestLostResponse guards against an accept that is reported as failed, or
// applied twice, because the response to its transaction was lost or the
// transaction took effect only after the request had timed out.
func TestLostResponse(t *testing.T) {
	for name, f := range map[string]inject.Faults{
		"lost":           {LoseResponse: 1, RequestLimit: 1},
		"after time-out": {Latency: inject.Duration(1200 * time.Millisecond), RequestLimit: 1},
		"never sent on":  {Outage: inject.OutageReset, RequestLimit: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestPlatform(t)
			s.commit("c1", accountEdit("a", 0, 1))
			f.Operations = []string{"TransactWriteItems"}
			s.setFaults(f)
			h := s.commit("c2", accountEdit("a", 1, 2))
			require.EqualValues(t, 2, h.Version)
			time.Sleep(time.Duration(f.Latency))
			rs, err := s.client().History(t.Context(), 10, 0)
			require.NoError(t, err)
			require.Len(t, rs, 2)
		})
	}
}

// TestOutageInAccept guards against an accept that is reported as not run
// although it may have run, or as unknown although nothing was sent.
func TestOutageInAccept(t *testing.T) {
	s := newTestPlatform(t)
	s.config.Timeout = 100 * time.Millisecond
	c := s.client()
	s.commit("c1", accountEdit("a", 0, 1))

	require.NoError(t, s.objects.SetFaults(inject.Faults{Outage: inject.OutageError}))
	_, err := c.Commit(t.Context(), newChange("c2", accountEdit("a", 1, 2)), nil)
	requireFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	require.NoError(t, s.objects.SetFaults(inject.Faults{}))

	s.setFaults(inject.Faults{Outage: inject.OutageReset, Operations: []string{"TransactWriteItems"}})
	_, err = c.Commit(t.Context(), newChange("c2", accountEdit("a", 1, 2)), nil)
	requireFault(t, err, fault.OutcomeUnknown, fault.RunUnknown)

	s.setFaults(inject.Faults{LoseResponse: 1, Operations: []string{"TransactWriteItems"}})
	ctx, cancel := context.WithCancel(t.Context())
	sent := s.table.Count("TransactWriteItems")
	canceled := make(chan struct{})
	go func() {
		defer close(canceled)
		for s.table.Count("TransactWriteItems") == sent {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = c.Commit(ctx, newChange("c2", accountEdit("a", 1, 2)), nil)
	require.NoError(t, err, "the outcome is determined even if the caller cancels")
	<-canceled

	s.setFaults(inject.Faults{Outage: inject.OutageHang})
	_, err = c.Commit(t.Context(), newChange("c3", accountEdit("a", 2, 3)), nil)
	requireFault(t, err, fault.PlatformUnavailable, fault.NotRun)
	s.setFaults(inject.Faults{})
	h, err := c.Head(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 2, h.Version)
}

// TestFaultyPlatform guards against versions that are lost, duplicated or
// reported wrongly while responses are lost, requests are throttled and
// transactions conflict.
func TestFaultyPlatform(t *testing.T) {
	s := newTestPlatform(t)
	s.setFaults(inject.Faults{LoseResponse: 0.1, Throttle: 0.1, Conflict: 0.2})
	var mu sync.Mutex
	accepted, unknown := make(map[mesh.ChangeID]mesh.Version), make(map[mesh.ChangeID]bool)
	var g errgroup.Group
	for n := range 5 {
		c := s.client()
		g.Go(func() error {
			revision := mesh.Revision(0)
			for i := range 10 {
				ch := newChange(fmt.Sprint(n, "-", i), accountEdit(fmt.Sprint("a", n), revision, i))
				h, err := c.Commit(t.Context(), ch, nil)
				for fault.Is(err, fault.OutcomeUnknown) {
					h, err = c.Commit(t.Context(), ch, nil)
				}
				mu.Lock()
				switch {
				case err == nil:
					accepted[ch.ID] = h.Version
					revision++
				case fault.From(err).Run == fault.RunUnknown:
					unknown[ch.ID] = true
				}
				mu.Unlock()
				if err != nil && !fault.Is(err, fault.PlatformUnavailable) {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	s.setFaults(inject.Faults{})
	rs, err := s.client().History(t.Context(), 1000, 0)
	require.NoError(t, err)
	require.Len(t, rs, len(accepted), "changes with an unknown outcome: %v", unknown)
	for i, r := range rs {
		require.EqualValues(t, len(rs)-i, r.Version)
		require.Equal(t, accepted[r.Change], r.Version)
	}
}

// TestRestore guards against a restore that reuses an old version number or
// revision, also when it changes more documents than fit in one transaction.
func TestRestore(t *testing.T) {
	s := newTestPlatform(t)
	c := s.client()
	const documents = MaxEdits + 20
	write := func(id string, base mesh.Revision, rate int) {
		for from := 0; from < documents; from += MaxEdits {
			var es []Edit
			for i := from; i < min(from+MaxEdits, documents); i++ {
				es = append(es, accountEdit(fmt.Sprint("a", i), base, rate))
			}
			s.commit(fmt.Sprint(id, from), es...)
		}
	}
	write("create", 0, 1)
	old, err := c.Head(t.Context())
	require.NoError(t, err)
	write("edit", 1, 2)
	s.commit("extra", accountEdit("extra", 0, 1))

	h, err := c.Restore(t.Context(), "back", "operator", old.Version, nil)
	require.NoError(t, err)
	require.EqualValues(t, 6, h.Version)
	again, err := c.Restore(t.Context(), "back", "operator", old.Version, nil)
	require.NoError(t, err)
	require.Equal(t, h, again)
	_, m, err := c.NewestManifest(t.Context())
	require.NoError(t, err)
	require.Len(t, m.Entries, documents)
	for _, e := range m.Entries {
		require.EqualValues(t, 3, e.Revision)
	}
	_, err = c.Restore(t.Context(), "back2", "operator", old.Version, nil)
	requireFault(t, err, fault.BadRequest, fault.NotRun)
	for i := range documents {
		if i%10 == 0 {
			s.commit(fmt.Sprint("after", i), accountEdit(fmt.Sprint("a", i), 3, 4))
		}
	}
	_, err = c.Restore(t.Context(), "back3", "operator", 99, nil)
	requireFault(t, err, fault.NotFound, fault.NotRun)
}

// TestClaims guards against two owners of one claim, and against an owner that
// is refused its own claim.
func TestClaims(t *testing.T) {
	s := newTestPlatform(t)
	now := time.UnixMilli(1_000_000)
	s.config.Now = func() time.Time { return now }
	c := s.client()
	s.setFaults(inject.Faults{LoseResponse: 1, RequestLimit: 1, Operations: []string{"PutItem"}})
	r, err := c.Claim(t.Context(), "k", "one", time.Minute)
	require.NoError(t, err)
	require.True(t, r.Granted)
	r, err = c.Claim(t.Context(), "k", "two", time.Minute)
	require.NoError(t, err)
	require.Equal(t, ClaimResult{Owner: "one", Expiry: now.Add(time.Minute)}, r)
	requireFault(t, c.ReleaseClaim(t.Context(), "k", "two"), fault.Conflict, fault.NotRun)
	require.NoError(t, c.ReleaseClaim(t.Context(), "k", "one"))
	require.NoError(t, c.ReleaseClaim(t.Context(), "k", "one"))
	r, err = c.Claim(t.Context(), "k", "two", time.Minute)
	require.NoError(t, err)
	require.True(t, r.Granted)
	now = now.Add(2 * time.Minute)
	r, err = c.Claim(t.Context(), "k", "three", time.Minute)
	require.NoError(t, err)
	require.True(t, r.Granted, "an expired claim is available")
}

// TestNodesAndSchema guards against node rows that cannot be found, and against
// failures when several clients create the schema concurrently.
func TestNodesAndSchema(t *testing.T) {
	s := newTestPlatform(t)
	c := s.client()
	var g errgroup.Group
	for range 4 {
		g.Go(func() error { return s.client().EnsureSchema(t.Context()) })
	}
	require.NoError(t, g.Wait())
	for i := range 5 {
		require.NoError(t, c.WriteNode(t.Context(), NodeRow{ID: mesh.NodeID(fmt.Sprint("n", i)), Addr: "127.0.0.1:1", Zone: "solo"}))
	}
	require.NoError(t, c.DeleteNode(t.Context(), "n0"))
	require.NoError(t, c.DeleteNode(t.Context(), "n0"))
	rows, err := c.Nodes(t.Context(), 3)
	require.NoError(t, err)
	require.Len(t, rows, 3)
	rows, err = c.Nodes(t.Context(), 100)
	require.NoError(t, err)
	require.Len(t, rows, 4)
	require.Equal(t, mesh.AvailabilityZone("solo"), rows[0].Zone)
	require.WithinDuration(t, time.Now(), rows[0].Written, time.Minute)
}

// TestOvertaken guards against an accept that is applied twice, or abandoned,
// when another accept moves the head while the outcome of the first is unknown.
func TestOvertaken(t *testing.T) {
	s := newTestPlatform(t)
	s.commit("c1", accountEdit("a", 0, 1))
	s.config.Timeout = 300 * time.Millisecond
	const transactionDelay = 900 * time.Millisecond
	s.setFaults(inject.Faults{Latency: inject.Duration(transactionDelay), RequestLimit: 1, Operations: []string{"TransactWriteItems"}})
	done := make(chan error, 1)
	go func() {
		for s.table.Count("TransactWriteItems") < 2 {
			time.Sleep(time.Millisecond)
		}
		_, err := s.client().Commit(t.Context(), newChange("c3", accountEdit("b", 0, 1)), nil)
		done <- err
	}()
	h := s.commit("c2", accountEdit("a", 1, 2))
	require.NoError(t, <-done)
	require.EqualValues(t, 3, h.Version)
	time.Sleep(transactionDelay)
	rs, err := s.client().History(t.Context(), 10, 0)
	require.NoError(t, err)
	require.Equal(t, []mesh.ChangeID{"c2", "c3", "c1"}, []mesh.ChangeID{rs[0].Change, rs[1].Change, rs[2].Change})
}
