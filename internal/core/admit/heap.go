package admit

// deadlines is a binary heap of waiting tickets, earliest deadline first. It
// implements heap.Interface.
type deadlines []*Ticket

// Len implements sort.Interface.
func (d deadlines) Len() int { return len(d) }

// Less implements sort.Interface.
func (d deadlines) Less(i, j int) bool { return d[i].until < d[j].until }

// Swap implements sort.Interface.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heap, d[j].heap = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	t := x.(*Ticket)
	t.heap = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	n := len(old) - 1
	t := old[n]
	old[n] = nil
	*d = old[:n]
	t.heap = -1
	return t
}
