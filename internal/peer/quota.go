package peer

import (
	"context"
	"fmt"
	"math"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	quotaTimeout = 500 * time.Millisecond
	// maxDemands limits the demands of one request.
	maxDemands = 256
	// maxQuotaNameBytes limits the length of a name in a demand.
	maxQuotaNameBytes = 128
)

// RequestQuota requests grants for ds from the owners of the limits and passes each
// result to granted or failed. It returns when all owners have answered or
// failed.
func (p *Peer) RequestQuota(ctx context.Context, ds []quota.Demand, granted func(quota.Grant), failed func(quota.Key)) {
	byOwner := make(map[mesh.NodeID][]quota.Demand)
	owners := make(map[mesh.NodeID]member.Member)
	candidates := version.OwnerCandidates(p.members())
	for _, d := range ds {
		o := ownerOf(d.Key, candidates)
		owners[o.ID] = o
		byOwner[o.ID] = append(byOwner[o.ID], d)
	}
	done := make(chan struct{})
	for id, part := range byOwner {
		go func() {
			p.requestFromOwner(ctx, owners[id], part, granted, failed)
			done <- struct{}{}
		}()
	}
	for range byOwner {
		<-done
	}
}

// ownerOf returns the member that owns the limit of k.
func ownerOf(k quota.Key, candidates []member.Member) member.Member {
	return version.Owner(xxhash.Sum64String(string(k.Account)+"/"+k.Route), candidates)
}

func (p *Peer) requestFromOwner(ctx context.Context, o member.Member, ds []quota.Demand, granted func(quota.Grant), failed func(quota.Key)) {
	if o.ID == p.cfg.Self.ID || o.ID == "" {
		now := time.Now()
		for _, d := range ds {
			granted(p.ledger.Allocate(now, p.cfg.Self.ID, d))
		}
		return
	}
	for len(ds) > 0 {
		part := ds[:min(len(ds), maxDemands)]
		ds = ds[len(part):]
		a, err := p.requestShares(ctx, o, part)
		for i, d := range part {
			if err != nil {
				failed(d.Key)
			} else {
				granted(quota.Grant{Key: d.Key, Share: a.GetShares()[i], Steady: a.GetSteady()[i]})
			}
		}
	}
}

func (p *Peer) requestShares(ctx context.Context, o member.Member, ds []quota.Demand) (*peerpb.QuotaResponse, error) {
	q := &peerpb.QuotaRequest{From: string(p.cfg.Self.ID)}
	for _, d := range ds {
		q.Demands = append(q.Demands, &peerpb.QuotaDemand{
			Account: string(d.Key.Account), Route: d.Key.Route, Rate: d.Rate, Wanted: d.Wanted,
		})
	}
	a, err := call(ctx, p, "quota", quotaTimeout, p.clientFor(o.Addr).Quota, q)
	if err != nil {
		return nil, err
	}
	if len(a.GetShares()) != len(ds) || len(a.GetSteady()) != len(ds) {
		return nil, fmt.Errorf("quota: response has %d shares for %d demands", len(a.GetShares()), len(ds))
	}
	return a, nil
}

// Quota implements peerpbconnect.PeerServiceHandler.
func (s rpcService) Quota(_ context.Context, r *connect.Request[peerpb.QuotaRequest]) (*connect.Response[peerpb.QuotaResponse], error) {
	s.p.stats.received.Add("quota", 1)
	if n := len(r.Msg.GetDemands()); n > maxDemands {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%d demands, want at most %d", n, maxDemands))
	}
	now := time.Now()
	a := &peerpb.QuotaResponse{}
	for _, d := range r.Msg.GetDemands() {
		if err := validateDemand(d); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		g := s.p.ledger.Allocate(now, mesh.NodeID(r.Msg.GetFrom()), quota.Demand{
			Key:    quota.Key{Account: mesh.ClientAccount(d.GetAccount()), Route: d.GetRoute()},
			Rate:   d.GetRate(),
			Wanted: d.GetWanted(),
		})
		a.Shares = append(a.Shares, g.Share)
		a.Steady = append(a.Steady, g.Steady)
	}
	return connect.NewResponse(a), nil
}

func validateDemand(d *peerpb.QuotaDemand) error {
	for _, f := range []float64{d.GetRate(), d.GetWanted()} {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return fmt.Errorf("demand of %v requests per second", f)
		}
	}
	if len(d.GetAccount()) > maxQuotaNameBytes || len(d.GetRoute()) > maxQuotaNameBytes {
		return fmt.Errorf("name in a demand is longer than %d bytes", maxQuotaNameBytes)
	}
	return nil
}

// sweepInterval is the time between two sweeps of the ledger.
const sweepInterval = time.Second

// sweepLedger revokes the grants of members that are dead or have left, and
// removes limits that nobody holds a share of.
func (p *Peer) sweepLedger(ctx context.Context) error {
	for wait.For(ctx, sweepInterval) == nil {
		if p.ledger.Sweep(time.Now()) == 0 {
			continue
		}
		for _, m := range p.members() {
			if m.Status >= member.Dead {
				p.ledger.RevokeNode(m.ID)
			}
		}
	}
	return nil
}
