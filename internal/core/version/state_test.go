package version

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const documents = `fleet: test
ranks: [{name: urgent, target: 1s, worth: 1, floor: 0.1}]
services: [{name: s, slots: 20, connections: 110}]
---
template: t
parameters: [{name: host, kind: string, required: true}, {name: rate, kind: int, min: 1, max: 1000000, default: 5}]
routes:
- {name: r, host: '${host}', path: /p, methods: [GET], service: s, rank: urgent, idempotent: true, deadline: 1s, rate: '${rate}'}
`

// editHistory holds the manifest of each accepted version, and all parts.
type editHistory struct {
	manifests []config.Manifest // by version, the first is empty
	parts     map[mesh.Digest]config.Part
}

func newEditHistory() *editHistory {
	e := &editHistory{manifests: make([]config.Manifest, 1), parts: make(map[mesh.Digest]config.Part)}
	e.accept(config.Manifest{}, documents)
	return e
}

// accept adds a version in which the documents of text replace those of m.
func (e *editHistory) accept(m config.Manifest, text string) {
	docs, err := config.ParseDocuments("test.yaml", strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	for _, d := range docs {
		old, _ := m.Entry(d.Key)
		m = m.With(config.Entry{Key: d.Key, Revision: old.Revision + 1, Part: d.Part.Digest()})
		e.parts[d.Part.Digest()] = d.Part
	}
	e.manifests = append(e.manifests, m)
}

func (e *editHistory) last() config.Manifest { return e.manifests[len(e.manifests)-1] }

// edit accepts a version that changes account a.
func (e *editHistory) edit(a, rate int) {
	e.accept(e.last(), fmt.Sprintf("account: a%d\ntemplate: t\nparameters: {host: a%d.example, rate: %d}\n", a, a, rate))
}

func (e *editHistory) remove(a int) {
	e.manifests = append(e.manifests, e.last().Without(config.AccountKey(mesh.ClientAccount(fmt.Sprintf("a%d", a)))))
}

// applyManifest moves s to version v with the complete manifest.
func (e *editHistory) applyManifest(s *State, v mesh.Version) error {
	m := e.manifests[v]
	var parts []config.Part
	for _, d := range s.MissingParts(m) {
		parts = append(parts, e.parts[d])
	}
	_, err := s.ApplyManifest(v, m.Digest(), m, parts, time.Time{})
	return err
}

// TestDeltasLeadToTheSameManifest guards against deltas that move a node to a
// configuration other than the accepted one, whatever versions it missed, and
// against a version that decreases.
func TestDeltasLeadToTheSameManifest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEditHistory()
		source, node := New(), New()
		require.NoError(t, e.applyManifest(source, 1))
		require.NoError(t, e.applyManifest(node, 1))
		for range rapid.IntRange(1, 80).Draw(t, "edits") {
			a := rapid.IntRange(0, 3).Draw(t, "account")
			if rapid.Bool().Draw(t, "remove") {
				e.remove(a)
			} else {
				e.edit(a, rapid.IntRange(1, 9).Draw(t, "rate"))
			}
			v := mesh.Version(len(e.manifests) - 1)
			require.NoError(t, e.applyManifest(source, v))
			if rapid.IntRange(0, 3).Draw(t, "miss") > 0 {
				continue
			}
			before := node.Version()
			base := before - mesh.Version(rapid.IntRange(0, int(min(before-1, 3))).Draw(t, "below"))
			d, ok := source.DeltaFrom(base)
			if !ok {
				require.Greater(t, v-base, mesh.Version(maxDeltas))
				require.NoError(t, e.applyManifest(node, v))
				continue
			}
			s, err := node.ApplyDelta(d, time.Time{})
			require.NoError(t, err)
			require.Equal(t, v, s.Version)
			require.Equal(t, e.last(), node.Manifest())
			_, err = node.ApplyDelta(d, time.Time{})
			require.ErrorIs(t, err, ErrOld)
		}
	})
}

// TestRefusals guards against a refused version that changes the state, and
// against a refusal that is counted under another reason.
func TestRefusals(t *testing.T) {
	e := newEditHistory()
	e.edit(0, 1)
	e.edit(0, 2)
	e.accept(e.last(), "account: bad\ntemplate: absent\nparameters: {}\n")
	source, node := New(), New()
	require.NoError(t, e.applyManifest(source, 2))
	require.NoError(t, e.applyManifest(source, 3))
	require.NoError(t, e.applyManifest(node, 2))
	held := node.Snapshot()
	good, ok := source.DeltaFrom(2)
	require.True(t, ok)

	for reason, corrupt := range map[string]func(*config.Delta){
		"old":      func(d *config.Delta) { d.Target = 1 },
		"conflict": func(d *config.Delta) { d.Target = 2 },
		"base":     func(d *config.Delta) { d.Base = 3 },
		"digest":   func(d *config.Delta) { d.Changed = nil },
		"part":     func(d *config.Delta) { d.Parts = nil },
	} {
		d := good
		corrupt(&d)
		_, err := node.ApplyDelta(d, time.Time{})
		require.Error(t, err)
		require.Equal(t, reason, Reason(err))
		require.Same(t, held, node.Snapshot())
	}
	err := e.applyManifest(node, 4)
	require.Equal(t, "invalid", Reason(err))
	require.Same(t, held, node.Snapshot())
	_, err = node.ApplyDelta(good, time.Time{})
	require.NoError(t, err)
}

