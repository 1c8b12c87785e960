package operator

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/dynamo"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// errMissingChangeID refuses a call without a change id, which could not be
// repeated safely after a lost response.
var errMissingChangeID = fault.New(fault.BadRequest, "change: must be set to an id that is used once")

func (s *Server) validate(_ context.Context, e client.Edit) (struct{}, error) {
	c := s.cfg.Content()
	cs, err := parseEdit(e, c.Manifest)
	if err != nil {
		return struct{}{}, err
	}
	_, err = applyChanges(c, cs).compile()
	return struct{}{}, withFileNames(err, e)
}

// plan compares the edit with the content that this node serves, which may lag
// behind. accept compares with the newest content.
func (s *Server) plan(_ context.Context, e client.Edit) (client.Plan, error) {
	c := s.cfg.Content()
	cs, err := parseEdit(e, c.Manifest)
	if err != nil {
		return client.Plan{}, err
	}
	after, err := applyChanges(c, cs).compile()
	if err != nil {
		return client.Plan{}, withFileNames(err, e)
	}
	before := &config.Snapshot{}
	if c.Version > 0 {
		if before, err = c.compile(); err != nil {
			return client.Plan{}, fmt.Errorf("compile version %d: %w", c.Version, err)
		}
	}
	p := config.Plan(before, after)
	out := client.Plan{Version: c.Version, Text: p.String(), Empty: p.Empty()}
	for _, a := range p.Accounts {
		out.Accounts = append(out.Accounts, a.Account)
	}
	return out, nil
}

func (s *Server) accept(ctx context.Context, r client.AcceptRequest) (client.Accepted, error) {
	if r.Change == "" {
		return client.Accepted{}, errMissingChangeID
	}
	c, err := s.newestContent(ctx)
	if err != nil {
		return client.Accepted{}, err
	}
	cs, err := parseEdit(r.Edit, c.Manifest)
	if err != nil {
		return client.Accepted{}, err
	}
	if err := s.reuseRecordedBases(ctx, r, cs); err != nil {
		return client.Accepted{}, err
	}
	ch := dynamo.Change{ID: r.Change, Operator: r.Operator}
	var parts []config.Part
	for _, x := range cs {
		ch.Edits = append(ch.Edits, dynamo.Edit{Key: x.key, Base: x.base, Part: x.part})
		if x.part != nil {
			parts = append(parts, x.part)
		}
	}
	k := s.newChecker(ctx, c, parts)
	h, err := s.cfg.Platform.Commit(ctx, ch, k.check)
	if err != nil {
		return client.Accepted{}, s.withConflictContents(ctx, withFileNames(err, r.Edit), cs)
	}
	s.publish(ctx, h, k)
	return client.Accepted{Version: h.Version, Change: r.Change}, nil
}

