package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	rollDrain    = 3300 * time.Millisecond // DrainMs and a little longer
	rollDown     = 1500 * time.Millisecond // between the stop of an engine and its start
	rollPause    = time.Second             // between two engines
	rollInterval = 50 * time.Millisecond   // between two events of a stream

	rollClients   = 16  // whose streams are long
	longEvents    = 200 // of 640 that the sheet allows
	shortEvents   = 4
	usualClients  = 24
	usualInterval = 50 * time.Millisecond // between the short streams of a client
	beforeScaleUp = 500 * time.Millisecond
	beforeDrain   = 500 * time.Millisecond

	newStreams        = 30 // that begin after the last engine has stopped
	newStreamInterval = 100 * time.Millisecond
	takeUpTries       = 3
	minTakeUps        = 12 // of LOST
	minEngines        = 2  // of LOST
)

// takeUp is what became of a stream that a client took up again.
type takeUp struct {
	tries  int
	goesOn bool
	last   answer
}

// playRoll restarts the engines of one software version one after the other, under their IDs, while engines of the next
// version are added. Then it counts how many of the streams that clients take up again go on.
func playRoll(s *system, r *record, trouble bool) (broken bool, err error) {
	all := &runs{}
	var old []*engine
	for i := range 4 {
		e, err := s.startEngine(i, modelService, firstVersion, all)
		if err != nil {
			return false, err
		}
		e.interval = rollInterval
		old = append(old, e)
	}
	if err := s.start(configurationDocument(3)); err != nil {
		return false, err
	}
	stopUsual := s.sendUsualTraffic(r)
	time.Sleep(rollPause)
	for _, e := range old[:3] {
		if err := restartEngine(e, trouble); err != nil {
			return false, err
		}
	}
	stopUsual()
	var clients sync.WaitGroup
	takeUps := make([]*takeUp, rollClients)
	for i := range rollClients {
		clients.Go(func() { takeUps[i] = streamAndTakeUp(s, i, r) })
	}
	time.Sleep(beforeScaleUp)
	for i := range 3 {
		e, err := s.startEngine(len(old)+i, modelService, nextVersion, all)
		if err != nil {
			return false, err
		}
		e.interval = rollInterval
	}
	time.Sleep(beforeDrain)
	if trouble {
		last := old[3]
		last.drain()
		time.Sleep(rollDrain)
		last.stop()
	}
	begun := make([]bool, newStreams)
	for i := range newStreams {
		clients.Go(func() { begun[i] = beginsStream(s, i, r) })
		time.Sleep(newStreamInterval)
	}
	serving := countServing(old, r)
	clients.Wait()
	return judgeTakeUps(takeUps, begun, serving, trouble, r)
}

// sendUsualTraffic sends short streams to all machines, one after the other, until the returned function is called.
func (s *system) sendUsualTraffic(r *record) (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range usualClients {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(usualInterval):
					sendOnce(s.edges[i%len(s.edges)], streamRequest(shortEvents), r)
				}
			}
		})
	}
	return func() { close(done); clients.Wait() }
}

// restartEngine drains an engine, stops it and starts it again under its ID.
func restartEngine(e *engine, trouble bool) error {
	if !trouble {
		time.Sleep(rollDrain + rollDown + rollPause)
		return nil
	}
	e.drain()
	time.Sleep(rollDrain)
	e.stop()
	time.Sleep(rollDown)
	if err := e.start(); err != nil {
		return err
	}
	time.Sleep(rollPause)
	return nil
}

func streamRequest(events int, further ...string) *request {
	headers := []string{"X-Model: m", fmt.Sprintf("X-Token-Count: 60,%d", events*tokensOfEvent), "X-Prefix-Hash: " + newAttempt() + ":60"}
	return &request{
		id: newAttempt(), method: http.MethodPost, path: resumePath + "2f", deadline: streamDeadline, body: "summarise",
		headers: append(headers, further...),
	}
}

// sendOnce sends a request on a new connection.
func sendOnce(m *machine, q *request, r *record) answer {
	c, err := connect(m)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	r.printf("client sends %s to %s: %s %s, %s", q.id, m.name, q.method, q.path, strings.Join(q.headers, ", "))
	a := c.send(q)
	r.printf("client got for %s: %v", q.id, a)
	return a
}

// eventsOf returns the number of complete events.
func eventsOf(body string) int { return strings.Count(body, "\n\n") }

// streamAndTakeUp sends a long stream and takes it up if it breaks off, at another machine each time. It returns nil if
// the stream did not break off.
func streamAndTakeUp(s *system, client int, r *record) *takeUp {
	q := streamRequest(longEvents)
	start := time.Now()
	a := sendOnce(s.edges[client%len(s.edges)], q, r)
	if a.status != http.StatusOK || a.complete {
		return nil
	}
	received := eventsOf(a.body)
	if received == 0 {
		return nil
	}
	t := &takeUp{}
	for t.tries < takeUpTries {
		again := streamRequest(longEvents, fmt.Sprintf("Last-Event-Id: %d", received), "Resumes: "+q.id)
		again.deadline = streamDeadline - time.Since(start)
		if again.deadline <= 0 {
			break
		}
		t.tries++
		t.last = sendOnce(s.edges[(client+t.tries)%len(s.edges)], again, r)
		if t.last.status == http.StatusOK && strings.HasPrefix(t.last.body, fmt.Sprintf("id: %d\n", received+1)) {
			t.goesOn = true
			break
		}
		time.Sleep(t.last.retryAfter)
	}
	return t
}

// beginsStream reports whether a new stream brings its first event.
func beginsStream(s *system, client int, r *record) bool {
	a := sendOnce(s.edges[client%len(s.edges)], streamRequest(shortEvents), r)
	return a.status == http.StatusOK && strings.HasPrefix(a.body, "id: 1\n")
}

// countServing returns how many engines are ready, as they say themselves.
func countServing(engines []*engine, r *record) (serving int) {
	client := &http.Client{Timeout: time.Second}
	for _, e := range engines {
		response, err := client.Get("http://" + e.address + "/health")
		if err != nil {
			r.printf("engine %s does not serve", e.id)
			continue
		}
		_ = response.Body.Close()
		r.printf("engine %s answers its health check with %d", e.id, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			serving++
		}
	}
	return serving
}

func judgeTakeUps(takeUps []*takeUp, begun []bool, serving int, trouble bool, r *record) (broken bool, err error) {
	taken, goOn, begin := 0, 0, 0
	for _, t := range takeUps {
		if t == nil {
			continue
		}
		taken++
		if t.goesOn {
			goOn++
		} else {
			r.printf("LOST: a stream did not go on in %d tries; the last one: %v", t.tries, t.last)
		}
	}
	for _, b := range begun {
		if b {
			begin++
		}
	}
	r.printf("%d engines of the version that began the streams serve", serving)
	r.printf("%d streams were taken up again, %d of them went on; %d of %d new streams began", taken, goOn, begin, len(begun))
	if begin == 0 {
		return false, errors.New("no new stream began")
	}
	if !trouble && taken > 0 {
		return false, errors.New("streams broke off without a disruption")
	}
	if taken < minTakeUps || serving < minEngines {
		return false, nil
	}
	share := float64(goOn) / float64(taken)
	return share < float64(begin)/float64(len(begun))/2, nil
}
