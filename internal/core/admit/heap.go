package admit

// expiryHeap is a binary heap of waiting tickets, ordered by expiry. It
// implements heap.Interface.
type expiryHeap []*Ticket

// Len implements sort.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }

// Swap implements sort.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*h = old[:n]
	t.heapIndex = -1
	return t
}