// reuseRecordedBases sets the bases of a repeated accept to those of the first,
// because a change id identifies one set of edits. If the operator left the bases
// to the node, the first accept has changed the revisions that they default to.
func (s *Server) reuseRecordedBases(ctx context.Context, r client.AcceptRequest, cs []change) error {
	rec, err := s.cfg.Platform.Change(ctx, r.Change)
	if fault.Is(err, fault.NotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	revisions := map[config.DocumentKey]mesh.Revision{}
	for _, d := range rec.Documents {
		revisions[d.Key] = d.Revision
	}
	for i := range cs {
		if n, ok := revisions[cs[i].key]; ok && n > 0 {
			cs[i].base = n - 1
		}
	}
	return nil
}

func (s *Server) restore(ctx context.Context, r client.RestoreRequest) (client.Accepted, error) {
	if r.Change == "" {
		return client.Accepted{}, errMissingChangeID
	}
	c, err := s.newestContent(ctx)
	if err != nil {
		return client.Accepted{}, err
	}
	k := s.newChecker(ctx, c, nil)
	h, err := s.cfg.Platform.Restore(ctx, r.Change, r.Operator, r.Version, k.check)
	if err != nil {
		return client.Accepted{}, err
	}
	s.publish(ctx, h, k)
	return client.Accepted{Version: h.Version, Change: r.Change}, nil
}

// newestContent returns the newest accepted content. Parts that this node does
// not store are read from the platform.
func (s *Server) newestContent(ctx context.Context) (Content, error) {
	h, m, err := s.cfg.Platform.NewestManifest(ctx)
	var missing *types.ResourceNotFoundException
	if errors.As(err, &missing) {
		// Nodes create the table some time after they start. The first edit of a
		// new mesh creates it instead of waiting.
		if err := s.cfg.Platform.EnsureSchema(ctx); err != nil {
			return Content{}, err
		}
		h, m, err = s.cfg.Platform.NewestManifest(ctx)
	}
	if err != nil {
		return Content{}, err
	}
	part, err := s.partLookup(ctx, m, s.cfg.Content().Part)
	if err != nil {
		return Content{}, err
	}
	return Content{Version: h.Version, Manifest: m, Part: part}, nil
}

// partLookup returns a lookup of all parts of m. Those that cached does not
// return are read from the platform.
func (s *Server) partLookup(ctx context.Context, m config.Manifest, cached func(mesh.Digest) (config.Part, bool)) (func(mesh.Digest) (config.Part, bool), error) {
	stored, err := s.cfg.Platform.Parts(ctx, m, cached)
	if err != nil {
		return nil, err
	}
	return func(d mesh.Digest) (config.Part, bool) {
		if p, ok := stored[d]; ok {
			return p, true
		}
		return cached(d)
	}, nil
}

// checker compiles each proposed manifest and stores the last valid one.
type checker struct {
	ctx  context.Context
	s    *Server
	part func(mesh.Digest) (config.Part, bool)
	last config.Manifest
}

func (s *Server) newChecker(ctx context.Context, c Content, added []config.Part) *checker {
	addedByDigest := map[mesh.Digest]config.Part{}
	for _, p := range added {
		addedByDigest[p.Digest()] = p
	}
	return &checker{ctx: ctx, s: s, part: func(d mesh.Digest) (config.Part, bool) {
		if p, ok := addedByDigest[d]; ok {
			return p, true
		}
		return c.Part(d)
	}}
}

// check validates the whole configuration that would become version v.
func (k *checker) check(v mesh.Version, m config.Manifest) error {
	part, err := k.s.partLookup(k.ctx, m, k.part)
	if err != nil {
		return err
	}
	if _, err := config.Compile(v, m, part); err != nil {
		return fault.Newf(fault.InvalidConfig, "%w", err)
	}
	k.part, k.last = part, m
	return nil
}

// publish sends version h to other nodes. The version stays accepted if that
// fails: the readers of each availability zone find it on the platform.
func (s *Server) publish(ctx context.Context, h dynamo.Head, k *checker) {
	m := k.last
	if m.Digest() != h.Digest {
		var err error
		if m, err = s.cfg.Platform.Manifest(ctx, h.Digest); err != nil {
			s.cfg.Log.Warn("failed to publish the accepted version; readers fetch it from the platform", zap.Uint64("version", uint64(h.Version)), zap.Error(err))
			return
		}
	}
	var parts []config.Part
	for _, e := range m.Entries {
		if p, ok := k.part(e.Part); ok {
			parts = append(parts, p)
		}
	}
	if err := s.cfg.Publish(ctx, h.Version, m, parts); err != nil {
		s.cfg.Log.Warn("failed to publish the accepted version; readers fetch it from the platform", zap.Uint64("version", uint64(h.Version)), zap.Error(err))
		return
	}
	s.cfg.Log.Info("accepted version", zap.Uint64("version", uint64(h.Version)), zap.String("change", string(h.Change)), zap.Stringer("digest", h.Digest))
}

// withConflictContents adds the current content and that of the edit to a
// conflict error, so that the operator sees both.
func (s *Server) withConflictContents(ctx context.Context, err error, cs []change) error {
	var conflict *dynamo.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	var b strings.Builder
	b.WriteString(conflict.Error())
	for _, c := range conflict.Conflicts {
		fmt.Fprintf(&b, "\n--- %s, revision %d, accepted by another operator:\n%s", c.Key, c.Current, s.partYAML(ctx, c.CurrentPart))
		for _, x := range cs {
			if x.key == c.Key {
				fmt.Fprintf(&b, "--- %s, this edit:\n%s", c.Key, formatPart(x.part))
			}
		}
	}
	return fault.New(fault.Conflict, b.String())
}

func (s *Server) partYAML(ctx context.Context, d mesh.Digest) string {
	if d.IsZero() {
		return "(removed)\n"
	}
	p, ok := s.cfg.Content().Part(d)
	if !ok {
		var err error
		if p, err = s.cfg.Platform.Part(ctx, d); err != nil {
			return fmt.Sprintf("(not available: %v)\n", err)
		}
	}
	return formatPart(p)
}

func formatPart(p config.Part) string {
	if p == nil {
		return "(removed)\n"
	}
	b, err := p.YAML()
	if err != nil {
		return fmt.Sprintf("(not readable: %v)\n", err)
	}
	return string(b)
}
