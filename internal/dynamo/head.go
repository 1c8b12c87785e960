package dynamo

import (
	"context"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Head is the newest accepted version. Its zero value means that nothing has
// been accepted yet.
type Head struct {
	Version mesh.Version  `json:"version"`
	Digest  mesh.Digest   `json:"digest"` // digest of the manifest
	Change  mesh.ChangeID `json:"change"`
}

// Head reads the newest accepted version.
func (c *Client) Head(ctx context.Context) (Head, error) {
	return c.head(ctx, c.readOp("get_head"))
}

// PollHead is Head for the reader role, which has its own budget.
func (c *Client) PollHead(ctx context.Context) (Head, error) {
	return c.head(ctx, operation{name: "poll_head", budget: c.budgets.polls, refusalReason: "poll_budget", idempotent: true})
}

func (c *Client) head(ctx context.Context, op operation) (Head, error) {
	i, err := c.getRow(ctx, op, headPartition, headPartition)
	if err != nil || i == nil {
		return Head{}, err
	}
	h := Head{mesh.Version(i.number(versionName)), i.digest(digestName), mesh.ChangeID(i.text(changeName))}
	if h.Version == 0 || h.Digest.IsZero() {
		return Head{}, fault.Newf(fault.Internal, "head: %w", errUnreadableRow)
	}
	return h, nil
}

// NewestManifest returns the newest accepted version and its manifest.
func (c *Client) NewestManifest(ctx context.Context) (Head, config.Manifest, error) {
	h, err := c.Head(ctx)
	if err != nil {
		return Head{}, config.Manifest{}, err
	}
	m, err := c.manifestOf(ctx, h)
	return h, m, err
}

func (c *Client) manifestOf(ctx context.Context, h Head) (config.Manifest, error) {
	if h.Version == 0 {
		return config.Manifest{}, nil
	}
	return c.Manifest(ctx, h.Digest)
}
