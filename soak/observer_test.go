package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id     string
	path   string
	key    string
	sent   time.Time
	status int // 0: no answer, or one that broke off
}

// observer plays clients and the operator, and checks what they and the engines see.
type observer struct {
	t          *testing.T
	system     *system
	random     *rand.Rand
	background sync.WaitGroup
	load       sync.WaitGroup
	stop       chan struct{}

	mu       sync.Mutex
	attempts []attempt
	number   int                  // newest configuration that was sent
	acked    int                  // newest configuration that was acknowledged
	content  map[int]string       // configurations by number
	keys     []string             // of the newest configuration
	revoked  map[string]time.Time // key to when its removal was acknowledged
	next     int
	answered int
}

const (
	askLimit     = 5 * time.Second
	operateLimit = time.Second
	revokeSlack  = 300 * time.Millisecond // between the clocks of this test
)

func newObserver(t *testing.T, s *system, seed uint64) *observer {
	return &observer{
		t: t, system: s, random: rand.New(rand.NewPCG(seed, 2)), stop: make(chan struct{}),
		content: map[int]string{}, keys: []string{standin.WorkspaceKey}, revoked: map[string]time.Time{},
	}
}

func (o *observer) await(what string, limit time.Duration, done func() bool) {
	o.t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			o.t.Fatalf("%s not reached within %v", what, limit)
		}
	}
}

// served reports whether each entry instance answers and the newest configuration is stored.
func (o *observer) served() bool {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	if acked == 0 {
		o.changeConfiguration(false)
		return false
	}
	client := &http.Client{Timeout: askLimit}
	for _, p := range o.system.entries() {
		status, _ := o.ask(client, p, standin.IdempotentPath, standin.WorkspaceKey, o.newID())
		if status != http.StatusOK {
			return false
		}
	}
	return true
}

func (o *observer) newID() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return fmt.Sprintf("attempt-%d", o.next)
}

func (o *observer) startLoad(clients int) {
	for range clients {
		random := rand.New(rand.NewPCG(o.random.Uint64(), 3))
		o.load.Go(func() { o.client(random) })
	}
}

