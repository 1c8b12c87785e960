package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxResponseBytes limits the response body that a call reads.
const maxResponseBytes = 64 << 20

// Config holds the settings of a Client.
type Config struct {
	Node    string        // IP address and port of the operator listener of a node
	Token   string        // operator token; "" for the metrics listener of a hosted node
	Timeout time.Duration // timeout of one call; 30 s if zero
}

// Client calls the operator API of one node. It is safe for concurrent use.
type Client struct {
	node    string
	baseURL string
	token   string
	http    *http.Client
}

// Error is an error response of the operator API.
type Error struct {
	Kind   string `json:"kind"`
	Reason string `json:"reason"`
	Run    string `json:"run"` // whether the call took effect: "not-run" or "unknown"
	Status int    `json:"-"`   // HTTP status code
}

// Error implements error.
func (e *Error) Error() string { return e.Kind + ": " + e.Reason }

// New returns a client for the node at c.Node.
func New(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = 30 * time.Second
	}
	return &Client{
		node:    c.Node,
		baseURL: "http://" + c.Node,
		token:   c.Token,
		http:    &http.Client{Timeout: c.Timeout, Transport: &http.Transport{}},
	}
}

// Validate checks e against the whole configuration without accepting it.
func (c *Client) Validate(ctx context.Context, e Edit) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, "/v1/validate", e)
	return err
}

// Plan returns what e would change.
func (c *Client) Plan(ctx context.Context, e Edit) (Plan, error) {
	return call[Plan](ctx, c, http.MethodPost, "/v1/plan", e)
}

// Accept makes an edit the next version. If the response is lost, the same
// request can be sent again.
func (c *Client) Accept(ctx context.Context, r AcceptRequest) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/accept", r)
}

// Restore makes the content of an old version the next version.
func (c *Client) Restore(ctx context.Context, r RestoreRequest) (Accepted, error) {
	return call[Accepted](ctx, c, http.MethodPost, "/v1/restore", r)
}

// Status returns the state of the mesh. Zones are compared with version v, or
// with the version of the node that is asked if v is zero.
func (c *Client) Status(ctx context.Context, v mesh.Version) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status?version="+strconv.FormatUint(uint64(v), 10), nil)
}

// Uncounted returns the nodes that are registered with the platform but are not live
// members in the view of the node that is asked: they are starting, or stopped without
// deregistering. Each call reads the platform.
func (c *Client) Uncounted(ctx context.Context) ([]mesh.NodeID, error) {
	return call[[]mesh.NodeID](ctx, c, http.MethodGet, "/v1/uncounted", nil)
}

// History returns the latest accepted versions, newest first, at most limit.
func (c *Client) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	return call[[]HistoryEntry](ctx, c, http.MethodGet, "/v1/history?limit="+strconv.Itoa(limit), nil)
}

// Documents lists the documents of the configuration without their content.
func (c *Client) Documents(ctx context.Context) ([]Document, error) {
	return call[[]Document](ctx, c, http.MethodGet, "/v1/documents", nil)
}

// Document returns the document that k addresses.
func (c *Client) Document(ctx context.Context, k config.DocumentKey) (Document, error) {
	ds, err := call[[]Document](ctx, c, http.MethodGet, "/v1/documents?key="+url.QueryEscape(string(k)), nil)
	if err != nil {
		return Document{}, err
	}
	if len(ds) != 1 {
		return Document{}, fmt.Errorf("document %q: node returned %d documents", k, len(ds))
	}
	return ds[0], nil
}

// Explain returns how a caller's request would be routed. The metrics listener of a hosted
// node serves this call, too.
func (c *Client) Explain(ctx context.Context, r ExplainRequest) (Explanation, error) {
	return call[Explanation](ctx, c, http.MethodPost, ExplainPath, r)
}

func call[Resp any](ctx context.Context, c *Client, method, path string, body any) (Resp, error) {
	var result Resp
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return result, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return result, fmt.Errorf("node %s cannot be reached: %w", c.node, op.Err)
		}
		return result, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return result, fmt.Errorf("%s %s: read response: %w", method, path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return result, refusal(resp.StatusCode, b)
	}
	if err := json.Unmarshal(b, &result); err != nil {
		return result, fmt.Errorf("%s %s: decode response: %w", method, path, err)
	}
	return result, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("%s %s: encode request: %w", method, path, err)
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, r)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func refusal(status int, body []byte) error {
	e := &Error{Status: status}
	if err := json.Unmarshal(body, e); err != nil || e.Kind == "" {
		return &Error{Kind: "internal", Reason: fmt.Sprintf("status %d without an error body", status), Run: "unknown", Status: status}
	}
	return e
}
