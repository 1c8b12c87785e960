package admit

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// queuePressure is the pressure at which requests of a rank have to wait for a
// slot; below it the pressure is proportional to the share of the limit in use.
const queuePressure = 0.5

// RankPressure is the pressure of one rank at a gate: 0 if nothing is in
// flight, 0.5 if all slots are taken, and 1 if new requests are refused.
type RankPressure struct {
	Rank  mesh.Rank
	Value float64
}

// Pressure appends the pressure of every rank, most urgent first, to dst.
func (m *Machine) Pressure(now time.Time, dst []RankPressure) []RankPressure {
	at := m.at(now)
	for _, r := range m.ranks {
		dst = append(dst, RankPressure{Rank: r.policy.Name, Value: m.pressure(at, r)})
	}
	return dst
}

// PressureOf returns the pressure of rank name, or that of the least urgent
// rank if the name is unknown.
func (m *Machine) PressureOf(now time.Time, name mesh.Rank) float64 {
	r := m.rankNamed(name)
	if r == nil {
		return 1
	}
	return m.pressure(m.at(now), r)
}

func (m *Machine) pressure(at time.Duration, r *rank) float64 {
	if m.draining {
		return 1
	}
	limit := m.limiter.limit(at)
	if r.queue.n == 0 && m.inFlight < limit && m.withinBulkLimit(at, r) {
		return queuePressure * float64(m.inFlight) / float64(limit)
	}
	full := float64(r.queue.n) / float64(m.maxQueue)
	if r.policy.Target > 0 {
		full = max(full, float64(m.expectedWait(at, r, 0))/float64(r.policy.Target))
	}
	return queuePressure + (1-queuePressure)*min(full, 1)
}

// FormatPressure returns the value of the Lavenderrill-Pressure header, such as
// "urgent=0.5,bulk=1".
func FormatPressure(ps []RankPressure) string {
	b := make([]byte, 0, 16*len(ps))
	for i, p := range ps {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, p.Rank...)
		b = append(b, '=')
		b = strconv.AppendFloat(b, float64(int(p.Value*100+0.5))/100, 'g', -1, 64)
	}
	return string(b)
}

// ParsePressure parses the value of a Lavenderrill-Pressure header.
func ParsePressure(s string) ([]RankPressure, error) {
	if s == "" {
		return nil, nil
	}
	var ps []RankPressure
	for item := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(item, "=")
		if !ok {
			return nil, fmt.Errorf("pressure %q: item %q has no value", s, item)
		}
		if err := mesh.CheckName(name); err != nil {
			return nil, fmt.Errorf("pressure %q: %w", s, err)
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= 1) {
			return nil, fmt.Errorf("pressure %q: value %q is not between 0 and 1", s, value)
		}
		ps = append(ps, RankPressure{Rank: mesh.Rank(name), Value: v})
	}
	return ps, nil
}
