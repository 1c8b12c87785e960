package route

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxReports is the number of endpoints in the reports that one message carries.
	maxReports = 12
	// maxReportAge is the age from which a report is not passed on.
	maxReportAge = 1500 * time.Millisecond
	// recentReports is the number of reported endpoints that are remembered in order.
	recentReports = 32
	// reportUnit is the unit of the ages in reports.
	reportUnit = 10 * time.Millisecond
	// reportScale is the number of units of a load per slot, or of a millisecond.
	reportScale = 100
)

// hashID returns the number by which reports name the node id.
func hashID(id mesh.NodeID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// reportIndex finds endpoints by the hash of their node.
type reportIndex struct {
	services *map[mesh.Service]*service // that the index was built from
	byHash   map[uint32]*Endpoint
}

// endpointsByHash returns the endpoints by the hash of their node. The index is built when it
// is used for the first time after an update, since most nodes need none.
func (p *Picker) endpointsByHash() map[uint32]*Endpoint {
	services := p.services.Load()
	if x := p.index.Load(); x != nil && x.services == services {
		return x.byHash
	}
	byHash := make(map[uint32]*Endpoint)
	for _, s := range *services {
		s.mu.Lock()
		for id, e := range s.all {
			byHash[hashID(id)] = e
		}
		s.mu.Unlock()
	}
	p.index.Store(&reportIndex{services, byHash})
	return byHash
}

// recentList remembers the endpoints that were reported last, newest first.
type recentList struct {
	endpoints [recentReports]*Endpoint
	next      int
}

func (l *recentList) add(e *Endpoint) {
	l.endpoints[l.next] = e
	l.next = (l.next + 1) % recentReports
}

// newest returns up to maxReports different endpoints, newest first.
func (l *recentList) newest(dst []*Endpoint) []*Endpoint {
	for i := 1; i <= recentReports && len(dst) < maxReports; i++ {
		e := l.endpoints[(l.next+recentReports-i)%recentReports]
		if e == nil {
			break
		}
		if !containsEndpoint(dst, e) {
			dst = append(dst, e)
		}
	}
	return dst
}

func containsEndpoint(es []*Endpoint, e *Endpoint) bool {
	for _, x := range es {
		if x == e {
			return true
		}
	}
	return false
}

// remember records that a report about e has arrived.
func (p *Picker) remember(e *Endpoint) {
	p.recentMu.Lock()
	p.recent.add(e)
	p.recentMu.Unlock()
}

// AppendReports appends what is known of the endpoints that were reported last, for other
// nodes: a list of ID=LOAD/UNSERVED.AGE.WORK.AGE.ROUTE, where ID is a hash of the node, LOAD
// the requests per slot, UNSERVED the share of requests that the backend server refuses or
// fails, which is missing if it is small, and WORK the time of a request of a route in milliseconds, both in
// hundredths, AGE the age of each in units of 10 ms, and ROUTE a hash of the route. WORK, its
// age and its route are missing if the time was not measured lately.
func (p *Picker) AppendReports(dst []byte, now time.Time) []byte {
	var buf [maxReports]*Endpoint
	p.recentMu.Lock()
	es := p.recent.newest(buf[:0])
	p.recentMu.Unlock()
	for _, e := range es {
		dst = e.appendReport(dst, now)
	}
	return dst
}

func (e *Endpoint) appendReport(dst []byte, now time.Time) []byte {
	e.svc.mu.Lock()
	at, load, unserved := e.load.reportedAt, e.load.utilization, e.unservedShare(now)
	work, workAt, r := 0.0, e.finish.slowness.measuredAt, e.finish.slowness.route
	if base := e.svc.times.byHash[r]; base != nil {
		work = e.finish.slowness.at(now) * base.mean
	}
	e.svc.mu.Unlock()
	age := now.Sub(at)
	if at.IsZero() || age > maxReportAge || age < 0 {
		return dst
	}
	if len(dst) > 0 {
		dst = append(dst, ',')
	}
	dst = strconv.AppendUint(dst, uint64(hashID(e.ID)), 36)
	dst = append(dst, '=')
	dst = strconv.AppendInt(dst, int64(load*reportScale), 10)
	if unserved >= minUnserved {
		dst = append(dst, '/')
		dst = strconv.AppendInt(dst, int64(unserved*reportScale), 10)
	}
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, int64(age/reportUnit), 10)
	if age = now.Sub(workAt); age < 0 || age > maxReportAge || work == 0 {
		return dst
	}
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, int64(work/float64(time.Millisecond)*reportScale), 10)
	dst = append(dst, '.')
	dst = strconv.AppendInt(dst, int64(age/reportUnit), 10)
	dst = append(dst, '.')
	return strconv.AppendUint(dst, uint64(r), 36)
}

