package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

const (
	takeUpClients  = 3
	maxTakeUps     = 3
	takeUpInterval = 60 * time.Millisecond
)

// engineVersion returns the software version of an engine: two versions serve side by side.
func engineVersion(i int) string { return fmt.Sprint("v", 1+i%2) }

// startTakeUps starts clients that break off streams, or whose streams break off, and that take them up at other
// instances.
func (w *workload) startTakeUps(random *rand.Rand) {
	for range takeUpClients {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		w.clientLoops.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(takeUpInterval):
				}
				w.takeUpUntilComplete(own)
			}
		})
	}
}

// takeUpUntilComplete requests a stream and takes it up until it is complete or maxTakeUps is reached.
func (w *workload) takeUpUntilComplete(random *rand.Rand) {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	first, received := "", 0
	var attempts []string
	for range 1 + maxTakeUps {
		id := w.newID()
		attempts = append(attempts, id)
		limit := streamEvents
		if random.IntN(2) == 0 {
			limit = 1 + random.IntN(4)
		}
		p := w.system.entries()[random.IntN(entryInstances)]
		count, status := w.receive(client, p, id, first, received, limit)
		if first == "" && count > 0 {
			first = id
		}
		received += count
		w.mu.Lock()
		w.attempts = append(w.attempts, attempt{id: id, path: standin.ResumePath, key: standin.WorkspaceKey, sent: time.Now(), status: status})
		w.mu.Unlock()
		if received >= streamEvents {
			break
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.streams = append(w.streams, attempts)
	if received >= streamEvents && len(attempts) > 1 {
		w.takenUp++
	}
}

// receive reads up to limit events of a stream, which takes up that of the attempt first after an event if first is not
// empty. It checks that the events are those that follow.
func (w *workload) receive(client *http.Client, p *process, id, first string, after, limit int) (count, status int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Callers+standin.ResumePath+"x", nil)
	if err != nil {
		w.t.Error(err)
		return 0, 0
	}
	r.Host = standin.Host
	r.Header.Set(platform.HeaderAttempt, id)
	r.Header.Set(platform.HeaderAPIKey, standin.WorkspaceKey)
	r.Header.Set(platform.HeaderDeadline, "4000")
	r.Header.Set(platform.HeaderTokenCounts, "50,50")
	if first != "" {
		r.Header.Set(platform.HeaderResumes, first)
		r.Header.Set(platform.HeaderLastEvent, strconv.Itoa(after))
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, response.StatusCode
	}
	in := bufio.NewReader(response.Body)
	event := ""
	for count < limit {
		line, err := in.ReadString('\n')
		event += line
		if err != nil {
			return count, 0 // broken off
		}
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		if want := standin.Event(id, after+count+1); event != want {
			w.t.Errorf("%s after event %d: %q instead of %q", id, after+count, event, want)
		}
		count++
		event = ""
	}
	return count, response.StatusCode
}

// checkVersions checks that each stream went on at the version that began it. runs holds the runs of each attempt by
// the version of their engine.
func (w *workload) checkVersions(runs map[string][]versionedRun) {
	for _, attempts := range w.streams {
		began, wentOn := map[string]bool{}, map[string]bool{}
		for _, id := range attempts {
			for _, run := range runs[id] {
				if run.fromEvent == 0 {
					began[run.version] = true
				} else {
					wentOn[run.version] = true
				}
			}
		}
		// A run that brought no event may have been at another version than the one that began the stream.
		if len(wentOn) > 1 || len(wentOn) == 1 && !contains(began, wentOn) {
			w.t.Errorf("stream of %v began at %v and went on at %v", attempts, began, wentOn)
		}
	}
}

// versionedRun is a run of an attempt.
type versionedRun struct {
	version   string
	fromEvent int
}

func contains(set, subset map[string]bool) bool {
	for key := range subset {
		if !set[key] {
			return false
		}
	}
	return true
}
