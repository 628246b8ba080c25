package engine

// requestList is a doubly linked list of requests through Request.prev and Request.next.
type requestList struct{ first, last *Request }

func (l *requestList) push(r *Request) {
	r.prev, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
}

func (l *requestList) remove(r *Request) {
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}
