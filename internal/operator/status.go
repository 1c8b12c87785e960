package operator

import (
	"context"
	"slices"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// defaultHistoryEntries is the number of history entries returned if the call
// sets no limit.
const defaultHistoryEntries = 20

func (s *Server) status(ctx context.Context, target uint64) (client.Status, error) {
	c := s.cfg.Content()
	out := client.Status{
		Node:    s.cfg.ID,
		Ready:   s.cfg.Ready(),
		Version: c.Version,
		Digest:  c.Manifest.Digest(),
		Target:  mesh.Version(target),
	}
	if target == 0 {
		out.Target = c.Version
	}
	zones, err := s.cfg.Survey(ctx, out.Target)
	if err != nil {
		return client.Status{}, fault.Newf(fault.DeadlineExceeded, "survey nodes: %w", err)
	}
	out.Zones = zones
	out.Converged = converged(zones)
	out.Endpoints = endpoints(s.cfg.Members())
	return out, nil
}

// maxRegisteredNodes bounds the registered nodes that are compared with the
// members.
const maxRegisteredNodes = 10_000

// uncounted returns the registered nodes that are not alive or suspect members,
// sorted. It is separate from status, because callers poll the status and each
// read of the platform uses up budget that the node needs itself.
func (s *Server) uncounted(ctx context.Context, _ struct{}) ([]mesh.NodeID, error) {
	rows, err := s.cfg.Platform.Nodes(ctx, maxRegisteredNodes)
	if err != nil {
		return nil, err
	}
	counted := make(map[mesh.NodeID]bool)
	for _, m := range s.cfg.Members() {
		counted[m.ID] = m.Status < member.Dead
	}
	out := make([]mesh.NodeID, 0)
	for _, r := range rows {
		if !counted[r.ID] {
			out = append(out, r.ID)
		}
	}
	slices.Sort(out)
	return out, nil
}

func converged(zones []client.ZoneStatus) bool {
	for _, z := range zones {
		if z.Current < z.Members {
			return false
		}
	}
	return len(zones) > 0
}

func endpoints(ms []member.Member) []client.Endpoint {
	var out []client.Endpoint
	for _, m := range ms {
		if m.Service == "" {
			continue
		}
		out = append(out, client.Endpoint{
			Node: m.ID, Zone: m.Zone, Service: m.Service, State: m.Endpoint.String(), Status: m.Status.String(),
		})
	}
	return out
}

func (s *Server) history(ctx context.Context, limit uint64) ([]client.HistoryEntry, error) {
	if limit == 0 {
		limit = defaultHistoryEntries
	}
	rs, err := s.cfg.Platform.History(ctx, int(min(limit, maxHistoryEntries)), 0)
	if err != nil {
		return nil, err
	}
	out := make([]client.HistoryEntry, 0, len(rs))
	for _, r := range rs {
		e := client.HistoryEntry{Version: r.Version, Change: r.Change, Operator: r.Operator, Time: r.Time, Restored: r.Restored}
		for _, d := range r.Documents {
			e.Documents = append(e.Documents, d.Key)
		}
		out = append(out, e)
	}
	return out, nil
}

// documents returns document k with its content, or lists all documents without
// content if k is empty.
func (s *Server) documents(ctx context.Context, k config.DocumentKey) ([]client.Document, error) {
	c := s.cfg.Content()
	if k == "" {
		out := make([]client.Document, 0, len(c.Manifest.Entries))
		for _, e := range c.Manifest.Entries {
			out = append(out, client.Document{Key: e.Key, Revision: e.Revision})
		}
		return out, nil
	}
	e, ok := c.Manifest.Entry(k)
	if !ok {
		return nil, fault.Newf(fault.NotFound, "document %s does not exist in version %d", k, c.Version)
	}
	return []client.Document{{Key: e.Key, Revision: e.Revision, Content: s.partYAML(ctx, e.Part)}}, nil
}
