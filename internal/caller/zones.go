package caller

import (
	"expvar"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/core/zone"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// zonePeriod is the time between two decisions on the share of requests that leaves the
	// zone.
	zonePeriod = 300 * time.Millisecond
	// zoneLatency is the time that another zone is assumed to add to a request, for both
	// ways.
	zoneLatency = 3 * time.Millisecond
	// demandTime is the time constant of the demand of this node.
	demandTime = 2 * time.Second
	// idleFlowTime is the time without requests after which the shares are forgotten.
	idleFlowTime = time.Minute
	// headerBytes is the size that is assumed of the header of a request and of a response
	// on the way between two nodes.
	headerBytes = 600
	// bytesWeight is the weight of a request in the mean size of its route.
	bytesWeight = 1.0 / 32
	// loggedChange is the change of a share that is logged.
	loggedChange = 0.2
)

// zoneKey identifies a decision on the share of requests that leaves the zone.
type zoneKey struct {
	service mesh.Service
	rank    mesh.Rank
}

// zones decides how many requests this node sends to other availability zones.
type zones struct {
	home     mesh.AvailabilityZone
	byteCost time.Duration // wait that 1 kB between zones is worth
	picker   *route.Picker
	log      *zap.Logger
	bytes    *expvar.Map // between zones, by route
	deciders atomic.Int64

	flows  sync.Map // zoneKey -> *flow
	routes sync.Map // route name -> *routeBytes
}

func newZones(cfg *Config, p *route.Picker) *zones {
	z := &zones{home: cfg.Zone, byteCost: cfg.ZoneByteCost, picker: p, log: cfg.Log, bytes: cfg.Metrics.CounterGroup("caller_zone_bytes")}
	z.gauge(cfg.Metrics)
	return z
}

// gauge publishes the shares by service, rank and zone.
func (z *zones) gauge(r *metric.Registry) {
	r.Gauge("caller_zone_share", func() any {
		m := make(map[string]float64)
		z.flows.Range(func(k, v any) bool {
			for _, s := range v.(*flow).current() {
				m[string(k.(zoneKey).service)+"/"+string(k.(zoneKey).rank)+"/"+string(s.Zone)] = s.Share
			}
			return true
		})
		return m
	})
}

// setMembers counts the nodes of this zone, which decide on the same reports.
func (z *zones) setMembers(ms []member.Member) {
	n := int64(0)
	for i := range ms {
		if ms[i].Zone == z.home && ms[i].Status == member.Alive {
			n++
		}
	}
	z.deciders.Store(n)
}

// flow holds the requests of one service and rank that this node places.
type flow struct {
	shares atomic.Pointer[[]zone.Share]
	input  atomic.Pointer[zone.Input] // that shares were decided from, nil before

	mu   sync.Mutex // guards the fields below
	work time.Duration
	cost float64 // nanoseconds, mean of recent requests

	// used by update only
	demand  float64 // slots
	decider zone.Decider
	updated time.Time
	usedAt  time.Time
	logged  []zone.Share
}

func (z *zones) flow(k zoneKey) *flow {
	if v, ok := z.flows.Load(k); ok {
		return v.(*flow)
	}
	v, _ := z.flows.LoadOrStore(k, new(flow))
	return v.(*flow)
}

// current returns the shares that leave the zone. A nil flow has none.
func (f *flow) current() []zone.Share {
	if f == nil {
		return nil
	}
	if p := f.shares.Load(); p != nil {
		return *p
	}
	return nil
}

// addWork records a request that is expected to hold a slot for d.
func (f *flow) addWork(d time.Duration) {
	f.mu.Lock()
	f.work += d
	f.mu.Unlock()
}

// update decides on the shares of all flows.
func (z *zones) update(now time.Time) {
	z.flows.Range(func(k, v any) bool {
		f := v.(*flow)
		elapsed := now.Sub(f.updated)
		if f.updated.IsZero() {
			f.updated, f.usedAt, elapsed = now, now, zonePeriod
		}
		used, cost := f.addDemand(elapsed)
		if used {
			f.usedAt = now
		} else if now.Sub(f.usedAt) > idleFlowTime {
			z.flows.Delete(k)
			return true
		}
		f.updated = now
		in := zone.Input{
			Home: z.home, Loads: z.picker.ZoneLoads(k.(zoneKey).service, now), Latency: zoneLatency,
			Cost: cost, Deciders: int(z.deciders.Load()), Demand: f.demand, Elapsed: elapsed,
		}
		shares := f.decider.Update(in)
		f.shares.Store(&shares)
		f.input.Store(&in)
		z.logChange(k.(zoneKey), f, shares)
		return true
	})
}

// addDemand adds the work of the time since the last decision to the demand. It reports
// whether there was any, and the mean cost of a request in another zone.
func (f *flow) addDemand(elapsed time.Duration) (used bool, cost time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := 1 - math.Exp(-elapsed.Seconds()/demandTime.Seconds())
	f.demand += w * (f.work.Seconds()/elapsed.Seconds() - f.demand)
	used = f.work > 0
	f.work = 0
	return used, time.Duration(f.cost)
}

// logChange logs shares if they differ much from those logged last.
func (z *zones) logChange(k zoneKey, f *flow, shares []zone.Share) {
	was, is := zone.Abroad(f.logged), zone.Abroad(shares)
	if math.Abs(is-was) < loggedChange && (is > 0) == (was > 0) {
		return
	}
	f.logged = shares
	fs := []zap.Field{zap.String("service", string(k.service)), zap.String("rank", string(k.rank)),
		zap.Float64("share", is), zap.Float64("before", was), zap.Float64("demand", f.demand)}
	for _, s := range shares {
		fs = append(fs, zap.Float64("to_"+string(s.Zone), s.Share))
	}
	z.log.Info("share of requests to other zones changed", fs...)
}

// routeBytes is the mean size of the requests of a route with their responses.
type routeBytes struct {
	mu   sync.Mutex
	mean float64 // 0 if unknown
}

func (z *zones) route(name string) *routeBytes {
	if v, ok := z.routes.Load(name); ok {
		return v.(*routeBytes)
	}
	v, _ := z.routes.LoadOrStore(name, new(routeBytes))
	return v.(*routeBytes)
}

// cost returns the wait that the bytes of a request of the route are worth.
func (z *zones) cost(name string) time.Duration {
	mean := 0.0
	if v, ok := z.routes.Load(name); ok {
		b := v.(*routeBytes)
		b.mu.Lock()
		mean = b.mean
		b.mu.Unlock()
	}
	return time.Duration(max(mean, 2*headerBytes) / 1000 * float64(z.byteCost))
}

// recordBytes records the size of q and of its response, whose body is not counted if its
// length is unknown.
func (z *zones) recordBytes(q *call, a *attempt, resp *http.Response) {
	size := 2*headerBytes + max(q.in.ContentLength, int64(len(q.body.buf))) + max(resp.ContentLength, 0)
	if a.endpoint.Zone != z.home {
		z.bytes.Add(q.route.Name, size)
	}
	if refusalOf(resp) == nil {
		b := z.route(q.route.Name)
		b.mu.Lock()
		if b.mean == 0 {
			b.mean = float64(size)
		}
		b.mean += bytesWeight * (float64(size) - b.mean)
		b.mu.Unlock()
	}
	f := z.flow(zoneKey{q.service, q.baseRank()})
	cost := float64(z.cost(q.route.Name))
	f.mu.Lock()
	if f.cost == 0 {
		f.cost = cost
	}
	f.cost += bytesWeight * (cost - f.cost)
	f.mu.Unlock()
}
