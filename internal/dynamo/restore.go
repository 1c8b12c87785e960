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
// keeps the rules of Commit, but replaces whatever the documents hold at that
// moment instead of refusing with a conflict.
//
// A restore may change more documents than a transaction has room for. The
// rows of the rest then lag behind the manifest, which Commit notices. Rows of
// documents that are created or removed never lag, and more than MaxEdits of
// them are refused.
func (c *Client) Restore(ctx context.Context, id mesh.ChangeID, operator string, version mesh.Version, check CheckFunc) (Head, error) {
	if err := checkOrigin(id, operator); err != nil {
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
		content: mesh.DigestOf(fmt.Appendf(nil, "restore\n%d", version)),
		build:   func(ctx context.Context, p *proposal) error { return p.replace(ctx, target) },
	}
	return p.run(ctx)
}

// replace builds a next manifest with the content of target.
func (p *proposal) replace(ctx context.Context, target config.Manifest) error {
	var structural, changed []docWrite
	p.next = config.Manifest{Entries: slices.Clone(p.base.Entries)}
	for _, e := range p.base.Entries {
		if _, ok := target.Entry(e.Key); ok {
			continue
		}
		p.next = p.next.Without(e.Key)
		expected, err := p.expected(ctx, e.Key)
		if err != nil {
			return err
		}
		structural = append(structural, docWrite{config.Entry{Key: e.Key, Revision: e.Revision + 1}, expected})
	}
	for _, e := range target.Entries {
		now, ok := p.base.Entry(e.Key)
		if ok && now.Part == e.Part {
			continue
		}
		expected, err := p.expected(ctx, e.Key)
		if err != nil {
			return err
		}
		w := docWrite{config.Entry{Key: e.Key, Revision: max(now.Revision, expected) + 1, Part: e.Part}, expected}
		p.next = p.next.With(w.entry)
		if ok {
			changed = append(changed, w)
		} else {
			structural = append(structural, w)
		}
	}
	if len(structural) > MaxEdits {
		return fault.Newf(fault.BadRequest, "the restore creates and removes %d documents, at most %d are supported", len(structural), MaxEdits)
	}
	if len(structural)+len(changed) == 0 {
		return fault.Newf(fault.BadRequest, "the newest version %d has this content already", p.head.Version)
	}
	p.docs = append(structural, changed...)
	return nil
}
