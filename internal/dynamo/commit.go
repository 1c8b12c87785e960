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
// have changed, Commit rebases the change and retries until ctx is done. After
// an error of kind fault.OutcomeUnknown, calling Commit again with the same
// change determines the outcome. Errors of check are returned unchanged.
//
// A nil check accepts every manifest.
func (c *Client) Commit(ctx context.Context, ch Change, check CheckFunc) (Head, error) {
	if err := ch.Check(); err != nil {
		return Head{}, err
	}
	p := &proposal{
		client: c, id: ch.ID, operator: ch.Operator, contentDigest: ch.digest(), check: check,
		build: func(ctx context.Context, p *proposal) error { return p.buildEdit(ctx, ch) },
	}
	for _, e := range ch.Edits {
		if e.Part != nil {
			p.parts = append(p.parts, e.Part)
		}
	}
	return p.run(ctx)
}

// rebaseDelayPerCommit is the part of the rebase delay for each competing
// commit. It is about the time that one commit takes.
const (
	rebaseDelayPerCommit = 20 * time.Millisecond
	minRebaseDelay       = 4 * time.Millisecond
	maxCompetingCommits  = 32
)

// proposal is the state of one commit.
type proposal struct {
	client        *Client
	id            mesh.ChangeID
	operator      string
	contentDigest mesh.Digest // identifies the change, to detect reuse of its id
	restored      mesh.Version
	parts         []config.Part // to be stored before the first transaction
	check         CheckFunc
	// build sets next and docs from head and base.
	build func(context.Context, *proposal) error

	head         Head
	base         config.Manifest
	next         config.Manifest
	docs         []docWrite
	rowRevisions map[config.DocumentKey]mesh.Revision // revisions read from document rows
}

// docWrite is the write of one document row.
type docWrite struct {
	entry    config.Entry  // revision and part after the change; a zero part means removed
	expected mesh.Revision // revision of the row before the change; 0 if there is none
}

// run commits the proposal. Commits of one client run one at a time in order of
// arrival, so that its operators do not compete with each other.
func (p *proposal) run(ctx context.Context) (Head, error) {
	select {
	case p.client.commitSem <- struct{}{}:
		defer func() { <-p.client.commitSem }()
	case <-ctx.Done():
		return Head{}, notRunError(ctx, operation{name: "commit"}, ctx.Err())
	}
	if h, done, err := p.lookupAccepted(ctx); done || err != nil {
		return h, err
	}
	var competingCommits, contentions int
	for attempt := 1; ; attempt++ {
		if attempt > 1 && wait.For(ctx, rebaseDelay(attempt, competingCommits, contentions)) != nil {
			return Head{}, notRunError(ctx, operation{name: "commit"}, ctx.Err())
		}
		before := p.head.Version
		if err := p.loadHead(ctx); err != nil {
			return p.resolveRefusal(ctx, err)
		}
		competingCommits = int(min(p.head.Version-before, maxCompetingCommits))
		if competingCommits > 0 || p.rowRevisions == nil {
			p.rowRevisions = make(map[config.DocumentKey]mesh.Revision)
			contentions = 0
		}
		if err := p.prepare(ctx); err != nil {
			return p.resolveRefusal(ctx, err)
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
// commits that succeeded since the last attempt, and shrinks with the number of
// attempts, so that new proposals do not starve an old one. While the head does
// not change, another transaction holds a row, and the delay grows exponentially.
func rebaseDelay(attempt, competingCommits, contentions int) time.Duration {
	if contentions > 1 {
		return backoff(contentions)
	}
	return jitter(max(rebaseDelayPerCommit*time.Duration(competingCommits+1)/time.Duration(attempt), minRebaseDelay))
}

// loadHead reads the head and its manifest.
func (p *proposal) loadHead(ctx context.Context) (err error) {
	if p.head, err = p.client.Head(ctx); err != nil {
		return err
	}
	p.base, err = p.client.manifestOf(ctx, p.head)
	return err
}

// prepare builds and checks the next manifest and stores it with its new parts.
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

// resolveRefusal returns the result of a proposal that failed with err. On a
// conflict it looks for an earlier accept of the same change, which may be the
// cause.
func (p *proposal) resolveRefusal(ctx context.Context, err error) (Head, error) {
	if fault.Is(err, fault.Conflict) {
		if h, done, lookupErr := p.lookupAccepted(ctx); done || lookupErr != nil {
			return h, lookupErr
		}
	}
	return Head{}, err
}

// lookupAccepted reports whether the change id has been accepted, and as which
// version.
func (p *proposal) lookupAccepted(ctx context.Context) (Head, bool, error) {
	r, contentDigest, err := p.client.change(ctx, p.id)
	if err != nil || r.Version == 0 {
		return Head{}, false, err
	}
	if contentDigest != p.contentDigest {
		return Head{}, false, fault.Newf(fault.BadRequest, "change id %q was used for another change, accepted as version %d", p.id, r.Version)
	}
	return Head{r.Version, r.Digest, p.id}, true, nil
}

// buildEdit builds the next manifest from ch.
func (p *proposal) buildEdit(ctx context.Context, ch Change) error {
	if err := p.checkConflicts(ctx, ch); err != nil {
		return err
	}
	p.next, p.docs = p.base, p.docs[:0]
	for _, e := range ch.Edits {
		expected, err := p.expectedRevision(ctx, e.Key)
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

// checkConflicts returns an error if a document has another revision than its
// edit is based on.
func (p *proposal) checkConflicts(ctx context.Context, ch Change) error {
	var conflicts []Conflict
	for _, e := range ch.Edits {
		if current, _ := p.base.Entry(e.Key); current.Revision != e.Base {
			conflicts = append(conflicts, Conflict{Key: e.Key, Base: e.Base, Current: current.Revision, CurrentPart: current.Part})
		}
	}
	if len(conflicts) == 0 {
		return nil
	}
	for i, conflict := range conflicts {
		if conflict.Base == 0 {
			continue
		}
		// The base part only helps the operator to merge. If it cannot be read,
		// the conflict is reported without it.
		if part, err := p.client.basePart(ctx, conflict.Key, conflict.Base); err == nil {
			conflicts[i].BasePart = part
		}
	}
	return fault.Newf(fault.Conflict, "%w", &ConflictError{conflicts})
}

// expectedRevision returns the revision that the row of document k must have.
// If the manifest does not list the document, its row is read, because it may
// hold the last revision of a removed document.
func (p *proposal) expectedRevision(ctx context.Context, k config.DocumentKey) (mesh.Revision, error) {
	if r, ok := p.rowRevisions[k]; ok {
		return r, nil
	}
	if e, ok := p.base.Entry(k); ok {
		return e.Revision, nil
	}
	return p.readRowRevision(ctx, k)
}

func (p *proposal) readRowRevision(ctx context.Context, k config.DocumentKey) (mesh.Revision, error) {
	i, err := p.client.getRow(ctx, p.client.documentReadOp(), docPartition, string(k))
	if err != nil {
		return 0, err
	}
	p.rowRevisions[k] = mesh.Revision(i.number(revisionName))
	return p.rowRevisions[k], nil
}
