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
		Explain:  n.caller.Explain,
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
