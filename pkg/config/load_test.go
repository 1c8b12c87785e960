package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// buildManifest returns the manifest of docs and a function that finds a part by
// its digest.
func buildManifest(docs []Document) (Manifest, func(mesh.Digest) (Part, bool)) {
	var m Manifest
	parts := make(map[mesh.Digest]Part)
	for _, d := range docs {
		m = m.With(Entry{Key: d.Key, Revision: 1, Part: d.Part.Digest()})
		parts[d.Part.Digest()] = d.Part
	}
	return m, func(d mesh.Digest) (Part, bool) { p, ok := parts[d]; return p, ok }
}

func compileText(text string) (*Snapshot, error) {
	docs, err := ParseDocuments("test.yaml", strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	m, part := buildManifest(docs)
	return Compile(1, m, part)
}

func mustCompile(t testing.TB, text string) *Snapshot {
	t.Helper()
	s, err := compileText(text)
	require.NoError(t, err)
	return s
}

// TestExamples guards against example configurations that do not compile.
func TestExamples(t *testing.T) {
	for dir, want := range map[string]struct{ accounts, routes, ranks int }{
		"lending-office": {4, 24, 4},
		"dunvinnsla":     {3, 18, 5},
	} {
		files, err := filepath.Glob("../../examples/" + dir + "/*.yaml")
		require.NoError(t, err)
		var docs []Document
		for _, name := range files {
			f, err := os.Open(name)
			require.NoError(t, err)
			d, err := ParseDocuments(name, f)
			require.NoError(t, err)
			require.NoError(t, f.Close())
			docs = append(docs, d...)
		}
		m, part := buildManifest(docs)
		s, err := Compile(7, m, part)
		require.NoError(t, err)
		require.Equal(t, dir, s.Fleet)
		require.Equal(t, mesh.Version(7), s.Version)
		require.Len(t, s.Accounts, want.accounts)
		require.Len(t, s.Routes, want.routes)
		require.Len(t, s.Ranks, want.ranks)
		for _, r := range s.Routes {
			if r.Claim {
				require.False(t, r.Idempotent)
			}
		}
	}
}

// generateDocuments returns a configuration of n accounts with five routes each.
func generateDocuments(n int) []Document {
	var b strings.Builder
	b.WriteString(`fleet: f
ranks: [{name: urgent, target: 1s, worth: 1, floor: 0.1}]
services: [{name: s, slots: 20, connections: 110}]
---
template: t
parameters: [{name: host, kind: string, required: true}, {name: rate, kind: int, min: 1, max: 100, default: 5}]
routes:
`)
	for i := range 5 {
		fmt.Fprintf(&b, "- {name: r%d, host: '${host}', path: /p%d, methods: [GET], service: s, rank: urgent, idempotent: true, deadline: 1s, rate: '${rate}'}\n", i, i)
	}
	for i := range n {
		fmt.Fprintf(&b, "---\naccount: a%d\ntemplate: t\nparameters: {host: a%d.example, rate: %d}\n", i, i, i%100+1)
	}
	docs, err := ParseDocuments("many.yaml", strings.NewReader(b.String()))
	if err != nil {
		panic(err)
	}
	return docs
}

func BenchmarkCompile(b *testing.B) {
	m, part := buildManifest(generateDocuments(1200))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(1, m, part); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(m.Encode())), "manifest-bytes")
}
