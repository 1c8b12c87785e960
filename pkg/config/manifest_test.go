package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// manifests generates valid manifests that have keys and contents in common.
func manifests() *rapid.Generator[Manifest] {
	return rapid.Custom(func(t *rapid.T) Manifest {
		var m Manifest
		for range rapid.IntRange(0, 8).Draw(t, "edits") {
			m = m.With(Entry{
				Key:      AccountKey(mesh.ClientAccount(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"))),
				Revision: mesh.Revision(rapid.Uint64Range(1, 3).Draw(t, "revision")),
				Part:     mesh.DigestOf([]byte{rapid.Byte().Draw(t, "part")}),
			})
		}
		return m
	})
}

// TestDelta guards against a delta whose result differs from its target, and
// against accepting a result without the expected digest.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target := manifests().Draw(t, "base"), manifests().Draw(t, "target")
		d := Delta{Digest: target.Digest()}
		d.Changed, d.Removed = Diff(base, target)
		got, err := Apply(base, d)
		require.NoError(t, err)
		require.Equal(t, target.Digest(), got.Digest())

		d.Digest = mesh.DigestOf([]byte("other"))
		_, err = Apply(base, d)
		require.ErrorIs(t, err, ErrDelta)

		decoded, err := DecodeManifest(target.Encode())
		require.NoError(t, err)
		require.Equal(t, target.Digest(), decoded.Digest())
	})
}

// TestDeltaRefused guards against accepting deltas with a part that no entry names
// or with a repeated entry.
func TestDeltaRefused(t *testing.T) {
	e := Entry{Key: "account/a", Revision: 1, Part: mesh.DigestOf([]byte("x"))}
	target := Manifest{}.With(e)
	_, err := Apply(Manifest{}, Delta{Digest: target.Digest(), Changed: []Entry{e}, Parts: []Part{Part("x"), Part("y")}})
	require.ErrorIs(t, err, ErrDelta)
	_, err = Apply(Manifest{}, Delta{Digest: target.Digest(), Changed: []Entry{e, e}})
	require.ErrorIs(t, err, ErrDelta)
	_, err = Apply(Manifest{}, Delta{Digest: target.Digest(), Changed: []Entry{e}, Parts: []Part{Part("x")}})
	require.NoError(t, err)
}

// TestWithCopies guards against With and Without modifying their receiver, which
// may still be in use.
func TestWithCopies(t *testing.T) {
	m := Manifest{}.With(Entry{Key: "fleet", Revision: 1}).With(Entry{Key: "account/b", Revision: 1})
	n := m.With(Entry{Key: "fleet", Revision: 2}).Without("account/b")
	require.Equal(t, []Entry{{Key: "account/b", Revision: 1}, {Key: "fleet", Revision: 1}}, m.Entries)
	require.Equal(t, []Entry{{Key: "fleet", Revision: 2}}, n.Entries)
	require.Equal(t, n, n.Without("account/x"))
	e, ok := n.Entry("fleet")
	require.True(t, ok)
	require.EqualValues(t, 2, e.Revision)
}

// TestManifestRefused guards against accepting invalid manifests and more than one
// encoding of the same configuration.
func TestManifestRefused(t *testing.T) {
	d := mesh.DigestOf(nil).String()
	a, f := `{"key":"account/a","revision":1,"part":"`+d+`"}`, `{"key":"fleet","revision":1,"part":"`+d+`"}`
	_, err := DecodeManifest([]byte(`{"entries":[` + a + `,` + f + `]}`))
	require.NoError(t, err)
	for _, text := range []string{
		``, `{}`, `[]`, `{"entries":null}`,
		`{"entries":[` + f + `,` + a + `]}`,
		`{"entries":[` + a + `,` + a + `]}`,
		`{"entries":[ ` + a + `]}`,
		`{"entries":[` + a + `],"x":1}`,
		strings.Replace(`{"entries":[`+a+`]}`, `"revision":1`, `"revision":0`, 1),
		strings.Replace(`{"entries":[`+a+`]}`, `account/a`, `account/A`, 1),
		strings.Replace(`{"entries":[`+a+`]}`, `account/a`, `other/a`, 1),
	} {
		_, err := DecodeManifest([]byte(text))
		require.Error(t, err, text)
	}
}

func FuzzDecodeManifest(f *testing.F) {
	f.Add(Manifest{}.Encode())
	f.Add(Manifest{}.With(Entry{Key: "fleet", Revision: 1, Part: mesh.DigestOf(nil)}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeManifest(b)
		if err != nil {
			return
		}
		require.Equal(t, string(b), string(m.Encode()))
	})
}

// FuzzParseDocuments checks that every accepted document is unchanged after it is
// formatted as YAML and parsed again, and that compiling it does not panic.
func FuzzParseDocuments(f *testing.F) {
	f.Add(sample)
	f.Add("account: a\ntemplate: t\nparameters: {a: 1e3, b: 'x: y', c: -0.0, d: 0x1f, e: '1', f: \"\"}\n")
	f.Add("template: t\nroutes: [{name: '${a}', path: /, retry: {}}]\nparameters: [{name: a, kind: string, default: ''}]")
	f.Fuzz(func(t *testing.T, text string) {
		docs, err := ParseDocuments("fuzz.yaml", strings.NewReader(text))
		if err != nil {
			require.IsType(t, &InvalidError{}, err)
			return
		}
		for _, d := range docs {
			rendered, err := d.Part.YAML()
			require.NoError(t, err)
			for _, form := range []string{string(rendered), string(d.Part)} {
				reparsed, err := ParseDocuments("again.yaml", strings.NewReader(form))
				require.NoError(t, err, form)
				require.Len(t, reparsed, 1)
				require.Equal(t, string(d.Part), string(reparsed[0].Part))
			}
			k, err := d.Part.Key()
			require.NoError(t, err)
			require.Equal(t, d.Key, k)
		}
		m, part := buildManifest(docs)
		_, _ = Compile(1, m, part)
	})
}
