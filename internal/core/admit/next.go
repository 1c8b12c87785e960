package admit

import "time"

// nextRank returns the rank that is served next, or nil if none can be.
func (m *Machine) nextRank(at time.Duration, limit int) *rank {
	if m.nestedFirst(limit) {
		return m.nested
	}
	var first *rank
	for _, r := range m.ranks {
		if r.queue.n == 0 || !m.withinBulkLimit(at, r) || m.keepsSlotForCalls(at, r) {
			continue
		}
		r.refill(at, float64(limit))
		if !m.outsideReserve(at, r) && !r.belowFloor(float64(limit)) {
			continue
		}
		if m.order != Floors {
			return r
		}
		if r.belowFloor(float64(limit)) {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

// mayTakeSlot reports whether r may take a free slot.
func (m *Machine) mayTakeSlot(at time.Duration, r *rank) bool {
	return m.withinBulkLimit(at, r) && !m.keepsSlotForCalls(at, r) && m.outsideReserve(at, r)
}

// SetReserve sets whether slots are kept free for more urgent ranks. See Config.Reserve.
func (m *Machine) SetReserve(reserve bool) { m.reserve = reserve }
