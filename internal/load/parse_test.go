package load

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExperiments guards against experiment files that do not parse, and against
// streams of ranks that their configuration does not define.
func TestExperiments(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		x, err := ReadFile(f)
		require.NoError(t, err)
		c := &cluster{experiment: x}
		c.rankPolicies, err = parseRankPolicies(c.configFiles(mustRead(t, filepath.Join(x.dir, x.Mesh.Config))))
		require.NoError(t, err, f)
		for _, p := range x.Phases {
			for _, e := range p.Load {
				_, err := c.rankPolicy(e.Rank)
				require.NoError(t, err, f)
			}
		}
	}
}

const validExperiment = `
mesh: {nodes: 2, zones: [a], services: [s], config: c.yaml, template: t, accounts: 1, slots: 10, time: 50ms}
phases:
  - {name: p, duration: 1s, load: [{rank: urgent, path: /u, rate: 10}]}
`

// TestParse guards against invalid files that are accepted, and against errors
// that do not name the file and the field.
func TestParse(t *testing.T) {
	x, err := Parse("x.yaml", strings.NewReader(validExperiment))
	require.NoError(t, err)
	require.Equal(t, "x", x.Name)
	require.Equal(t, ViaMesh, x.Phases[0].Load[0].Via)
	require.InDelta(t, 400, x.Mesh.capacity(), 1)
	for _, c := range []struct{ old, new, want string }{
		{"nodes: 2", "nodes: 0", "mesh.nodes: 0 is not positive"},
		{"nodes: 2", "nodes: 200", "mesh.nodes: needs 401 processes, want at most 300"},
		{"nodes: 2", "nodes: 2, color: red", "field color not found"},
		{"nodes: 2", "nodes: two", "line 2: cannot unmarshal"},
		{"time: 50ms", "time: soon", `mesh.time: time "soon"`},
		{"duration: 1s", "duration: 1h", "phases: last 1h0m0s in all, want at most 10m0s"},
		{"duration: 1s", "duration: 1", "cannot unmarshal"},
		{"rate: 10", "rate: 10, times: 2", "phases[0].load[0]: want one of rate and times"},
		{"rate: 10", "times: 1000", "phases[0].load: offers 400000 requests/s, want at most 20000"},
		{"rate: 10", "rate: 10, via: boat", `phases[0].load[0].via: "boat" is not one of`},
		{"rate: 10", "rate: 10, entries: 3", "phases[0].load[0].entries: 3 is not between 0 and mesh.nodes"},
		{"rate: 10", "rate: 10, arrivals: burst", "phases[0].load[0].burst: 0 is not positive"},
		{"duration: 1s", "duration: 1s, events: [{do: fly}]", `phases[0].events[0].do: "fly" is not one of`},
		{"duration: 1s", "duration: 1s, edits: {rate: -1}", "phases[0].edits.rate: -1 is not positive"},
		{"phases:", "---\nphases:", "holds more than one document"},
	} {
		_, err := Parse("x.yaml", strings.NewReader(strings.Replace(validExperiment, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want)
		require.ErrorContains(t, err, "x.yaml: ")
	}
}
