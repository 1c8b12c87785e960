package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// rpcService serves the requests of other nodes.
type rpcService struct{ p *Peer }

// maxPartBytes limits the total size of the parts in a Fetch response. Clients
// request the missing parts again.
const maxPartBytes = 4 << 20

// Push implements peerpbconnect.PeerServiceHandler.
func (s rpcService) Push(_ context.Context, r *connect.Request[peerpb.PushRequest]) (*connect.Response[peerpb.PushResponse], error) {
	p := s.p
	p.stats.received.Add("push", 1)
	d, err := fromDelta(r.Msg.GetDelta())
	if err != nil {
		p.stats.rejected.Add("malformed", 1)
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	p.handlePush(pushedDelta{
		delta:     d,
		origin:    mesh.NodeID(r.Msg.GetOrigin()),
		from:      mesh.NodeID(r.Msg.GetFrom()),
		committed: fromMillis(r.Msg.GetCommitted()),
	})
	return connect.NewResponse(&peerpb.PushResponse{Version: uint64(p.Version())}), nil
}

// Fetch implements peerpbconnect.PeerServiceHandler.
func (s rpcService) Fetch(_ context.Context, r *connect.Request[peerpb.FetchRequest]) (*connect.Response[peerpb.FetchResponse], error) {
	p := s.p
	p.stats.received.Add("fetch", 1)
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	a := &peerpb.FetchResponse{Version: uint64(p.state.Version()), Committed: toMillis(p.state.Committed())}
	if len(r.Msg.GetWant()) > 0 {
		a.Parts = p.heldParts(r.Msg.GetWant())
		return connect.NewResponse(a), nil
	}
	have := mesh.Version(r.Msg.GetHave())
	if have >= p.state.Version() {
		return connect.NewResponse(a), nil
	}
	if d, ok := p.state.DeltaFrom(have); ok {
		a.Delta = toDelta(d)
		return connect.NewResponse(a), nil
	}
	digest := p.state.Digest()
	a.Digest = digest[:]
	a.Manifest = toEntries(p.state.Manifest().Entries)
	return connect.NewResponse(a), nil
}

// heldParts returns the wanted parts that this node holds, up to maxPartBytes.
func (p *Peer) heldParts(want [][]byte) [][]byte {
	var out []config.Part
	size := 0
	for _, b := range want {
		d, err := fromDigest(b)
		if err != nil {
			continue
		}
		part, ok := p.state.Part(d)
		if !ok {
			continue
		}
		if size += len(part); size > maxPartBytes && len(out) > 0 {
			break
		}
		out = append(out, part)
	}
	return toParts(out)
}

// Survey implements peerpbconnect.PeerServiceHandler.
func (s rpcService) Survey(ctx context.Context, r *connect.Request[peerpb.SurveyRequest]) (*connect.Response[peerpb.SurveyResponse], error) {
	s.p.stats.received.Add("survey", 1)
	v := mesh.Version(r.Msg.GetVersion())
	counts := s.p.surveySelf(v)
	counts.merge(s.p.surveyMembers(ctx, v, r.Msg.GetMembers()))
	return connect.NewResponse(&peerpb.SurveyResponse{Version: uint64(s.p.Version()), Zones: counts.encode()}), nil
}

// Sync implements peerpbconnect.PeerServiceHandler.
func (s rpcService) Sync(_ context.Context, r *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncResponse], error) {
	p := s.p
	p.stats.received.Add("sync", 1)
	select {
	case p.syncSlots <- struct{}{}:
		defer func() { <-p.syncSlots }()
	default:
		p.stats.refused.Add("sync_overloaded", 1)
		return nil, connect.NewError(connect.CodeResourceExhausted, errTooManySyncs)
	}
	from, err := fromMember(r.Msg.GetFrom())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	us, err := fromMembers(r.Msg.GetMembers())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	now := time.Now()
	a := &peerpb.SyncResponse{From: string(p.cfg.Self.ID), Version: uint64(p.Version()), Ready: p.Ready()}
	p.mu.Lock()
	predecessor, replaced := p.list.PredecessorOf(from.Member)
	p.list.Merge(now, append(us, from))
	if ds := r.Msg.GetDigests(); len(ds) > 0 {
		bs := p.list.DifferingBuckets(ds)
		for _, b := range bs {
			a.Buckets = append(a.Buckets, uint32(b))
		}
		own := p.list.BucketUpdates(now, bs)
		if replaced && from.Endpoint == member.NoEndpoint {
			own = append(own, predecessor)
		}
		a.Members = toMembers(own)
	}
	p.mu.Unlock()
	p.wakeListTasks()
	p.observeVersion(now, from.Member, mesh.Version(r.Msg.GetVersion()))
	return connect.NewResponse(a), nil
}

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
