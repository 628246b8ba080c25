package main

import (
	"encoding/json"
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
)

const (
	plainService  = "auftrag"
	modelService  = "modell"
	firstVersion  = "v1"
	nextVersion   = "v2"
	plainSlots    = 6
	modelSlots    = 13
	queueLength   = 24
	plainWork     = 15 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	tokensOfEvent = 6
	engineIdle    = 10 * time.Second
)

// run is a request that an engine began to run.
type run struct {
	at     time.Time
	engine string
	id     string
	method string
	path   string
}

// runs holds the requests that all engines have run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(entry run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, entry)
}

// byID returns the runs of each request.
func (r *runs) byID() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]run{}
	for _, entry := range r.list {
		out[entry.id] = append(out[entry.id], entry)
	}
	return out
}

// engine stands in for an engine: one request at a time on a connection, a number of slots and a short queue.
type engine struct {
	id      string
	service string
	address string
	runs    *runs
	record  *record
	version string // of the software
	// interval is the time between two events of a stream.
	interval time.Duration
	listed   listEntry
	list     *engineList
	server   *http.Server
	slots    chan struct{}
	// leaving is set while the engine drains; it says so in all its answers.
	leaving atomic.Bool
	waiting atomic.Int64
	// lossShare is the share of the answers that are lost: the request runs, then its connection is reset.
	lossShare atomic.Pointer[float64]
	// silentUntil is the time until which the engine answers nothing.
	silentUntil atomic.Pointer[time.Time]
}

// startEngine starts an engine and lists it.
func (s *system) startEngine(number int, service, version string, all *runs) (*engine, error) {
	slots := plainSlots
	if service == modelService {
		slots = modelSlots
	}
	e := &engine{
		id: fmt.Sprintf("i-%s-%d", service, number), service: service, version: version, interval: eventInterval, runs: all,
		record: s.record, list: s.list, address: fmt.Sprintf("%s.%d:%d", s.prefix, firstEngine+number, portEngine),
		slots: make(chan struct{}, slots),
	}
	e.listed = listEntry{
		InstanceId: e.id, Service: service, Address: e.address, Zone: zoneName(number), Version: version, BatchSize: slots,
		State: stateReady, Stage: "both",
	}
	if service == modelService {
		e.listed.Models = []listModel{{Name: "m", Version: 1, Adapters: []string{}}}
	}
	return e, e.start()
}

// start starts the engine, also again under its ID, and lists it.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.leaving.Store(false)
	e.server = &http.Server{Handler: e, IdleTimeout: engineIdle}
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	e.listed.State, e.listed.Born = stateReady, time.Now().UnixMilli()
	e.list.set(e.listed)
	e.record.printf("engine %s (%s, %s) serves and is listed as ready, born %d", e.id, e.service, e.version, e.listed.Born)
	return nil
}

// drain lists the engine as draining. It goes on serving.
func (e *engine) drain() {
	e.leaving.Store(true)
	e.listed.State = stateDraining
	e.list.set(e.listed)
	e.record.printf("engine %s drains", e.id)
}

// crash ends the engine at once. It remains on the list.
func (e *engine) crash() {
	_ = e.server.Close()
	e.record.printf("engine %s has crashed", e.id)
}

// stop stops the engine and takes it off the list.
func (e *engine) stop() {
	_ = e.server.Close()
	e.list.remove(e.id)
	e.record.printf("engine %s has stopped", e.id)
}

// awaitVoice waits while the engine is silent.
func (e *engine) awaitVoice() {
	if until := e.silentUntil.Load(); until != nil {
		time.Sleep(time.Until(*until))
	}
}

// ServeHTTP implements the protocol of an engine.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Instance-Id", e.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(e.slots), e.waiting.Load(), cap(e.slots)))
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(engineIdle.Seconds())))
	if e.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/report" {
		e.report(w)
		return
	}
	if r.URL.Path == "/health" {
		if e.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h.Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !e.enter(r) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.runs.add(run{at: time.Now(), engine: e.id, id: id, method: r.Method, path: r.URL.Path})
	e.record.printf("engine %s runs %s (%s %s, %d bytes)", e.id, id, r.Method, r.URL.Path, len(body))
	e.awaitVoice()
	if share := e.lossShare.Load(); share != nil && rand.Float64() < *share {
		time.Sleep(plainWork)
		e.record.printf("engine %s has run %s, its answer is lost", e.id, id)
		reset(w)
		return
	}
	h.Set("X-Server-Stamp", "stamp."+e.id+"."+id)
	if e.service == modelService {
		e.stream(w, r)
		return
	}
	time.Sleep(plainWork)
	e.awaitVoice()
	answer := "answer to " + id
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// enter waits for a slot. It returns false if too many requests wait or the caller has left.
func (e *engine) enter(r *http.Request) bool {
	if e.waiting.Add(1) > queueLength {
		e.waiting.Add(-1)
		return false
	}
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream sends a stream of events, as many as the output tokens of the request ask for.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		tokens = tokensOfEvent
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	version := e.version
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	for number := from + 1; number <= (tokens+tokensOfEvent-1)/tokensOfEvent; number++ {
		select {
		case <-time.After(e.interval):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d software %s\n\n", number, r.Header.Get("X-Attempt-Id"), number, version)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (e *engine) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Stage": "both", "Models": []listModel{{Name: "m", Version: 1, Adapters: []string{}}}, "Busy": false, "Sequence": 0,
		"born":    e.listed.Born,
		"Waiting": e.waiting.Load(), "Running": len(e.slots), "KvUsed": 0, "KvTotal": 796921, "Handles": 0,
	})
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
