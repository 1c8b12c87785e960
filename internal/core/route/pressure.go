package route

import (
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// pressureAge is the age at which a reported pressure counts for nothing.
	pressureAge = 5 * time.Second
	// spillPressure is the pressure from which other availability zones are
	// considered.
	spillPressure = 0.5
	// pressedSample is the number of endpoints that Pressure looks at.
	pressedSample = 32
	// maxRanks bounds the ranks kept per endpoint; those of earlier
	// configurations stay until the endpoint leaves.
	maxRanks = 64
)

type pressureSample struct {
	rank  mesh.Rank
	value float64
	at    time.Time
}

// pressureOf returns the last reported pressure of rank, falling linearly to 0
// with age.
func (e *Endpoint) pressureOf(rank mesh.Rank, now time.Time) float64 {
	for i := range e.pressure {
		s := &e.pressure[i]
		if s.rank != rank {
			continue
		}
		age := now.Sub(s.at)
		if age >= pressureAge {
			return 0
		}
		return s.value * (1 - float64(max(age, 0))/float64(pressureAge))
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

// ReportPressure records the pressures of a Lavenderrill-Pressure header that the gate
// of e sent, such as "urgent=0.5,bulk=1" (see admit.FormatPressure). Items that
// are not valid are ignored: pressure is a hint.
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

// fresh reports whether e holds a pressure of rank that still counts.
func (e *Endpoint) fresh(rank mesh.Rank, now time.Time) bool {
	for i := range e.pressure {
		if e.pressure[i].rank == rank {
			return now.Sub(e.pressure[i].at) < pressureAge
		}
	}
	return false
}

// MinPressure returns the least pressure of rank among endpoints of s that
// reported one lately, and 0 if none did. It looks at a random sample of a
// large service.
func (p *Picker) MinPressure(s mesh.Service, rank mesh.Rank, now time.Time) float64 {
	svc := p.service(s)
	if svc == nil {
		return 0
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	least, any := 0.0, false
	n := len(svc.local) + len(svc.remote)
	if n == 0 {
		return 0
	}
	first := p.rand(n)
	for i := range min(n, pressedSample) {
		k := (first + i) % n
		var e *Endpoint
		if k < len(svc.local) {
			e = svc.local[k]
		} else {
			e = svc.remote[k-len(svc.local)]
		}
		if !e.fresh(rank, now) {
			continue
		}
		if v := e.pressureOf(rank, now); !any || v < least {
			least, any = v, true
		}
	}
	return least
}
