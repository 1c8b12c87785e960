package operator

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Content is one version of the configuration with a lookup of its parts.
type Content struct {
	Version  mesh.Version
	Manifest config.Manifest
	Part     func(mesh.Digest) (config.Part, bool)
}

// change is the edit of one document.
type change struct {
	key  config.DocumentKey
	base mesh.Revision
	part config.Part // nil removes the document
}

// parseEdit converts an edit to changes, sorted by key. If the edit gives no base
// revision for a document, the base is its revision in m.
func parseEdit(e client.Edit, m config.Manifest) ([]change, error) {
	var cs []change
	var errs []error
	for _, f := range e.Files {
		ds, err := config.ParseDocuments(f.Name, strings.NewReader(f.Content))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		for _, d := range ds {
			cs = append(cs, change{key: d.Key, part: d.Part})
		}
	}
	for _, k := range e.Remove {
		if _, ok := m.Entry(k); !ok {
			errs = append(errs, fmt.Errorf("remove %s: document does not exist", k))
		}
		cs = append(cs, change{key: k})
	}
	slices.SortFunc(cs, func(a, b change) int { return strings.Compare(string(a.key), string(b.key)) })
	for i := range cs {
		if i > 0 && cs[i-1].key == cs[i].key {
			errs = append(errs, fmt.Errorf("%s: document occurs more than once in the edit", cs[i].key))
		}
		cs[i].base = baseRevision(e, m, cs[i].key)
	}
	if len(cs) == 0 && len(errs) == 0 {
		errs = append(errs, errors.New("edit contains no documents"))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fault.Newf(fault.InvalidConfig, "%w", err)
	}
	return cs, nil
}

func baseRevision(e client.Edit, m config.Manifest, k config.DocumentKey) mesh.Revision {
	if r, ok := e.Bases[k]; ok {
		return r
	}
	entry, _ := m.Entry(k)
	return entry.Revision
}

// applyChanges returns the result of applying cs to c, as the next version.
func applyChanges(c Content, cs []change) Content {
	m := c.Manifest
	added := map[mesh.Digest]config.Part{}
	for _, ch := range cs {
		if ch.part == nil {
			m = m.Without(ch.key)
			continue
		}
		d := ch.part.Digest()
		added[d] = ch.part
		m = m.With(config.Entry{Key: ch.key, Revision: ch.base + 1, Part: d})
	}
	return Content{Version: c.Version + 1, Manifest: m, Part: func(d mesh.Digest) (config.Part, bool) {
		if p, ok := added[d]; ok {
			return p, true
		}
		return c.Part(d)
	}}
}

func (c Content) compile() (*config.Snapshot, error) {
	return config.Compile(c.Version, c.Manifest, c.Part)
}

// withFileNames replaces document keys in err by the names of the files that
// contain the documents, so that an operator can locate the fault.
func withFileNames(err error, e client.Edit) error {
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}
	files := map[string]string{}
	for _, f := range e.Files {
		ds, parseErr := config.ParseDocuments(f.Name, strings.NewReader(f.Content))
		if parseErr != nil {
			continue
		}
		for _, d := range ds {
			files[string(d.Key)] = f.Name
		}
	}
	out := &config.InvalidError{Faults: slices.Clone(invalid.Faults), Omitted: invalid.Omitted}
	for i := range out.Faults {
		if name, ok := files[out.Faults[i].File]; ok {
			out.Faults[i].File = name
		}
	}
	return out
}
