package dynamo

import (
	"context"
	"fmt"
	"slices"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Restore accepts the content of an old version as a new, higher version. It
// follows the rules of Commit, but overwrites the current documents instead of
// failing with a conflict.
//
// A restore may change more documents than fit in one transaction. The remaining
// rows then lag behind the manifest, which Commit detects. Rows of created and
// removed documents never lag; Restore refuses more than MaxEdits of them.
func (c *Client) Restore(ctx context.Context, id mesh.ChangeID, operator string, version mesh.Version, check CheckFunc) (Head, error) {
	if err := checkIDAndOperator(id, operator); err != nil {
		return Head{}, err
	}
	r, err := c.Version(ctx, version)
	if err != nil {
		return Head{}, err
	}
	target, err := c.Manifest(ctx, r.Digest)
	if err != nil {
		return Head{}, err
	}
	p := &proposal{
		client: c, id: id, operator: operator, restored: version, check: check,
		contentDigest: mesh.DigestOf(fmt.Appendf(nil, "restore\n%d", version)),
		build:         func(ctx context.Context, p *proposal) error { return p.buildRestore(ctx, target) },
	}
	return p.run(ctx)
}

// buildRestore builds the next manifest with the content of target.
func (p *proposal) buildRestore(ctx context.Context, target config.Manifest) error {
	var createdOrRemoved, changed []docWrite
	p.next = config.Manifest{Entries: slices.Clone(p.base.Entries)}
	for _, e := range p.base.Entries {
		if _, ok := target.Entry(e.Key); ok {
			continue
		}
		p.next = p.next.Without(e.Key)
		expected, err := p.expectedRevision(ctx, e.Key)
		if err != nil {
			return err
		}
		createdOrRemoved = append(createdOrRemoved, docWrite{config.Entry{Key: e.Key, Revision: e.Revision + 1}, expected})
	}
	for _, e := range target.Entries {
		current, ok := p.base.Entry(e.Key)
		if ok && current.Part == e.Part {
			continue
		}
		expected, err := p.expectedRevision(ctx, e.Key)
		if err != nil {
			return err
		}
		w := docWrite{config.Entry{Key: e.Key, Revision: max(current.Revision, expected) + 1, Part: e.Part}, expected}
		p.next = p.next.With(w.entry)
		if ok {
			changed = append(changed, w)
		} else {
			createdOrRemoved = append(createdOrRemoved, w)
		}
	}
	if len(createdOrRemoved) > MaxEdits {
		return fault.Newf(fault.BadRequest, "restore creates and removes %d documents, want at most %d", len(createdOrRemoved), MaxEdits)
	}
	if len(createdOrRemoved)+len(changed) == 0 {
		return fault.Newf(fault.BadRequest, "newest version %d already has this content", p.head.Version)
	}
	p.docs = append(createdOrRemoved, changed...)
	return nil
}
