package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/platform/standin"
)

const (
	// acknowledgeTimeout is the time within which a change must be acknowledged that an operator repeats at one control
	// instance after the other.
	acknowledgeTimeout = 4500 * time.Millisecond
	changeInterval     = 500 * time.Millisecond
	// refusedTime is longer than several attempts of a replica to return to the log.
	refusedTime = 1500 * time.Millisecond
	// returnTimeout is the time within which an instance must be a voter of the log again, after which it counts again.
	returnTimeout = 4 * time.Second
)

// setWritesRefused limits the size of the files of a running process to 0 bytes, so that all writes to files fail with
// EFBIG, or removes the limit.
func (s *system) setWritesRefused(p *process, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if refused {
		limit.Cur = 0
	}
	s.must(unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// operator replaces the configuration again and again and notes which changes were not acknowledged in time.
type operator struct {
	system *system
	client http.Client

	mu           sync.Mutex
	number       int // of the newest change
	acknowledged int // number of the newest acknowledged change
	missed       []int
}

// replace sends the next configuration to one control instance after the other until it is acknowledged.
func (o *operator) replace() {
	o.mu.Lock()
	o.number++
	number := o.number
	o.mu.Unlock()
	content := standin.Document(number, standin.WorkspaceKey)
	for start, i := time.Now(), number; time.Since(start) < acknowledgeTimeout; i++ {
		address := o.system.control()[i%controlInstances].settings.Operators
		response, err := o.client.Post("http://"+address+platform.PathReplace, "application/json", bytes.NewReader(content))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				o.mu.Lock()
				o.acknowledged = max(o.acknowledged, number)
				o.mu.Unlock()
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	o.mu.Lock()
	o.missed = append(o.missed, number)
	o.mu.Unlock()
}

// run sends changes until ctx is cancelled.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.replace()
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
}

// checkRead reads the configuration at each control instance, which must not be older than the newest acknowledged one.
func (o *operator) checkRead(t *testing.T, when string) {
	t.Helper()
	o.mu.Lock()
	acknowledged := o.acknowledged
	o.mu.Unlock()
	for _, p := range o.system.control() {
		var version int
		var lastErr error
		for start := time.Now(); time.Since(start) < acknowledgeTimeout; time.Sleep(100 * time.Millisecond) {
			if version, lastErr = o.read(p); lastErr == nil {
				break
			}
		}
		if lastErr != nil || version < acknowledged {
			t.Errorf("%s: %s returned version %d (%v), version %d was acknowledged", when, p.name, version, lastErr, acknowledged)
		}
	}
}

func (o *operator) read(p *process) (version int, err error) {
	response, err := o.client.Get("http://" + p.settings.Operators + platform.PathRead)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	table, err := platform.DecodeDocument(body)
	if err != nil {
		return 0, err
	}
	return int(table.Number), nil
}

// startControl starts the control instances of a new system, with the first configuration in force and an operator who
// changes it until the returned function is called.
func startControl(t *testing.T) (s *system, o *operator, stop func()) {
	folder := t.TempDir()
	s = newSystem(t, folder)
	s.processes = s.control() // no others are started
	t.Cleanup(s.close)
	t.Cleanup(func() { keepLogs(t, folder, t.Name()) })
	for _, p := range s.control() {
		s.start(p, true)
	}
	o = &operator{system: s, client: http.Client{Timeout: 2 * time.Second}}
	s.waitForVoters(t, startTimeout)
	o.replace()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.run(ctx)
	}()
	return s, o, sync.OnceFunc(func() {
		cancel()
		<-done
	})
}

// waitForVoters waits until each control instance takes part in the log.
func (s *system) waitForVoters(t *testing.T, timeout time.Duration) {
	t.Helper()
	for _, p := range s.control() {
		for start := time.Now(); !p.isVoter(); time.Sleep(50 * time.Millisecond) {
			if time.Since(start) > timeout {
				t.Errorf("%s does not take part in the log %v after its writes succeed again", p.name, timeout)
				return
			}
		}
	}
}

func (o *operator) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	missed, number := o.missed, o.number
	o.mu.Unlock()
	if len(missed) > 0 {
		t.Errorf("%d of %d changes were not acknowledged within %v: %v", len(missed), number, acknowledgeTimeout, missed)
	}
	o.checkRead(t, "after the last change")
	if text := o.system.crashReport(); text != "" {
		t.Error("a process exited unexpectedly: ", text)
	}
}

// TestRefusedWritesOneAfterAnother guards against a control instance that takes no further part in the log after its
// writes were refused with an error other than that of a full disk: two of them leave the log without a quorum although
// all disks work.
func TestRefusedWritesOneAfterAnother(t *testing.T) {
	t.Parallel()
	s, o, stop := startControl(t)
	for range 2 {
		for _, p := range s.control() {
			s.setWritesRefused(p, true)
			time.Sleep(refusedTime)
			s.setWritesRefused(p, false)
			s.waitForVoters(t, returnTimeout)
		}
	}
	stop()
	for range 3 {
		o.replace()
	}
	o.check(t)
}

// TestRestartsWhileWritesAreRefused guards against a control instance that does not return if its process is killed, or
// starts for the first time, while its writes are refused.
func TestRestartsWhileWritesAreRefused(t *testing.T) {
	t.Parallel()
	s, o, stop := startControl(t)
	for i, p := range s.control() {
		s.setWritesRefused(p, true)
		time.Sleep(refusedTime / 2)
		p.stop(syscall.SIGKILL)
		if i == 1 { // its disk is lost as well
			s.must(p.deleteData())
		}
		s.start(p, false)
		s.setWritesRefused(p, true)
		time.Sleep(refusedTime)
		s.setWritesRefused(p, false)
		s.waitForVoters(t, returnTimeout)
	}
	stop()
	o.replace()
	o.check(t)
}

// TestAllKilledWhileWritesAreRefused guards against control instances that do not find each other again, or have lost what
// was acknowledged, when all processes are killed at once while all writes are refused.
func TestAllKilledWhileWritesAreRefused(t *testing.T) {
	t.Parallel()
	s, o, stop := startControl(t)
	time.Sleep(refusedTime)
	for _, p := range s.control() {
		s.setWritesRefused(p, true)
	}
	time.Sleep(refusedTime / 2)
	for _, p := range s.control() {
		p.stop(syscall.SIGKILL)
	}
	stop()
	for _, p := range s.control() {
		s.start(p, false)
		s.setWritesRefused(p, true)
	}
	time.Sleep(refusedTime)
	for _, p := range s.control() {
		s.setWritesRefused(p, false)
	}
	s.waitForVoters(t, returnTimeout)
	o.checkRead(t, "after the restart")
	o.mu.Lock()
	o.missed = nil // none can be acknowledged meanwhile
	o.mu.Unlock()
	for range 3 {
		o.replace()
	}
	o.check(t)
}