// client sends one request after the other on kept connections.
func (o *observer) client(random *rand.Rand) {
	client := &http.Client{Timeout: askLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	paths := []string{standin.StreamPath, standin.ResumePath, standin.NonIdempotentPath, standin.IdempotentPath}
	for {
		select {
		case <-o.stop:
			return
		case <-time.After(time.Duration(20+random.IntN(100)) * time.Millisecond):
		}
		p := o.system.entries()[random.IntN(entryInstances)]
		o.mu.Lock()
		key := o.keys[random.IntN(len(o.keys))]
		if len(o.revoked) > 0 && random.IntN(10) == 0 {
			for key = range o.revoked {
				break
			}
		}
		o.mu.Unlock()
		status, _ := o.ask(client, p, paths[random.IntN(len(paths))], key, o.newID())
		if status == http.StatusOK {
			o.mu.Lock()
			o.answered++
			o.mu.Unlock()
		}
	}
}

// ask sends a request, checks that an answer that looks whole is its own whole answer, and records it.
func (o *observer) ask(client *http.Client, p *process, path, key, id string) (int, error) {
	a := attempt{id: id, path: path, key: key, sent: time.Now()}
	status, body, err := o.exchange(client, p, &a)
	if err == nil {
		a.status = status
	}
	o.mu.Lock()
	o.attempts = append(o.attempts, a)
	o.mu.Unlock()
	if err != nil || status != http.StatusOK {
		return status, err
	}
	want := standin.Response(id)
	if path == standin.StreamPath || path == standin.ResumePath {
		want = ""
		for number := 1; number <= streamEvents; number++ {
			want += standin.Event(id, number)
		}
	}
	if body != want {
		o.t.Errorf("%s on %s: answer %q is not its own whole answer", id, path, body)
	}
	return status, nil
}

func (o *observer) exchange(client *http.Client, p *process, a *attempt) (status int, body string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+p.settings.Callers+a.path+"x", strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.GetBody = nil // each attempt has its own ID, so the client must not repeat it
	r.Host = standin.Host
	r.Header.Set(platform.HeaderAttempt, a.id)
	r.Header.Set(platform.HeaderAPIKey, a.key)
	r.Header.Set(platform.HeaderDeadline, "4000")
	r.Header.Set(platform.HeaderTokenCounts, "50,50")
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// changeConfiguration sends a new configuration to one control instance after the other until it is
// acknowledged, with another second key, and checks what is read back.
func (o *observer) changeConfiguration(revoke bool) {
	o.mu.Lock()
	o.number += 1 + o.random.IntN(3)
	number := o.number
	removed := ""
	if revoke && len(o.keys) > 1 {
		removed = o.keys[1]
	}
	o.keys = []string{standin.WorkspaceKey, fmt.Sprint("key-", number)}
	document := standin.Document(number, o.keys...)
	if removed == "" && number > 1 {
		removed = "-" // the former second key goes as well, without a check
	}
	o.content[number] = string(document)
	o.mu.Unlock()
	client := &http.Client{Timeout: operateLimit}
	for try := range 3 * controlInstances {
		p := o.system.control()[(number+try)%controlInstances]
		response, err := client.Post("http://"+p.settings.Operators+platform.PathReplace, "application/json", strings.NewReader(string(document)))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			o.mu.Lock()
			o.acked = max(o.acked, number)
			if removed != "" && removed != "-" {
				o.revoked[removed] = time.Now()
			}
			o.mu.Unlock()
			break
		}
	}
	o.readBack(client)
}

// readBack checks that no control instance gives out an older configuration than was acknowledged.
func (o *observer) readBack(client *http.Client) (newest int) {
	for _, p := range o.system.control() {
		o.mu.Lock()
		acked := o.acked
		o.mu.Unlock()
		response, err := client.Get("http://" + p.settings.Operators + platform.PathRead)
		if err != nil {
			continue
		}
		data, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			continue
		}
		o.mu.Lock()
		found := 0
		for number, content := range o.content {
			if content == string(data) {
				found = number
			}
		}
		o.mu.Unlock()
		if found == 0 || found < acked {
			o.t.Errorf("%s reads back configuration %d, %d was acknowledged", p.name, found, acked)
		}
		newest = max(newest, found)
	}
	return newest
}

func (o *observer) inBackground(f func()) { o.background.Go(f) }

func (o *observer) summary() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("%d requests, %d answered, configuration %d acknowledged", len(o.attempts), o.answered, o.acked)
}

// finish ends the load and compares what clients were told with what the engines ran.
func (o *observer) finish() {
	close(o.stop)
	o.load.Wait()
	time.Sleep(time.Second) // runs on their way
	if newest := o.readBack(&http.Client{Timeout: askLimit}); newest < o.acked {
		o.t.Errorf("configuration %d was acknowledged, %d is left", o.acked, newest)
	}
	runs := map[string]int{}
	for _, e := range o.system.engines {
		for _, r := range e.Runs() {
			runs[r.Attempt]++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answered == 0 {
		o.t.Error("no request was answered")
	}
	for _, a := range o.attempts {
		count := runs[a.id]
		once := a.path == standin.NonIdempotentPath || a.path == standin.StreamPath
		if once && count > 1 {
			o.t.Errorf("%s on %s ran %d times", a.id, a.path, count)
		}
		refused := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
		if once && refused && count > 0 {
			o.t.Errorf("%s on %s was answered %d and ran", a.id, a.path, a.status)
		}
		if at, gone := o.revoked[a.key]; gone && count > 0 && a.sent.After(at.Add(platform.DefaultBounds().RevocationTimeout+revokeSlack)) {
			o.t.Errorf("%s ran %v after its key was taken away", a.id, a.sent.Sub(at))
		}
	}
}
