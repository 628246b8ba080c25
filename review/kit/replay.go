package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	replayWarmUp  = 3 * time.Second
	replayTrouble = 4 * time.Second
	replayAfter   = 2 * time.Second
	// replayLossShare and replayTrouble are those of answer_lost in the site file, for one of the two engines of a
	// service, which is its share of 0.5.
	replayLossShare = 0.05
	replayClients   = 4                      // clients of each kind at each machine of the edge
	replayPause     = 100 * time.Millisecond // between two requests of a client
)

// kindOfRequest is a kind of request that must not run twice.
type kindOfRequest struct {
	name string
	make func() *request
}

var replayKinds = []kindOfRequest{
	{"stream that a browser's EventSource asks for (GET, streaming, StreamResume false)", func() *request {
		return &request{
			id: newAttempt(), method: http.MethodGet, path: streamPath + "2f", deadline: 12 * time.Second,
			headers: []string{"Accept: text/event-stream", "X-Model: m", "X-Token-Count: 60,12", "X-Prefix-Hash: " + newAttempt() + ":60"},
		}
	}},
	{"cancellation without a body, with the client's Idempotency-Key (POST, unsafe)", func() *request {
		return &request{
			id: newAttempt(), method: http.MethodPost, path: bookingPath + "2f/storno", deadline: 1500 * time.Millisecond,
			headers: []string{"Idempotency-Key: " + newAttempt()},
		}
	}},
	{"booking with a body (POST, unsafe)", func() *request {
		return &request{
			id: newAttempt(), method: http.MethodPost, path: bookingPath + "2f", deadline: 1500 * time.Millisecond, body: "one sack",
		}
	}},
}

// playReplay lets engines lose the answers of requests that they ran, by a reset, and counts how often each of the
// requests has run.
func playReplay(s *system, r *record, trouble bool) (broken bool, err error) {
	all := &runs{}
	var engines []*engine
	for i := range 2 {
		for j, service := range []string{plainService, modelService} {
			e, err := s.startEngine(2*i+j, service, firstVersion, all)
			if err != nil {
				return false, err
			}
			engines = append(engines, e)
		}
	}
	if err := s.start(configurationDocument(3)); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	kinds := &sync.Map{} // kind by attempt
	var clients sync.WaitGroup
	for _, m := range s.edges {
		for _, kind := range replayKinds {
			for range replayClients {
				clients.Go(func() { sendUntil(stop, m, kind, kinds, r) })
			}
		}
	}
	time.Sleep(replayWarmUp)
	if trouble {
		share := replayLossShare
		for _, e := range engines[:2] { // one engine of each service
			r.printf("engine %s begins to lose answers", e.id)
			e.lossShare.Store(&share)
		}
	}
	time.Sleep(replayTrouble)
	for _, e := range engines {
		e.lossShare.Store(nil)
	}
	r.printf("no more answers are lost")
	time.Sleep(replayAfter)
	close(stop)
	clients.Wait()
	return countRepeats(all, kinds, r)
}

// sendUntil sends requests of a kind, one after the other and each on a new connection, until stop is closed.
func sendUntil(stop <-chan struct{}, m *machine, kind kindOfRequest, kinds *sync.Map, r *record) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		q := kind.make()
		kinds.Store(q.id, kind.name)
		c, err := connect(m)
		if err != nil {
			r.printf("client: no connection to %s: %v", m.name, err)
			time.Sleep(readyInterval)
			continue
		}
		r.printf("client sends %s to %s: %s %s", q.id, m.name, q.method, q.path)
		a := c.send(q)
		_ = c.Close()
		r.printf("client got for %s: %v", q.id, a)
		time.Sleep(replayPause)
	}
}

func countRepeats(all *runs, kinds *sync.Map, r *record) (broken bool, err error) {
	total, repeated := map[string]int{}, map[string]int{}
	for id, list := range all.byID() {
		name := "unknown request"
		if kind, known := kinds.Load(id); known {
			name = kind.(string)
		}
		total[name]++
		if len(list) < 2 {
			continue
		}
		repeated[name]++
		for _, entry := range list {
			r.printf("TWICE: %s ran at %.3f s on %s (%s %s)", id, entry.at.Sub(r.start).Seconds(), entry.engine, entry.method, entry.path)
		}
	}
	for _, kind := range replayKinds {
		if total[kind.name] == 0 {
			return false, fmt.Errorf("no request ran: %s", kind.name)
		}
		r.printf("%s: %d requests ran, %d of them more than once", kind.name, total[kind.name], repeated[kind.name])
		broken = broken || repeated[kind.name] > 0
	}
	return broken, nil
}
