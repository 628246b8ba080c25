package engine

// requestList is a doubly linked list of requests through Request.prev and Request.next.
type requestList struct{ first, last *Request }

func (l *requestList) push(f *Request) {
	f.prev, f.next = l.last, nil
	if l.last == nil {
		l.first = f
	} else {
		l.last.next = f
	}
	l.last = f
}

func (l *requestList) remove(f *Request) {
	if f.prev == nil {
		l.first = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		l.last = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
}
