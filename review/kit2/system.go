// Command kit2 plays the cases 6 to 10 of the review: it starts the programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for the platform, the engines, the clients and the operator.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// record is what a case writes down: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, values...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// process is one process of the deploy file on its own loopback address.
type process struct {
	role     string
	settings *platform.Settings
	path     string // of the settings file
	log      *os.File
	command  *exec.Cmd
	exited   chan struct{}
}

// started holds all processes that were started, so that none outlives the case.
var started processes

type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

func (p *processes) add(started *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, started)
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.list {
		_ = process.Kill() // it may have ended
	}
}

// system is a small deployment.
type system struct {
	*record
	folder    string
	network   standin.Network
	directory *standin.Directory
	cores     []*process
	edges     []*process
	engines   []*standin.Engine
}

// roles are the commands of deploy/system.toml.
var roles = map[string]string{
	"edge": "target/primrosebeam edge -shared-key deploy/shared.key -features fair-shares",
	"core": "target/primrosebeam core -shared-key deploy/shared.key -features fair-shares",
}

// newSystem lays out control and entry instances in three zones, without starting them.
func newSystem(r *record, folder string, cores, edges int) (*system, error) {
	s := &system{record: r, folder: folder, network: standin.NewNetwork()}
	directory, err := standin.StartDirectory(s.network.Address(200) + ":8225")
	if err != nil {
		return nil, err
	}
	s.directory = directory
	for i := range cores + edges {
		role := "core"
		if i >= cores {
			role = "edge"
		}
		p := &process{role: role, path: filepath.Join(folder, fmt.Sprintf("settings-%d.json", i+1))}
		data := ""
		if role == "core" {
			data = filepath.Join(folder, fmt.Sprint("data-", i+1))
			if err := os.MkdirAll(data, 0o700); err != nil {
				return nil, err
			}
		}
		p.settings = s.network.Machine(i+1, cores, string(rune('a'+i%3)), directory.Address, data)
		p.settings.Limits = platform.MachineLimits{MemoryMB: 284, Descriptors: 4096}
		if p.log, err = os.Create(filepath.Join(folder, fmt.Sprintf("%s-%d.log", role, i+1))); err != nil {
			return nil, err
		}
		if role == "core" {
			s.cores = append(s.cores, p)
		} else {
			s.edges = append(s.edges, p)
		}
	}
	return s, nil
}

// start writes the settings of a process and starts it.
func (s *system) start(p *process) error {
	if err := standin.WriteSettings(p.path, p.settings); err != nil {
		return err
	}
	words := strings.Fields(roles[p.role])
	p.command = exec.Command(words[0], words[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + p.path}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	started.add(p.command.Process)
	s.printf("%s %s started", p.role, p.settings.Address)
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait() // the state is of no interest here
		close(exited)
	}()
	return nil
}

// kill ends a process with SIGKILL.
func (s *system) kill(p *process) {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill() // it may have ended
	<-p.exited
}

// stop ends all processes and stand-ins.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.cores...), s.edges...) {
		s.kill(p)
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.directory.Close()
}

// addEngine starts an engine of a service and lists it.
func (s *system) addEngine(machine int, service string, events int, work time.Duration) (*standin.Engine, error) {
	e, err := standin.StartEngine(placement.Engine{
		ID: fmt.Sprint("i-", machine), Service: service, Address: s.network.Address(machine) + ":8080",
		DataCentre: string(rune('a' + machine%3)), Slots: 8, Version: "v1", Born: time.Now().UnixMilli(),
	}, events, work)
	if err != nil {
		return nil, err
	}
	s.engines = append(s.engines, e)
	s.list()
	return e, nil
}

func (s *system) list() {
	var listed []placement.Engine
	for _, e := range s.engines {
		listed = append(listed, e.Engine)
	}
	s.directory.Set(listed)
}

var client = &http.Client{Timeout: time.Second}

// order sends a configuration to the control instances in turn until one acknowledges it.
func (s *system) order(document []byte, within time.Duration) error {
	deadline := time.Now().Add(within)
	var last error
	for i := 0; time.Now().Before(deadline); i++ {
		p := s.cores[i%len(s.cores)]
		response, err := client.Post("http://"+p.settings.Operators+platform.PathReplace, "application/json", bytes.NewReader(document))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body) // only the status counts
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.printf("configuration acknowledged by %s", p.settings.Address)
				return nil
			}
			err = errors.New(response.Status)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration not acknowledged: %w", last)
}

// awaitReady waits until the entry instances answer 200 to readiness checks.
func (s *system) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, p := range s.edges {
		for {
			response, err := client.Get("http://" + p.settings.Readiness + platform.PathReady)
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.settings.Address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "error " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.header.Get(platform.HeaderSignature), len(a.body))
}

// ask sends one request to an entry instance on a new connection.
func (s *system) ask(p *process, method, path, attempt, key, body string, header http.Header) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.settings.Callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Host = standin.Host
	r.Header.Set(platform.HeaderAttempt, attempt)
	r.Header.Set(platform.HeaderDeadline, strconv.Itoa(3000))
	if key != "" {
		r.Header.Set(platform.HeaderAPIKey, key)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// runsOf returns the runs of an attempt at all engines.
func (s *system) runsOf(attempt string) (runs []standin.Run) {
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			if run.Attempt == attempt {
				runs = append(runs, run)
			}
		}
	}
	return runs
}
