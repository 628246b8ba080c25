package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

const (
	orderClients  = 6
	orderPrefix   = "order-" // of the IDs that engines refuse
	maxOrderTries = 5
	orderInterval = 30 * time.Millisecond
	// copyTime is how long engines copy refusals while there is no other fault.
	copyTime = 3 * time.Second
)

// order is what a client wants done: one request, sent again as long as it is refused.
type order struct {
	tries []attempt
	// overlapping states that the client sent the request again while the first try was under way. The system may take
	// the tries for requests of their own: each runs at most once, and not if it was refused. A client that comes back
	// after refusals only can demand that the order runs at most once.
	overlapping bool
}

func (o order) String() string {
	text := fmt.Sprintf("%s, overlapping %t:", o.tries[0].path, o.overlapping)
	for _, a := range o.tries {
		text += fmt.Sprintf(" %s as %s: %d,", a.try, a.id, a.status)
	}
	return text
}

// startOrders lets engines refuse requests of orders and write copies of the refusals, and starts clients that come back.
func (w *workload) startOrders(random *rand.Rand) {
	w.system.setRefusals(drawRefusals(rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))))
	for range orderClients {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		w.clientLoops.Go(func() {
			client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(orderInterval):
				}
				o := w.sendUntilNotRefused(client, own)
				w.mu.Lock()
				w.orders = append(w.orders, o)
				w.mu.Unlock()
			}
		})
	}
}

// sendUntilNotRefused sends a request until no try is refused or maxOrderTries is reached, under the ID of the refused try
// or a new one, at the same instance or another one. It does not wait for the time of Retry-After, as some clients do not.
func (w *workload) sendUntilNotRefused(client *http.Client, random *rand.Rand) order {
	paths := []string{standin.NonIdempotentPath, standin.StreamPath, standin.NonIdempotentPath, standin.StreamPath, standin.ResumePath, standin.IdempotentPath}
	path := paths[random.IntN(len(paths))]
	id, entry := orderPrefix+w.newID(), random.IntN(entryInstances)
	o := order{overlapping: random.IntN(6) == 0}
	for len(o.tries) < maxOrderTries {
		first := w.newTry(path, id)
		second := w.newTry(path, id)
		other, delay := random.IntN(entryInstances), time.Duration(random.IntN(60))*time.Millisecond
		var both sync.WaitGroup
		both.Go(func() { _ = w.sendTry(client, w.system.entries()[entry], &first) }) // a failure leaves the status 0
		if o.overlapping {
			time.Sleep(delay)
			both.Go(func() { _ = w.sendTry(client, w.system.entries()[other], &second) })
		}
		both.Wait()
		o.tries = append(o.tries, first)
		refused := platform.PromisesNotExecuted(first.status)
		if o.overlapping {
			o.tries = append(o.tries, second)
			refused = refused && platform.PromisesNotExecuted(second.status)
		}
		if !refused {
			return o
		}
		time.Sleep(time.Duration(20+random.IntN(120)) * time.Millisecond)
		if random.IntN(3) == 0 {
			id = orderPrefix + w.newID()
		}
		if random.IntN(3) == 0 {
			entry = random.IntN(entryInstances)
		}
	}
	return o
}

// drawRefusals returns a function that draws whether and how an engine refuses a request.
func drawRefusals(random *rand.Rand) func(*http.Request) *standin.Refusal {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}
	var mu sync.Mutex
	oneIn := func(n int) bool { return random.IntN(n) == 0 }
	drawForm := func() standin.Form {
		f := standin.Form{Pieces: oneIn(6), Interim: oneIn(6), NoLength: oneIn(8)}
		if oneIn(4) {
			f.Body = "busy"
		}
		return f
	}
	return func(r *http.Request) *standin.Refusal {
		mu.Lock()
		defer mu.Unlock()
		if !strings.HasPrefix(r.Header.Get(platform.HeaderAttempt), orderPrefix) || oneIn(2) {
			return nil
		}
		refusal := &standin.Refusal{Status: statuses[random.IntN(len(statuses))], Form: drawForm()}
		copies := 1
		if oneIn(4) {
			copies += 1 + random.IntN(2)
		}
		when, after, delay := standin.CopyTime(random.IntN(3)), 0, time.Duration(0)
		if oneIn(3) {
			after = 1 + random.IntN(4)
		}
		if oneIn(2) {
			delay = time.Duration(random.IntN(60)) * time.Millisecond
		}
		for range copies {
			refusal.Copies = append(refusal.Copies, standin.Copy{When: when, After: after, Delay: delay, Form: drawForm()})
		}
		return refusal
	}
}

// copyRefusals checks that each copy of a refusal costs at most one request while there is no other fault.
func copyRefusals(s *system, w *workload) {
	w.mu.Lock()
	finished := len(w.attempts)
	w.mu.Unlock()
	time.Sleep(copyTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	failed := 0
	for _, a := range w.attempts[finished:] {
		if a.status != http.StatusOK && !platform.PromisesNotExecuted(a.status) {
			failed++
		}
	}
	counts := s.copyCounts()
	w.t.Logf("%d of %d requests failed beside %d copies of refusals, %d orders", failed, len(w.attempts)-finished, counts.Copies, len(w.orders))
	if counts.Copies == 0 || failed > counts.Copies {
		w.t.Errorf("%d requests failed beside %d copies of refusals", failed, counts.Copies)
	}
}

// checkOrders checks that orders did not run again, by their tries and by the IDs that these had.
func (w *workload) checkOrders(runs map[string]int) {
	for _, o := range w.orders {
		if !o.tries[0].isNonIdempotent() {
			continue
		}
		byTry, notRefused, notRefusedByID := 0, 0, map[string]int{}
		for _, a := range o.tries {
			byTry += runs[a.try]
			notRefusedByID[a.id] += 0
			if !platform.PromisesNotExecuted(a.status) {
				notRefused++
				notRefusedByID[a.id]++
			}
		}
		if byTry > notRefused || !o.overlapping && byTry > 1 {
			w.t.Errorf("order ran %d times: %v", byTry, o)
		}
		for id, most := range notRefusedByID {
			if runs[id] > most {
				w.t.Errorf("%s ran %d times, %d tries under it were not refused: %v", id, runs[id], most, o)
			}
		}
	}
}

func (w *workload) newTry(path, id string) attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastTry++
	return attempt{id: id, path: path, key: standin.WorkspaceKey, sent: time.Now(), try: fmt.Sprint("try-", w.lastTry)}
}

func (s *system) setRefusals(refuse func(*http.Request) *standin.Refusal) {
	s.refuse = refuse
	for _, e := range s.engines {
		e.SetRefusals(refuse)
	}
}

// copyCounts returns the sum of the counts of all engines.
func (s *system) copyCounts() (sum standin.CopyCounts) {
	for _, e := range append(append([]*standin.Engine{}, s.engines...), s.crashedEngines...) {
		counts := e.CopyCounts()
		sum.Connections += counts.Connections
		sum.Copies += counts.Copies
		sum.Returns += counts.Returns
	}
	return sum
}
