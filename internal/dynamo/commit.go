package dynamo

import (
	"context"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// CheckFunc decides whether manifest m may become version v. It runs again for
// each rebase, with the content that would be accepted.
type CheckFunc func(v mesh.Version, m config.Manifest) error

// Commit accepts ch as one new version and returns it. A change that was
// accepted before is not accepted again: Commit returns its version.
//
// If a document has another revision than the edit is based on, the error is
// of kind fault.Conflict and wraps a *ConflictError. If only other documents
// have moved, Commit rebases the change and tries again for as long as ctx is
// valid. After an error of kind fault.OutcomeUnknown, Commit with the same
// change finds out what happened. Errors of check are returned as they are.
//
// A nil check accepts every manifest.
func (c *Client) Commit(ctx context.Context, ch Change, check CheckFunc) (Head, error) {
	if err := ch.Check(); err != nil {
		return Head{}, err
	}
	p := &proposal{
		client: c, id: ch.ID, operator: ch.Operator, content: ch.digest(), check: check,
		build: func(ctx context.Context, p *proposal) error { return p.edit(ctx, ch) },
	}
	for _, e := range ch.Edits {
		if e.Part != nil {
			p.parts = append(p.parts, e.Part)
		}
	}
	return p.run(ctx)
}

// rebaseWindow is the delay before a rebase per competing commit seen. It is
// about the time that one commit takes.
const (
	rebaseWindow = 20 * time.Millisecond
	minRebase    = 4 * time.Millisecond
	maxRivals    = 32
)

// proposal is the state of one commit.
type proposal struct {
	client   *Client
	id       mesh.ChangeID
	operator string
	content  mesh.Digest // identifies what the change id stands for
	restored mesh.Version
	parts    []config.Part // to be stored before the first transaction
	check    CheckFunc
	// build sets next and docs from head and base.
	build func(context.Context, *proposal) error

	head Head
	base config.Manifest
	next config.Manifest
	docs []docWrite
	rows map[config.DocumentKey]mesh.Revision // revisions read from document rows
}

// docWrite is the write of one document row.
type docWrite struct {
	entry    config.Entry  // revision and part after the change; a zero part means removed
	expected mesh.Revision // revision of the row before the change; 0 if there is none
}

// run commits the proposal. Commits of one client run one after the other in
// order of arrival, so that its operators do not race with each other.
func (p *proposal) run(ctx context.Context) (Head, error) {
	select {
	case p.client.commit <- struct{}{}:
		defer func() { <-p.client.commit }()
	case <-ctx.Done():
		return Head{}, withoutEffect(ctx, operation{name: "commit"}, ctx.Err())
	}
	if h, done, err := p.accepted(ctx); done || err != nil {
		return h, err
	}
	var rivals, contentions int
	for attempt := 1; ; attempt++ {
		if attempt > 1 && wait.For(ctx, rebaseDelay(attempt, rivals, contentions)) != nil {
			return Head{}, withoutEffect(ctx, operation{name: "commit"}, ctx.Err())
		}
		before := p.head.Version
		if err := p.load(ctx); err != nil {
			return p.refused(ctx, err)
		}
		rivals = int(min(p.head.Version-before, maxRivals))
		if rivals > 0 || p.rows == nil {
			p.rows = make(map[config.DocumentKey]mesh.Revision)
			contentions = 0
		}
		if err := p.prepare(ctx); err != nil {
			return p.refused(ctx, err)
		}
		h, done, err := p.transact(ctx)
		if done || err != nil {
			return h, err
		}
		contentions++
		p.client.metrics.CounterGroup(RetryCounter).Add("commit_rebase", 1)
	}
}

// rebaseDelay returns the delay before an attempt. It grows with the number of
// commits that won since the last attempt, and shrinks with the attempts made,
// so that an old proposal is not starved by new ones. While the head does not
// move, another transaction holds a row, and the delay grows as usual.
func rebaseDelay(attempt, rivals, contentions int) time.Duration {
	if contentions > 1 {
		return backoff(contentions)
	}
	return jitter(max(rebaseWindow*time.Duration(rivals+1)/time.Duration(attempt), minRebase))
}

// load reads the head and its manifest.
func (p *proposal) load(ctx context.Context) (err error) {
	if p.head, err = p.client.Head(ctx); err != nil {
		return err
	}
	p.base, err = p.client.manifestOf(ctx, p.head)
	return err
}

// prepare builds and checks the next manifest and stores what it refers to.
func (p *proposal) prepare(ctx context.Context) error {
	if err := p.build(ctx, p); err != nil {
		return err
	}
	if p.check != nil {
		if err := p.check(p.head.Version+1, p.next); err != nil {
			return err
		}
	}
	for ; len(p.parts) > 0; p.parts = p.parts[1:] {
		if err := p.client.putObject(ctx, partPrefix, p.parts[0]); err != nil {
			return err
		}
	}
	if err := p.client.putObject(ctx, manifestPrefix, p.next.Encode()); err != nil {
		return err
	}
	p.client.manifests.put(p.next.Digest(), p.next)
	return nil
}

// refused returns the answer to a proposal that cannot be made because of err.
// A conflict may be one with an earlier call for the same change.
func (p *proposal) refused(ctx context.Context, err error) (Head, error) {
	if fault.Is(err, fault.Conflict) {
		if h, done, aerr := p.accepted(ctx); done || aerr != nil {
			return h, aerr
		}
	}
	return Head{}, err
}

// accepted reports whether the change id has been used, and for which version.
func (p *proposal) accepted(ctx context.Context) (Head, bool, error) {
	r, content, err := p.client.change(ctx, p.id)
	if err != nil || r.Version == 0 {
		return Head{}, false, err
	}
	if content != p.content {
		return Head{}, false, fault.Newf(fault.BadRequest, "change id %q was used for another change, accepted as version %d", p.id, r.Version)
	}
	return Head{r.Version, r.Digest, p.id}, true, nil
}

// edit builds the next manifest of a Change.
func (p *proposal) edit(ctx context.Context, ch Change) error {
	if err := p.conflicts(ctx, ch); err != nil {
		return err
	}
	p.next, p.docs = p.base, p.docs[:0]
	for _, e := range ch.Edits {
		expected, err := p.expected(ctx, e.Key)
		if err != nil {
			return err
		}
		d := docWrite{entry: config.Entry{Key: e.Key, Revision: max(e.Base, expected) + 1}, expected: expected}
		if e.Part == nil {
			p.next = p.next.Without(e.Key)
		} else {
			d.entry.Part = e.Part.Digest()
			p.next = p.next.With(d.entry)
		}
		p.docs = append(p.docs, d)
	}
	return nil
}

// conflicts returns an error if a document has another revision than its edit
// is based on.
func (p *proposal) conflicts(ctx context.Context, ch Change) error {
	var list []Conflict
	for _, e := range ch.Edits {
		if now, _ := p.base.Entry(e.Key); now.Revision != e.Base {
			list = append(list, Conflict{Key: e.Key, Base: e.Base, Current: now.Revision, CurrentPart: now.Part})
		}
	}
	if len(list) == 0 {
		return nil
	}
	for i, l := range list {
		if l.Base == 0 {
			continue
		}
		// The base part only helps the operator to merge; the refusal stands
		// without it.
		if part, err := p.client.basePart(ctx, l.Key, l.Base); err == nil {
			list[i].BasePart = part
		}
	}
	return fault.Newf(fault.Conflict, "%w", &ConflictError{list})
}

// expected returns the revision that the row of document k must have. The row
// of a document that the manifest does not list is read, since it may hold the
// last revision of a removed document.
func (p *proposal) expected(ctx context.Context, k config.DocumentKey) (mesh.Revision, error) {
	if r, ok := p.rows[k]; ok {
		return r, nil
	}
	if e, ok := p.base.Entry(k); ok {
		return e.Revision, nil
	}
	return p.readRow(ctx, k)
}

func (p *proposal) readRow(ctx context.Context, k config.DocumentKey) (mesh.Revision, error) {
	i, err := p.client.get(ctx, p.client.documentRead(), docPartition, string(k))
	if err != nil {
		return 0, err
	}
	p.rows[k] = mesh.Revision(i.number(revisionName))
	return p.rows[k], nil
}
