package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// listEntry is an entry of the platform's list of engines.
type listEntry struct {
	InstanceId   string
	Service      string
	Address      string
	Zone         string
	Version      string
	BatchSize    int
	State        string
	WarmupLeftMs int
	Stage        string
	Models       []listModel `json:",omitempty"`
	Born         int64       `json:"born"` // Unix millisecond of the start
}

// States of a listed engine.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

type listModel struct {
	Name     string
	Version  int
	Adapters []string
}

// engineList stands in for the platform's list of engines.
type engineList struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	entries []listEntry
}

func startEngineList(address string) (*engineList, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &engineList{address: address}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// listLag is how much later than an engine changes the list shows it: MaxLagMs.
const listLag = 800 * time.Millisecond

// set adds an entry or replaces the one with its ID, after the lag of the list.
func (l *engineList) set(e listEntry) { time.AfterFunc(listLag, func() { l.setNow(e) }) }

// remove removes an entry, after the lag of the list.
func (l *engineList) remove(id string) { time.AfterFunc(listLag, func() { l.removeNow(id) }) }

func (l *engineList) setNow(e listEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isSame := func(other listEntry) bool { return other.InstanceId == e.InstanceId }
	if i := slices.IndexFunc(l.entries, isSame); i >= 0 {
		l.entries[i] = e
		return
	}
	l.entries = append(l.entries, e)
}

func (l *engineList) removeNow(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e listEntry) bool { return e.InstanceId == id })
}

// ServeHTTP answers GET /instances with one page.
func (l *engineList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		http.NotFound(w, r)
		return
	}
	zone := r.URL.Query().Get("Zone")
	page := struct {
		Instances []listEntry
		NextToken *string
	}{Instances: []listEntry{}}
	l.mu.Lock()
	for _, e := range l.entries {
		if zone == "" || zone == e.Zone {
			page.Instances = append(page.Instances, e)
		}
	}
	l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

func (l *engineList) close() { _ = l.server.Close() }
