package admit

import "lavenderrill.dev/lavenderrill/pkg/mesh"

// line is the queue of one client account inside a rank. Lines with waiting
// work form a ring.
type line struct {
	account    mesh.ClientAccount
	head, tail *Ticket
	n          int
	prev, next *line
}

// queue holds the waiting tickets of one rank and serves its client accounts
// in turn.
type queue struct {
	lines map[mesh.ClientAccount]*line
	turn  *line // line served next, nil if the queue is empty
	n     int   // waiting tickets
	free  *line // unused lines, linked by next
}

// lenOf returns the number of waiting tickets of account a.
func (q *queue) lenOf(a mesh.ClientAccount) int {
	if l := q.lines[a]; l != nil {
		return l.n
	}
	return 0
}

// push appends t to the line of its account. A new line is served last.
func (q *queue) push(t *Ticket) {
	l := q.lines[t.Account]
	if l == nil {
		l = q.open(t.Account)
	}
	t.line, t.prev, t.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
	l.n++
	q.n++
}

// pop removes and returns the ticket that is served next, or nil.
func (q *queue) pop() *Ticket {
	l := q.turn
	if l == nil {
		return nil
	}
	t := l.head
	q.turn = l.next
	q.remove(t)
	return t
}

// remove takes t out of the queue.
func (q *queue) remove(t *Ticket) {
	l := t.line
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.line, t.prev, t.next = nil, nil, nil
	l.n--
	q.n--
	if l.n == 0 {
		q.close(l)
	}
}

// longerThan returns the newest ticket of a line with more than n tickets, or
// nil.
func (q *queue) longerThan(n int) *Ticket {
	if q.turn == nil {
		return nil
	}
	for l := q.turn; ; {
		if l.n > n {
			return l.tail
		}
		if l = l.next; l == q.turn {
			return nil
		}
	}
}

func (q *queue) open(a mesh.ClientAccount) *line {
	l := q.free
	if l == nil {
		l = new(line)
	} else {
		q.free = l.next
	}
	l.account = a
	q.lines[a] = l
	if q.turn == nil {
		q.turn, l.prev, l.next = l, l, l
		return l
	}
	l.prev, l.next = q.turn.prev, q.turn
	l.prev.next, q.turn.prev = l, l
	return l
}

func (q *queue) close(l *line) {
	delete(q.lines, l.account)
	if l.next == l {
		q.turn = nil
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if q.turn == l {
			q.turn = l.next
		}
	}
	*l = line{next: q.free}
	q.free = l
}
