package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlan guards against plans that omit changes of ranks, services or routes.
func TestPlan(t *testing.T) {
	before := mustCompile(t, sample)
	require.Equal(t, "no changes\n", Plan(before, mustCompile(t, sample)).String())

	after := mustCompile(t, strings.NewReplacer(
		"  - {name: urgent, target: 150ms, worth: 100, floor: 0.1}\n", "",
		"services:", "  - {name: urgent, target: 200ms, worth: 100, floor: 0.1}\nservices:\n  - {name: katalog, slots: 5, connections: 5}",
		"name: reserve\n", "name: book\n",
	).Replace(sample[:strings.Index(sample, "---\naccount: solo")]))
	c := Plan(before, after)
	require.Equal(t, []FieldChange{{"order of ranks", "urgent, bulk", "bulk, urgent"}}, c.Fleet[0].Fields)
	require.Equal(t, []Change{{"urgent", Changed, []FieldChange{{"target", "150ms", "200ms"}}}}, c.Ranks)
	require.Equal(t, "katalog", c.Services[0].Name)
	require.Equal(t, Added, c.Services[0].Action)
	require.Len(t, c.Accounts, 2)
	require.Equal(t, []Action{Added, Removed}, []Action{c.Accounts[0].Routes[0].Action, c.Accounts[0].Routes[1].Action})
	require.Equal(t, Removed, c.Accounts[1].Action)

	require.Len(t, Plan(nil, before).Accounts, 2)
	for _, a := range Plan(before, nil).Accounts {
		require.Equal(t, Removed, a.Action)
	}
}
