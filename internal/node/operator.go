package node

import (
	"context"

	"lavenderrill.dev/lavenderrill/internal/operator"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

func (n *Node) newOperator() *operator.Server {
	return operator.New(operator.Config{
		ID:       n.id,
		Token:    n.nodeSettings.Token,
		Platform: n.platform,
		Content:  n.content,
		Publish:  n.peer.Publish,
		Survey:   n.survey,
		Members:  n.peer.Members,
		Explain:  n.explain,
		Ready:    n.Ready,
		Metrics:  n.metrics,
		Log:      n.log,
	})
}

func (n *Node) content() operator.Content {
	v, m, parts := n.peer.Content()
	return operator.Content{Version: v, Manifest: m, Part: func(d mesh.Digest) (config.Part, bool) {
		p, ok := parts[d]
		return p, ok
	}}
}

func (n *Node) survey(ctx context.Context, v mesh.Version) ([]client.ZoneStatus, error) {
	s, err := n.peer.Survey(ctx, v)
	if err != nil {
		return nil, err
	}
	out := make([]client.ZoneStatus, 0, len(s.Zones))
	for _, z := range s.Zones {
		out = append(out, client.ZoneStatus{Zone: z.Zone, Members: z.Members, Current: z.Current, Lagging: z.Lagging})
	}
	return out, nil
}

func (n *Node) explain(r client.ExplainRequest) client.Explanation {
	var x client.Explanation
	if s := n.peer.Snapshot(); s != nil {
		x.Version = s.Version
	}
	t, endpoints, refusal := n.caller.Explain(r.Method, r.Host, r.Path)
	if refusal != nil {
		x.Refusal, x.Reason = string(refusal.Kind), refusal.Reason
	}
	if t == nil {
		return x
	}
	x.Route, x.Account, x.Service, x.Rank, x.Deadline = t.Name, t.Account, t.Service, t.Rank, t.Deadline.String()
	for _, e := range endpoints {
		x.Endpoints = append(x.Endpoints, client.Endpoint{
			Node: e.ID, Zone: e.Zone, Service: t.Service, State: e.State, Status: e.Status, Use: e.Eligibility,
		})
	}
	return x
}
