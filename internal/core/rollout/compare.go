package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

const (
	// A version fails if its share of bad responses exceeds that of the old version by
	// minFailureDifference. Bad versions fail 30% to 50%.
	minFailureDifference = 0.12
	// minExpiredDifference is the same for requests without a response in time.
	// Callers leave for other reasons too.
	minExpiredDifference = 0.3
	// minFailures is the least number of bad responses of a bad version.
	minFailures = 3
	// minSlowdown is the factor by which a bad version is slower than the old one. Bad
	// versions are 8 times slower, until their requests expire; speeds within a version
	// differ by up to 3 times, and up to 2.5 times for some seconds.
	minSlowdown = 3
	// minTimed is the least number of requests by which times are compared.
	minTimed = 5
	// minOldTimed is the least number of requests of the old version from which the time
	// of a route is known.
	minOldTimed = 5
	// minSpread is the assumed standard deviation of the logarithm of the service times
	// of endpoints of one version.
	minSpread = 0.3

	// strictChance and lenientChance bound the probability that the endpoints of a good
	// version fail by chance of other faults, which hit some endpoints of each version.
	strictChance  = 0.005
	lenientChance = 0.03

	// strictDeviations is the number of standard errors by which a difference must exceed
	// 0 while more evidence is to come, and lenientDeviations if a decision is due.
	strictDeviations  = 3.5
	lenientDeviations = 2
)

// endpointCounts are the counts of one endpoint by route.
type endpointCounts struct {
	routes  map[string]Counts
	crashed bool // its missing responses say nothing about the version
}

// Figures are those of a verdict.
type Figures struct {
	Bad       bool
	Reason    string // failures, expiries or times
	Route     string // empty for all routes together
	New, Old  float64
	Requests  uint64 // of the new version
	Endpoints int    // of the new version
	Deviation float64
}

// String returns the figures in one line.
func (f Figures) String() string {
	return fmt.Sprintf("bad=%t reason=%s route=%q new=%.3f old=%.3f requests=%d endpoints=%d deviations=%.1f",
		f.Bad, f.Reason, f.Route, f.New, f.Old, f.Requests, f.Endpoints, f.Deviation)
}

// compare compares endpoints of the target version with others over the same period. It
// returns the first difference that makes the target version bad, or else the largest
// failures seen.
func compare(target, old []endpointCounts, deviations float64) Figures {
	routes := make(map[string]bool)
	for _, e := range target {
		for r := range e.routes {
			routes[r] = true
		}
	}
	scopes := append([]string{""}, slices.Sorted(maps.Keys(routes))...)
	worst := Figures{Reason: "failures"}
	for _, scope := range scopes {
		for _, f := range []Figures{
			compareFailures("failures", scope, target, old, minFailureDifference, deviations, endpointCounts.failures),
			compareFailures("expiries", scope, target, old, minExpiredDifference, deviations, endpointCounts.expiries),
			compareTimes(scope, target, old, deviations),
		} {
			if f.Bad {
				return f
			}
			if f.Reason == "failures" && (scope == "" || f.New-f.Old > worst.New-worst.Old) {
				worst = f
			}
		}
	}
	return worst
}

// sum returns the counts of e in scope.
func (e endpointCounts) sum(scope string) Counts {
	if scope != "" {
		return e.routes[scope]
	}
	var c Counts
	for _, r := range e.routes {
		c = c.plus(r)
	}
	return c
}

// failures returns the bad responses and all responses of e.
func (e endpointCounts) failures(scope string) (bad, all float64) {
	c := e.sum(scope)
	bad = float64(c.Failed)
	if !e.crashed {
		bad += float64(c.Broken)
	}
	return bad, bad + float64(c.Done)
}

// expiries returns the requests without a good response and all ended requests of e.
func (e endpointCounts) expiries(scope string) (bad, all float64) {
	bad, all = e.failures(scope)
	x := float64(e.sum(scope).Expired)
	return bad + x, all + x
}

// shares describes the bad share of endpoints.
type shares struct {
	bad, all  float64
	endpoints int     // with any request
	failing   int     // with a bad one
	between   float64 // variance between endpoints beyond that of independent requests
}

func sharesOf(es []endpointCounts, scope string, count func(endpointCounts, string) (bad, all float64)) shares {
	var s shares
	for _, e := range es {
		bad, all := count(e, scope)
		s.bad, s.all = s.bad+bad, s.all+all
		if all > 0 {
			s.endpoints++
		}
		if bad > 0 {
			s.failing++
		}
	}
	p := s.rate()
	for _, e := range es {
		if bad, all := count(e, scope); all > 0 {
			s.between += all * (bad/all - p) * (bad/all - p)
		}
	}
	if s.all > 0 {
		s.between = max(0, (s.between-p*(1-p)*float64(s.endpoints))/s.all)
	}
	return s
}

const (
	// highQuantile is the quantile of endpoints whose share of bad requests is the highest
	// that is expected without a difference between versions.
	highQuantile = 0.9
	// minShareRequests is the least number of requests from which the share of one endpoint
	// counts for it.
	minShareRequests = 8
)

// highShare returns the bad share that few endpoints of es exceed, at most 0.5.
func highShare(es []endpointCounts, count func(endpointCounts, string) (bad, all float64)) float64 {
	var xs []float64
	for _, e := range es {
		if bad, all := count(e, ""); all >= minShareRequests {
			xs = append(xs, bad/all)
		}
	}
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return min(xs[int(highQuantile*float64(len(xs)-1))], 0.5)
}