// ReadReports records the reports of AppendReports of another node. Invalid items, and
// those about endpoints that this node does not know, are ignored: load is a hint.
func (p *Picker) ReadReports(header string, now time.Time) {
	byHash := p.endpointsByHash()
	for range maxReports {
		if header == "" {
			return
		}
		var item string
		item, header, _ = strings.Cut(header, ",")
		name, values, _ := strings.Cut(item, "=")
		id, err := strconv.ParseUint(name, 36, 32)
		if err != nil {
			continue
		}
		e := byHash[uint32(id)]
		if e == nil {
			continue
		}
		values, unserved := cutUnserved(values)
		load, at, values, ok := cutReport(values, now)
		if ok && e.takeLoad(load, unserved, at) {
			p.remember(e)
		}
		work, at, values, ok := cutReport(values, now)
		if !ok || work <= 0 {
			continue
		}
		if r, err := strconv.ParseUint(values, 36, 16); err == nil {
			e.takeWork(work*float64(time.Millisecond), routeHash(r), at)
		}
	}
}

// cutUnserved returns s without the share of unserved requests, and that share.
func cutUnserved(s string) (rest string, share float64) {
	load, rest, _ := strings.Cut(s, ".")
	load, unserved, ok := strings.Cut(load, "/")
	if !ok {
		return s, 0
	}
	n, err := strconv.ParseUint(unserved, 10, 24)
	if err != nil {
		return s, 0 // load and share are both invalid
	}
	return load + "." + rest, min(float64(n)/reportScale, 1)
}

// cutReport returns the first value of s, when it was reported, and the rest of s.
func cutReport(s string, now time.Time) (value float64, at time.Time, rest string, ok bool) {
	if s == "" {
		return 0, now, "", false
	}
	v, s, _ := strings.Cut(s, ".")
	a, rest, _ := strings.Cut(s, ".")
	n, errValue := strconv.ParseUint(v, 10, 24)
	age, errAge := strconv.ParseUint(a, 10, 20)
	if errValue != nil || errAge != nil {
		return 0, now, rest, false
	}
	return float64(n) / reportScale, now.Add(-time.Duration(age) * reportUnit), rest, true
}

// isNewer reports whether a report of the given time is newer than that of old. An age is
// rounded down by each node that passes a report on, so that an old report may come back
// looking a little newer.
func isNewer(at, old time.Time) bool { return at.After(old.Add(reportUnit)) }

// takeLoad records the load of e and its share of unserved requests at the given time, if this
// is newer than what is known.
func (e *Endpoint) takeLoad(load, unserved float64, at time.Time) bool {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isNewer(at, e.load.reportedAt) {
		return false
	}
	e.load.utilization, e.load.ownInflight, e.load.reportedAt = load, e.inflight, at
	e.finish.unserved, e.finish.unservedAt = unserved, at
	s.addZoneLoad(e.Zone, load)
	return true
}

// takeWork records the time of requests of a route at e, in nanoseconds, if this is newer than
// what is known. It is absolute, since each node has its own idea of what is usual.
func (e *Endpoint) takeWork(work float64, r routeHash, at time.Time) {
	e.svc.mu.Lock()
	defer e.svc.mu.Unlock()
	if base := e.svc.times.byHash[r]; base != nil && isNewer(at, e.finish.slowness.measuredAt) {
		e.finish.slowness.learn(work/base.mean, r, at)
		base.report(work, at)
	}
}

// ReportOwn records the load per slot of the endpoint beside this node, and the share of
// requests that its backend server refuses or fails.
func (p *Picker) ReportOwn(id mesh.NodeID, load, unserved float64, now time.Time) {
	e := p.endpointsByHash()[hashID(id)]
	if e == nil || e.ID != id {
		return
	}
	e.svc.mu.Lock()
	e.load.utilization, e.load.ownInflight, e.load.reportedAt = load, e.inflight, now
	e.finish.unserved, e.finish.unservedAt = unserved, now
	e.svc.mu.Unlock()
	p.remember(e)
}

// Own returns the endpoint beside the node id, or nil.
func (p *Picker) Own(id mesh.NodeID) *Endpoint {
	if e := p.endpointsByHash()[hashID(id)]; e != nil && e.ID == id {
		return e
	}
	return nil
}
