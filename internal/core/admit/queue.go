package admit

import "lavenderrill.dev/lavenderrill/pkg/mesh"

// accountQueue is the queue of one client account inside a rank. The queues
// that hold tickets form a ring.
type accountQueue struct {
	account    mesh.ClientAccount
	head, tail *Ticket
	n          int
	prev, next *accountQueue
}

// queue holds the waiting tickets of one rank and serves its client accounts in
// round-robin order.
type queue struct {
	accounts map[mesh.ClientAccount]*accountQueue
	cursor   *accountQueue // account served next, nil if the queue is empty
	n        int           // waiting tickets
	freeList *accountQueue // unused account queues, linked by next
}

// accountLen returns the number of waiting tickets of account a.
func (q *queue) accountLen(a mesh.ClientAccount) int {
	if l := q.accounts[a]; l != nil {
		return l.n
	}
	return 0
}

// push appends t to the queue of its account. A new account is served last.
func (q *queue) push(t *Ticket) {
	l := q.accounts[t.Account]
	if l == nil {
		l = q.addAccount(t.Account)
	}
	t.accountQueue, t.prev, t.next = l, l.tail, nil
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
	l := q.cursor
	if l == nil {
		return nil
	}
	t := l.head
	q.cursor = l.next
	q.remove(t)
	return t
}

// remove removes t from the queue.
func (q *queue) remove(t *Ticket) {
	l := t.accountQueue
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
	t.accountQueue, t.prev, t.next = nil, nil, nil
	l.n--
	q.n--
	if l.n == 0 {
		q.removeAccount(l)
	}
}

// newestOver returns the newest ticket of an account with more than n waiting
// tickets, or nil.
func (q *queue) newestOver(n int) *Ticket {
	if q.cursor == nil {
		return nil
	}
	for l := q.cursor; ; {
		if l.n > n {
			return l.tail
		}
		if l = l.next; l == q.cursor {
			return nil
		}
	}
}

func (q *queue) addAccount(a mesh.ClientAccount) *accountQueue {
	l := q.freeList
	if l == nil {
		l = new(accountQueue)
	} else {
		q.freeList = l.next
	}
	l.account = a
	q.accounts[a] = l
	if q.cursor == nil {
		q.cursor, l.prev, l.next = l, l, l
		return l
	}
	l.prev, l.next = q.cursor.prev, q.cursor
	l.prev.next, q.cursor.prev = l, l
	return l
}

func (q *queue) removeAccount(l *accountQueue) {
	delete(q.accounts, l.account)
	if l.next == l {
		q.cursor = nil
	} else {
		l.prev.next, l.next.prev = l.next, l.prev
		if q.cursor == l {
			q.cursor = l.next
		}
	}
	*l = accountQueue{next: q.freeList}
	q.freeList = l
}
