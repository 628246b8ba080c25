package engine

// flightList is a doubly linked list through Flight.prev and Flight.next.
type flightList struct{ first, last *Request }

func (l *flightList) push(f *Request) {
	f.prev, f.next = l.last, nil
	if l.last == nil {
		l.first = f
	} else {
		l.last.next = f
	}
	l.last = f
}

func (l *flightList) remove(f *Request) {
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
