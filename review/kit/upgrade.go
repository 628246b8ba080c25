package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	upgradeClients   = 12
	upgradeEvents    = 160
	upgradeBegun     = time.Second             // from the start of the streams to the listing of the added engines
	upgradeListed    = 2500 * time.Millisecond // until the added engines are known everywhere
	upgradeDown      = 100 * time.Millisecond
	upgradeGap       = 500 * time.Millisecond // between the restart of an added engine and the crash
	upgradeMixedMost = 2                      // of ORDER
)

// playUpgrade lets an engine, one of two that were added and are still idle, start again under its ID at the next
// software version. Half a second later the engine crashes that runs the streams. It counts the streams with events of
// both versions.
func playUpgrade(s *system, r *record, trouble bool) (broken bool, err error) {
	all := &runs{}
	start := func(number int) (*engine, error) {
		e, err := s.startEngine(number, modelService, firstVersion, all)
		if err == nil {
			e.interval = rollInterval
		}
		return e, err
	}
	busy, err := start(0)
	if err != nil {
		return false, err
	}
	if err := s.start(configurationDocument(3)); err != nil {
		return false, err
	}
	time.Sleep(rollPause)
	var clients sync.WaitGroup
	streams := make([]string, upgradeClients)
	for i := range upgradeClients {
		clients.Go(func() { streams[i] = readWholeStream(s, i, r) })
	}
	time.Sleep(upgradeBegun)
	added, err := start(1)
	if err != nil {
		return false, err
	}
	if _, err := start(2); err != nil {
		return false, err
	}
	time.Sleep(upgradeListed)
	if trouble {
		added.crash()
		time.Sleep(upgradeDown)
		added.version, added.listed.Version = nextVersion, nextVersion
		if err := added.start(); err != nil {
			return false, err
		}
		time.Sleep(upgradeGap)
		busy.crash()
	}
	clients.Wait()
	return judgeMixed(streams, r)
}

// readWholeStream sends a stream and takes it up, as often as clients do, until it is complete. It returns the events
// of all its tries.
func readWholeStream(s *system, client int, r *record) string {
	q := streamRequest(upgradeEvents)
	start := time.Now()
	a := sendOnce(s.edges[client%len(s.edges)], q, r)
	events := completeEvents(a.body)
	for try := 1; try <= takeUpTries && !a.complete && events != "" && time.Since(start) < streamDeadline; try++ {
		again := streamRequest(upgradeEvents, "Last-Event-Id: "+lastEventID(events), "Resumes: "+q.id)
		again.deadline = streamDeadline - time.Since(start)
		a = sendOnce(s.edges[(client+try)%len(s.edges)], again, r)
		if a.status == http.StatusOK {
			events += completeEvents(a.body)
			continue
		}
		a.complete = false // it was refused
		time.Sleep(a.retryAfter)
	}
	return events
}

// completeEvents returns the events of a body without a last one that is not complete.
func completeEvents(body string) string { return body[:strings.LastIndex("\n\n"+body, "\n\n")] }

func lastEventID(events string) string {
	all := strings.Split(strings.TrimSpace(events), "\n\n")
	id, _, _ := strings.Cut(strings.TrimPrefix(all[len(all)-1], "id: "), "\n")
	return id
}

func judgeMixed(streams []string, r *record) (broken bool, err error) {
	begun, mixed := 0, 0
	for i, events := range streams {
		old, next := strings.Count(events, "software "+firstVersion), strings.Count(events, "software "+nextVersion)
		if old+next > 0 {
			begun++
		}
		if old > 0 && next > 0 {
			mixed++
			r.printf("ORDER: stream of client %d holds %d events of %s and %d of %s", i, old, firstVersion, next, nextVersion)
		}
	}
	r.printf("%d streams began, %d of them hold events of two software versions", begun, mixed)
	if begun == 0 {
		return false, errors.New("no stream began")
	}
	return mixed > upgradeMixedMost, nil
}