// TestDecide checks the action for each kind of offered version.
func TestDecide(t *testing.T) {
	e := newEditHistory()
	e.edit(0, 1)
	empty, s := New(), New()
	require.NoError(t, e.applyManifest(s, 2))
	for _, c := range []struct {
		s       *State
		v, base mesh.Version
		delta   bool
		want    Action
	}{
		{s, 1, 0, true, Ignore},
		{s, 2, 1, true, Ignore},
		{s, 3, 2, true, ApplyDelta},
		{s, 4, 1, true, ApplyDelta},
		{s, 4, 3, true, Fetch},
		{s, 3, 0, true, Fetch},
		{s, 3, 0, false, Fetch},
		{empty, 0, 0, false, Ignore},
		{empty, 3, 0, true, ApplyDelta},
		{empty, 3, 2, true, Fetch},
	} {
		require.Equal(t, c.want, c.s.Decide(c.v, c.base, c.delta), "%+v", c)
	}
}

// TestTreeReachesAll guards against members that no push reaches, for any
// number of members, zones and any origin.
func TestTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 300).Draw(t, "n")
		zones := rapid.IntRange(1, 16).Draw(t, "zones")
		v := mesh.Version(rapid.Uint64().Draw(t, "version"))
		ms := make([]member.Member, n)
		for i := range ms {
			ms[i] = member.Member{ID: mesh.NodeID(fmt.Sprintf("n%d", i)), Zone: mesh.AvailabilityZone(fmt.Sprintf("z%d", i%zones))}
		}
		reached := make(map[mesh.NodeID]int)
		var visit func([]member.Member, int)
		visit = func(to []member.Member, depth int) {
			for _, m := range to {
				if reached[m.ID]++; reached[m.ID] == 1 {
					visit(Children(v, m.ID, ms), depth+1)
				}
			}
		}
		visit(EntryMembers(v, ms), 1)
		require.Len(t, reached, n)
		readers := 0
		for _, m := range ms {
			require.LessOrEqual(t, len(Children(v, m.ID, ms)), Fanout)
			if IsReader(m.ID, m.Zone, ms) {
				readers++
			}
		}
		require.LessOrEqual(t, readers, 2*zones)
		require.GreaterOrEqual(t, readers, min(n, zones))
	})
}

// TestReadiness checks the conditions under which a node may serve.
func TestReadiness(t *testing.T) {
	now := time.Unix(1, 0)
	for name, c := range map[string]struct {
		do   func(*Readiness)
		held mesh.Version
		want bool
	}{
		"nothing heard":                 {func(*Readiness) {}, 0, false},
		"platform failed, no peer":      {func(r *Readiness) { r.ObservePlatformFailure() }, 0, false},
		"empty platform, no peer":       {func(r *Readiness) { r.ObservePlatform(0) }, 0, true},
		"platform ahead":                {func(r *Readiness) { r.ObservePlatform(3) }, 2, false},
		"ready peer, platform unasked":  {func(r *Readiness) { r.ObservePeer(now, 3, true) }, 3, false},
		"ready peer, platform failed":   {func(r *Readiness) { r.ObservePeer(now, 3, true); r.ObservePlatformFailure() }, 3, true},
		"empty peers, platform failed":  {func(r *Readiness) { r.ObservePeer(now, 0, false); r.ObservePlatformFailure() }, 0, false},
		"peer ahead of the platform":    {func(r *Readiness) { r.ObservePeer(now, 4, true); r.ObservePlatform(3) }, 3, false},
		"peer ahead is not heard again": {func(r *Readiness) { r.ObservePeer(now.Add(-time.Minute), 4, true); r.ObservePlatform(3) }, 3, true},
		"paused":                        {func(r *Readiness) { r.ObservePlatform(3); r.Ready(now, 3); r.ObservePause(now) }, 3, false},
		"paused, answered":              {func(r *Readiness) { r.ObservePlatform(3); r.Ready(now, 3); r.ObservePause(now); r.ObservePlatform(3) }, 3, true},
		"paused, behind":                {func(r *Readiness) { r.ObservePlatform(3); r.Ready(now, 3); r.ObservePause(now); r.ObservePlatform(4) }, 3, false},
		"paused, no answer for long":    {func(r *Readiness) { r.ObservePlatform(3); r.Ready(now, 3); r.ObservePause(now.Add(-recheckTimeout)) }, 3, true},
	} {
		var r Readiness
		c.do(&r)
		require.Equal(t, c.want, r.Ready(now, c.held), name)
	}
}

func BenchmarkChildren(b *testing.B) {
	ms := make([]member.Member, 2500)
	for i := range ms {
		ms[i] = member.Member{ID: mesh.NodeID(fmt.Sprintf("n%d", rand.Uint64())), Zone: mesh.AvailabilityZone(fmt.Sprintf("z%d", i%16))}
	}
	for b.Loop() {
		Children(1, ms[0].ID, ms)
	}
}

// TestWatchers guards against availability zones without a watcher, and against
// a number of watchers that grows with the nodes.
func TestWatchers(t *testing.T) {
	for _, zones := range []int{1, 2, 3, 4, 16} {
		var ms []member.Member
		for i := range 20 * zones {
			m := member.Member{ID: mesh.NodeID(fmt.Sprint("n", i)), Zone: mesh.AvailabilityZone(fmt.Sprint("z", i%zones)), Status: member.Alive}
			if i%10 == 3 {
				m.Status = member.Dead
			}
			ms = append(ms, m)
		}
		ws := Watchers(ms)
		require.Len(t, ws, max(zones, minWatchers))
		seen := make(map[mesh.AvailabilityZone]bool)
		for _, w := range ws {
			seen[w.Zone] = true
			require.Equal(t, member.Alive, w.Status)
			require.True(t, IsWatcher(w.ID, ms))
		}
		require.Len(t, seen, zones)
		n := 0
		for _, m := range ms {
			if IsWatcher(m.ID, ms) {
				n++
			}
		}
		require.Equal(t, len(ws), n)
		require.True(t, IsWatcher("alone", nil))
	}
}
