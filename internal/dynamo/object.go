package dynamo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// errDigestMismatch is wrapped by errors about an object whose content does not
// match the digest in its name.
var errDigestMismatch = errors.New("content does not match its digest")

const (
	partPrefix       = "part/"
	manifestPrefix   = "manifest/"
	maxParallelReads = 16
)

// Manifest returns the manifest with the given digest.
func (c *Client) Manifest(ctx context.Context, d mesh.Digest) (config.Manifest, error) {
	if m, ok := c.manifests.get(d); ok {
		return m, nil
	}
	b, err := c.getObject(ctx, manifestPrefix, d, config.MaxManifestBytes)
	if err != nil {
		return config.Manifest{}, err
	}
	m, err := config.DecodeManifest(b)
	if err != nil {
		return config.Manifest{}, fault.Newf(fault.Internal, "manifest %s: %w", d, err)
	}
	c.manifests.put(d, m)
	return m, nil
}

// Part returns the part with the given digest.
func (c *Client) Part(ctx context.Context, d mesh.Digest) (config.Part, error) {
	return c.getObject(ctx, partPrefix, d, config.MaxPartBytes)
}

// Parts reads the parts that m refers to, except those that cached returns. If
// cached is nil, it reads all of them.
func (c *Client) Parts(ctx context.Context, m config.Manifest, cached func(mesh.Digest) (config.Part, bool)) (map[mesh.Digest]config.Part, error) {
	read := make([]config.Part, len(m.Entries))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelReads)
	for i, e := range m.Entries {
		if cached != nil {
			if _, ok := cached(e.Part); ok {
				continue
			}
		}
		g.Go(func() (err error) {
			read[i], err = c.Part(ctx, e.Part)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	parts := make(map[mesh.Digest]config.Part)
	for i, p := range read {
		if p != nil {
			parts[m.Entries[i].Part] = p
		}
	}
	return parts, nil
}

func (c *Client) getObject(ctx context.Context, prefix string, d mesh.Digest, maxBytes int64) ([]byte, error) {
	op := operation{name: "get_" + prefix[:len(prefix)-1], budget: c.budgets.objectReads, refusalReason: "object_read_budget", idempotent: true}
	var b []byte
	err := c.do(ctx, op, func(ctx context.Context) error {
		out, err := c.objects.GetObject(ctx, &s3.GetObjectInput{
			Bucket: aws.String(c.names.bucket), Key: aws.String(prefix + d.String()),
		})
		if err != nil {
			return err
		}
		defer out.Body.Close()
		if b, err = io.ReadAll(io.LimitReader(out.Body, maxBytes+1)); err != nil {
			return err
		}
		if mesh.DigestOf(b) != d {
			return fmt.Errorf("%s%s: %w", prefix, d, errDigestMismatch)
		}
		return nil
	})
	if classify(err) == notFound {
		return nil, fault.Newf(fault.NotFound, "object %s%s does not exist", prefix, d)
	}
	if err != nil {
		return nil, err
	}
	return b, nil
}

// putObject stores b under its digest. An object has no effect until a row
// refers to it, so a lost response counts as a failure without effect.
func (c *Client) putObject(ctx context.Context, prefix string, b []byte) error {
	op := operation{name: "put_" + prefix[:len(prefix)-1], budget: c.budgets.objectWrites, refusalReason: "object_write_budget", idempotent: true}
	return c.do(ctx, op, func(ctx context.Context) error {
		_, err := c.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(c.names.bucket), Key: aws.String(prefix + mesh.DigestOf(b).String()), Body: bytes.NewReader(b),
		})
		return err
	})
}