// failingShare returns the share of endpoints of es whose share of bad requests would make
// a version bad.
func failingShare(es []endpointCounts, count func(endpointCounts, string) (bad, all float64)) float64 {
	failing, all := 0.0, 0.0
	for _, e := range es {
		if b, n := count(e, ""); n >= minShareRequests {
			all++
			if b >= minFailureDifference*n {
				failing++
			}
		}
	}
	return failing / max(all, 1)
}

// showChance returns the mean probability that an endpoint of es shows a bad request if
// each of its requests is bad with probability p.
func showChance(es []endpointCounts, scope string, p float64, count func(endpointCounts, string) (bad, all float64)) float64 {
	sum, endpoints := 0.0, 0.0
	for _, e := range es {
		if _, all := count(e, scope); all > 0 {
			sum += 1 - math.Pow(1-p, all)
			endpoints++
		}
	}
	return sum / max(endpoints, 1)
}

// binomialTail returns the probability of k or more successes in n attempts with
// probability p each.
func binomialTail(n, k int, p float64) float64 {
	sum, coefficient := 0.0, 1.0
	for i := 0; i <= n; i++ {
		if i >= k {
			sum += coefficient * math.Pow(p, float64(i)) * math.Pow(1-p, float64(n-i))
		}
		coefficient *= float64(n-i) / float64(i+1)
	}
	return sum
}

func (s shares) rate() float64 {
	if s.all == 0 {
		return 0
	}
	return s.bad / s.all
}

// compareFailures compares shares of bad requests. If only one of several endpoints
// fails, the endpoint is bad rather than the version.
func compareFailures(reason, scope string, target, old []endpointCounts, minDifference, deviations float64, count func(endpointCounts, string) (bad, all float64)) Figures {
	n, o := sharesOf(target, scope, count), sharesOf(old, scope, count)
	f := Figures{Reason: reason, Route: scope, New: n.rate(), Old: o.rate(), Requests: uint64(n.all), Endpoints: n.endpoints}
	if n.all == 0 {
		return f
	}
	// A route with few requests does not show how much endpoints differ, but all routes
	// together do. By chance, the endpoints of the target version may be among the worst.
	all := sharesOf(old, "", count)
	between := max(o.between, all.between)
	p := (o.bad + 0.5) / (o.all + 1)
	worst := max(p, highShare(old, count))
	variance := worst*(1-worst)/n.all + p*(1-p)/max(o.all, 1) + between*(1/float64(n.endpoints)+1/float64(max(o.endpoints, 1)))
	difference := f.New - f.Old
	f.Deviation = difference / math.Sqrt(variance)
	maxChance := strictChance
	if deviations < strictDeviations {
		maxChance = lenientChance
	}
	f.Bad = n.bad >= minFailures && binomialTail(n.endpoints, n.failing, failingShare(old, count)*showChance(target, scope, worst, count)) <= maxChance && (n.failing > 1 || n.endpoints == 1) && difference >= minDifference && f.Deviation >= deviations
	return f
}

// compareTimes compares the time of requests in relation to that of the same routes at
// the old version. A request that runs counts with its time so far, so that a slow
// version shows before its requests end.
func compareTimes(scope string, target, old []endpointCounts, deviations float64) Figures {
	f := Figures{Reason: "times", Route: scope}
	means := make(map[string]float64) // of the old version, by route
	sums := make(map[string]Counts)
	for _, e := range old {
		for r, c := range e.routes {
			sums[r] = sums[r].plus(c)
		}
	}
	for r, c := range sums {
		if c.ran() >= minOldTimed && (scope == "" || scope == r) {
			means[r] = c.Busy.Seconds() / float64(c.ran())
		}
	}
	n, requests := relativeTimes(target, means)
	o, _ := relativeTimes(old, means)
	if len(n) == 0 || len(o) == 0 || requests < minTimed {
		return f
	}
	meanNew, _ := meanSpread(n)
	meanOld, spread := meanSpread(o)
	difference := meanNew - meanOld
	f.New, f.Old, f.Requests, f.Endpoints = math.Exp(meanNew), math.Exp(meanOld), requests, len(n)
	f.Deviation = difference / (max(spread, minSpread) * math.Sqrt(1/float64(len(n))+1/float64(len(o))))
	f.Bad = difference >= math.Log(minSlowdown) && f.Deviation >= deviations
	return f
}

// relativeTimes returns for each endpoint the logarithm of its time in relation to the
// means by route, and the number of requests that this is based on.
func relativeTimes(es []endpointCounts, means map[string]float64) (logs []float64, requests uint64) {
	for _, e := range es {
		busy, expected, sent := 0.0, 0.0, uint64(0)
		for r, mean := range means {
			c := e.routes[r]
			busy += c.Busy.Seconds()
			expected += mean * float64(c.ran())
			sent += c.ran()
		}
		if sent >= 2 && busy > 0 && expected > 0 {
			logs = append(logs, math.Log(busy/expected))
			requests += sent
		}
	}
	return logs, requests
}

// meanSpread returns the mean and the standard deviation of xs.
func meanSpread(xs []float64) (mean, deviation float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		deviation += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(deviation)
}
