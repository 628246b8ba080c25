package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	stopWarmUp = 2 * time.Second
	// Clients keep their connections and send a stream and a booking by turns. The streams that run at the SIGTERM end
	// between stopFirstEnd and stopLastEnd after it.
	stopClients  = 40
	stopFirstEnd = 6200 * time.Millisecond
	stopLastEnd  = 7400 * time.Millisecond
	// One of the three engines of the bookings falls silent for a second.
	stopSilentFrom = 6900 * time.Millisecond
	stopSilence    = time.Second
	stopEnd        = 10 * time.Second
	stopEngines    = 3
	lateAfterTerm  = 3 * time.Second // of LOST: a request that was sent no later than this may be cut at the end
	bookingTimeout = 1500 * time.Millisecond
	streamDeadline = 12 * time.Second
)

// booking is what became of a client's booking.
type booking struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	answer  answer
}

// playStop stops a machine of the edge by a SIGTERM while clients use kept connections, and counts the bookings that
// the machine has passed on to an engine and then cut.
func playStop(s *system, r *record, trouble bool) (broken bool, err error) {
	all := &runs{}
	var plain []*engine
	for i := range stopEngines {
		e, err := s.startEngine(i, plainService, firstVersion, all)
		if err != nil {
			return false, err
		}
		plain = append(plain, e)
	}
	for i := range stopEngines {
		if _, err := s.startEngine(stopEngines+i, modelService, firstVersion, all); err != nil {
			return false, err
		}
	}
	if err := s.start(configurationDocument(3)); err != nil {
		return false, err
	}
	time.Sleep(stopWarmUp)
	stopping := s.edges[0]
	// The streams begin half a second before the stop, each with a length of its own.
	const before = 500 * time.Millisecond
	term := time.Now().Add(before)
	var clients sync.WaitGroup
	bookings := make([]*booking, stopClients)
	for i := range stopClients {
		end := stopFirstEnd + (stopLastEnd-stopFirstEnd)*time.Duration(i)/stopClients
		clients.Go(func() { bookings[i] = streamThenBook(stopping, before+end, r) })
	}
	time.Sleep(time.Until(term))
	term = time.Now()
	if trouble {
		if err := s.signal(stopping, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(term.Add(stopSilentFrom)))
	until := time.Now().Add(stopSilence)
	plain[0].silentUntil.Store(&until)
	r.printf("engine %s is silent for %v", plain[0].id, stopSilence)
	time.Sleep(time.Until(term.Add(stopEnd)))
	clients.Wait()
	return countCut(bookings, all, term, trouble, r)
}

// streamThenBook sends a stream that takes the given time and then a booking on the same connection. It returns nil if
// the connection was closed before the booking could be sent.
func streamThenBook(m *machine, length time.Duration, r *record) *booking {
	c, err := connect(m)
	if err != nil {
		r.printf("client: no connection: %v", err)
		return nil
	}
	defer c.Close()
	events := int(length / eventInterval)
	stream := &request{
		id: newAttempt(), method: http.MethodPost, path: streamPath + "2f", deadline: streamDeadline, body: "summarise",
		headers: []string{"X-Model: m", fmt.Sprintf("X-Token-Count: 60,%d", events*tokensOfEvent), "X-Prefix-Hash: " + newAttempt() + ":60"},
	}
	r.printf("client sends stream %s to %s, %d events", stream.id, m.name, events)
	a := c.send(stream)
	r.printf("client got for stream %s: %v, closes %t", stream.id, a, a.closes)
	if a.status != http.StatusOK || !a.complete || a.closes {
		return nil
	}
	q := &request{id: newAttempt(), method: http.MethodPost, path: bookingPath + "2f", deadline: bookingTimeout, body: "one sack"}
	b := &booking{id: q.id, sentAt: time.Now()}
	r.printf("client sends booking %s to %s on the same connection", q.id, m.name)
	b.answer = c.send(q)
	b.endedAt = time.Now()
	r.printf("client got for booking %s: %v", q.id, b.answer)
	return b
}

// countCut counts the bookings that the rule LOST counts: sent later than three seconds after the SIGTERM, passed on to
// an engine, and ended without a complete answer before the route's timeout.
func countCut(bookings []*booking, all *runs, term time.Time, trouble bool, r *record) (broken bool, err error) {
	ran := all.byID()
	sent, answered, cut := 0, 0, 0
	for _, b := range bookings {
		if b == nil {
			continue
		}
		sent++
		switch {
		case b.answer.complete:
			answered++
		case len(ran[b.id]) == 0:
			r.printf("booking %s was not passed on", b.id)
		case b.endedAt.Sub(b.sentAt) >= bookingTimeout:
			r.printf("booking %s ended at its timeout", b.id)
		case trouble && b.sentAt.Sub(term) <= lateAfterTerm:
			r.printf("booking %s was sent early, it may be cut at the end of the stop", b.id)
		default:
			cut++
			r.printf("LOST: booking %s was sent %.3f s after the SIGTERM, ran on %s and was cut after %.3f s without an answer", b.id,
				b.sentAt.Sub(term).Seconds(), ran[b.id][0].engine, b.endedAt.Sub(b.sentAt).Seconds())
		}
	}
	r.printf("%d bookings sent, %d answered, %d lost", sent, answered, cut)
	if sent == 0 {
		return false, errors.New("no client could send a booking on its kept connection")
	}
	return cut > 0, nil
}
