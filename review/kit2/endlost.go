package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

const (
	lastEvent  = 12 // events of each stream
	eventPause = 10 * time.Millisecond

	// The dose: three of five engines lose the end of 0.4 of their answers, for 4 s, three times.
	modelEngines  = 5
	losingEngines = 3
	lostShare     = 0.4
	losingTime    = 4 * time.Second
	losingPause   = 4 * time.Second
	losingRounds  = 3

	streamClients = 8
	clientPause   = 50 * time.Millisecond
	// takeUpsNeeded is from how many streams on the rule counts.
	takeUpsNeeded = 12
)

// losingEngine streams events up to lastEvent. While losing is set, it loses the end of some of its answers: the connection
// is reset after the last event.
type losingEngine struct {
	placement.Engine
	*record
	server *http.Server
	losing atomic.Bool
}

func startLosingEngine(r *record, e placement.Engine) (*losingEngine, error) {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	l := &losingEngine{Engine: e, record: r}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(listener) }() // returns after Close
	return l, nil
}

func (l *losingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.PathReport {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Stage":"both","Busy":false,"born":%d}`, l.Born)
		return
	}
	attempt := r.Header.Get(platform.HeaderAttempt)
	h := w.Header()
	h.Set(platform.HeaderAttempt, attempt)
	h.Set(platform.HeaderEngine, l.ID)
	if expected := r.Header.Get(platform.HeaderIncarnation); expected != "" && expected != l.ID {
		h.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, err := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	if err != nil {
		from = 0
	}
	h.Set(platform.HeaderSignature, l.ID+"/"+attempt)
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // the caller may have left
	for number := from + 1; number <= lastEvent; number++ {
		time.Sleep(eventPause)
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", number, number)
		_ = http.NewResponseController(w).Flush() // the caller may have left
	}
	lost := from < lastEvent && l.losing.Load() && rand.Float64() < lostShare
	l.printf("engine %s ran %s after event %d to the last one, %d; end lost: %t", l.ID, attempt, from, lastEvent, lost)
	if lost {
		panic(http.ErrAbortHandler)
	}
}

// readStream sends a request for a stream and returns the status, the number of the last event, and whether the answer was
// complete.
func (s *system) readStream(p *process, attempt string, after int, resumes string) (status, last int, complete bool) {
	last = after
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Callers+standin.ResumePath+attempt, strings.NewReader("prompt"))
	if err != nil {
		return 0, last, false
	}
	r.Host = standin.Host
	r.Header.Set(platform.HeaderAttempt, attempt)
	r.Header.Set(platform.HeaderAPIKey, standin.WorkspaceKey)
	r.Header.Set(platform.HeaderDeadline, "5000")
	r.Header.Set(platform.HeaderTokenCounts, "100,50")
	if after > 0 {
		r.Header.Set(platform.HeaderLastEvent, strconv.Itoa(after))
		r.Header.Set(platform.HeaderResumes, resumes)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, last, false
	}
	defer response.Body.Close()
	in := bufio.NewReader(response.Body)
	for {
		line, err := in.ReadString('\n')
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			if n, err := strconv.Atoi(number); err == nil {
				last = n
			}
		}
		if err != nil {
			return response.StatusCode, last, errors.Is(err, io.EOF) && response.StatusCode == http.StatusOK
		}
	}
}

// endLost has clients take up streams whose last event has arrived, but not their end.
func endLost(r *record, folder string, trouble bool) (broken bool, err error) {
	s, err := newSystem(r, folder, 3, 3)
	if err != nil {
		return false, err
	}
	defer s.stop()
	var engines []*losingEngine
	var listed []placement.Engine
	for i := range modelEngines {
		e, err := startLosingEngine(r, placement.Engine{
			ID: fmt.Sprint("i-", i), Service: standin.ModelService, Address: s.network.Address(60+i) + ":8080",
			DataCentre: string(rune('a' + i%3)), Slots: 8, Version: "v1", Born: time.Now().UnixMilli(),
		})
		if err != nil {
			return false, err
		}
		defer e.server.Close()
		engines, listed = append(engines, e), append(listed, e.Engine)
	}
	s.directory.Set(listed)
	for _, p := range append(append([]*process{}, s.cores...), s.edges...) {
		if err := s.start(p); err != nil {
			return false, err
		}
	}
	if err := s.order(standin.Document(1, standin.WorkspaceKey), 20*time.Second); err != nil {
		return false, err
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var mu sync.Mutex
	began, asked, goneOn, takenUp := 0, 0, 0, 0
	var clients sync.WaitGroup
	for c := range streamClients {
		clients.Go(func() {
			for i := 0; !isClosed(stop); i++ {
				time.Sleep(clientPause)
				attempt := fmt.Sprintf("c%d-%d", c, i)
				p := s.edges[(c+i)%len(s.edges)]
				status, last, complete := s.readStream(p, attempt, 0, "")
				r.printf("client sent %s to %s: answer %d, last event %d, complete %t", attempt, p.settings.Address, status, last, complete)
				mu.Lock()
				asked++
				if last > 0 {
					began++
				}
				mu.Unlock()
				if complete || last == 0 {
					continue
				}
				again := attempt + "-again"
				p = s.edges[(c+i+1)%len(s.edges)]
				status, last, complete = s.readStream(p, again, last, attempt)
				r.printf("client took up %s as %s at %s: answer %d, last event %d, complete %t", attempt, again, p.settings.Address, status, last, complete)
				mu.Lock()
				takenUp++
				if complete {
					goneOn++
				}
				mu.Unlock()
			}
		})
	}
	for range losingRounds {
		setLosing(engines[:losingEngines], trouble)
		time.Sleep(losingTime)
		setLosing(engines[:losingEngines], false)
		time.Sleep(losingPause)
	}
	close(stop)
	clients.Wait()
	r.printf("%d of %d new streams began; %d of %d that were taken up went on", began, asked, goneOn, takenUp)
	if asked == 0 || began == 0 {
		return false, errors.New("no stream began")
	}
	return takenUp >= takeUpsNeeded && float64(goneOn)/float64(takenUp) < float64(began)/float64(asked)/2, nil
}

func setLosing(engines []*losingEngine, losing bool) {
	for _, e := range engines {
		e.losing.Store(losing)
		e.printf("engine %s loses the end of answers: %t", e.ID, losing)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
