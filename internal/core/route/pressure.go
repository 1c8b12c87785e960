package route

import (
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxPressureAge is the age from which a reported pressure is ignored.
	maxPressureAge = 5 * time.Second
	// spillPressure is the pressure from which other availability zones are
	// considered.
	spillPressure = 0.5
	// maxPressureEndpoints is the number of endpoints that MinPressure examines.
	maxPressureEndpoints = 32
	// maxRanks bounds the ranks kept per endpoint; those of earlier
	// configurations stay until the endpoint leaves.
	maxRanks = 64
)

type pressureSample struct {
	rank  mesh.Rank
	value float64
	at    time.Time
}

// pressureOf returns the last reported pressure of rank, decaying linearly to 0
// with age.
func (e *Endpoint) pressureOf(rank mesh.Rank, now time.Time) float64 {
	for i := range e.pressure {
		s := &e.pressure[i]
		if s.rank != rank {
			continue
		}
		age := now.Sub(s.at)
		if age >= maxPressureAge {
			return 0
		}
		return s.value * (1 - float64(max(age, 0))/float64(maxPressureAge))
	}
	return 0
}

func (e *Endpoint) setPressure(rank string, v float64, now time.Time) {
	for i := range e.pressure {
		if s := &e.pressure[i]; string(s.rank) == rank {
			s.value, s.at = v, now
			return
		}
	}
	if len(e.pressure) < maxRanks {
		e.pressure = append(e.pressure, pressureSample{mesh.Rank(strings.Clone(rank)), v, now})
	}
}

// ReportPressure records the pressures of a Lavenderrill-Pressure header that
// the gate of e sent, such as "urgent=0.5,bulk=1" (see admit.FormatPressure).
// Invalid items are ignored: pressure is a hint.
func (p *Picker) ReportPressure(e *Endpoint, header string, now time.Time) {
	e.svc.mu.Lock()
	defer e.svc.mu.Unlock()
	for header != "" {
		var item string
		item, header, _ = strings.Cut(header, ",")
		rank, value, ok := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 64)
		if ok && err == nil && v >= 0 && v <= 1 {
			e.setPressure(rank, v, now)
		}
	}
}

// hasRecentPressure reports whether e has a pressure of rank that is younger
// than maxPressureAge.
func (e *Endpoint) hasRecentPressure(rank mesh.Rank, now time.Time) bool {
	for i := range e.pressure {
		if e.pressure[i].rank == rank {
			return now.Sub(e.pressure[i].at) < maxPressureAge
		}
	}
	return false
}

// MinPressure returns the lowest pressure of rank among endpoints of s that
// reported one recently, and 0 if none did. For a large service it examines a
// random sample.
func (p *Picker) MinPressure(s mesh.Service, rank mesh.Rank, now time.Time) float64 {
	svc := p.service(s)
	if svc == nil {
		return 0
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	lowest, found := 0.0, false
	n := len(svc.local) + len(svc.remote)
	if n == 0 {
		return 0
	}
	first := p.rand(n)
	for i := range min(n, maxPressureEndpoints) {
		k := (first + i) % n
		var e *Endpoint
		if k < len(svc.local) {
			e = svc.local[k]
		} else {
			e = svc.remote[k-len(svc.local)]
		}
		if !e.hasRecentPressure(rank, now) {
			continue
		}
		if v := e.pressureOf(rank, now); !found || v < lowest {
			lowest, found = v, true
		}
	}
	return lowest
}
