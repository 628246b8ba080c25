// Package soak runs the real programs as separate processes on loopback addresses, injects faults into them
// and into the connections between them, and checks the guarantees of the system from what callers, engines
// and operators observe.
//
//	go test ./soak -run TestSoak -seed 7 -for 60s
//
// It does not cover changes of the system clock, which need privileges that tests do not have. Disks fail by a limit
// on the size of files; the tests of package journal cover other failures in process.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/platform/standin"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the faults and of the load")
	duration = flag.Duration("for", 8*time.Second, "how long faults are injected")
	seeds    = flag.Int("seeds", 1, "number of seeds, from -seed on")
	keep     = flag.String("keep", "", "folder for the logs of runs that fail")
)

// regressions are the seeds that once failed, each with the cause of its failure.
var regressions = []struct {
	seed  uint64
	run   func(t *testing.T, seed uint64, duration time.Duration)
	cause string
}{
	{211, runFaults, "the harness started a process twice when a kill overlapped with a planned stop of it"},
	{5, runFaults, "the harness lost a second disk 6 s after the first, whose replica had not rejoined under further faults"},
	{4000, runDeadlyRequest, "each request that an engine lost after its crash counted as a crash, so that a sound request was blocked"},
	{4001, runFaults, "an entry instance counted crashes while an allocator saw the responses in between"},
	{5009, runDeadlyRequest, "a sound request was blocked after a change of allocator, as in 5101"},
	{5101, runDeadlyRequest, "a new allocator had seen the losses of a sound request only, not those of the one at fault"},
	{5110, runDeadlyRequest, "a crash by a blocked request counted for a sound one"},
	{6012, runDeadlyRequest, "a new allocator did not know that it was new, and missed the late report of a loss"},
}

const (
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second // time from the repair of the last fault until all entry instances serve
	clientCount     = 12
)

// TestSoak guards against violated guarantees under kills, freezes, restarts, lost disks, copies of refusals, and
// connections that are delayed, reset, or stalled in one or both directions, in any order and at the same time.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		runSeed(t, *seed+uint64(i), *duration)
	}
}

// TestRegressions guards against the return of faults that earlier runs of the soak test found. It repeats
// their seeds.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Log(r.cause)
		r.run(t, r.seed, *duration)
	}
}

// runSeed lets engines copy refusals while the faults of a seed are injected.
func runSeed(t *testing.T, seed uint64, duration time.Duration) {
	runPhases(t, seed, func(s *system, w *workload) {
		w.startOrders(rand.New(rand.NewPCG(seed, 7)))
		copyRefusals(s, w)
		injectAll(s, w, seed, duration)
	})
}

// runFaults injects the faults of a seed without copies of refusals.
func runFaults(t *testing.T, seed uint64, duration time.Duration) {
	runPhases(t, seed, func(s *system, w *workload) { injectAll(s, w, seed, duration) })
}

// injectAll injects the faults of a seed for the given duration, and those of the other phases.
func injectAll(s *system, w *workload, seed uint64, duration time.Duration) {
	injectFaults(s, w, rand.New(rand.NewPCG(seed, 1)), duration)
	limitRates(s, w, rand.New(rand.NewPCG(seed, 3)))
	refuseWrites(s, w, rand.New(rand.NewPCG(seed, 6)))
	repeatDeadlyRequest(s, w, rand.New(rand.NewPCG(seed, 4)))
	injectHerds(s, w, rand.New(rand.NewPCG(seed, 2)))
}

// runDeadlyRequest repeats a request that crashes engines without other faults.
func runDeadlyRequest(t *testing.T, seed uint64, _ time.Duration) {
	runPhases(t, seed, func(s *system, w *workload) { repeatDeadlyRequest(s, w, rand.New(rand.NewPCG(seed, 4))) })
}

// runPhases starts a system, runs the phases of a seed under load and checks the guarantees.
func runPhases(t *testing.T, seed uint64, phases func(*system, *workload)) {
	t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
		folder := t.TempDir()
		s := newSystem(t, folder)
		defer s.close()
		defer keepLogs(t, folder, fmt.Sprint("seed-", seed))
		for _, p := range s.processes {
			s.start(p, true)
		}
		w := newWorkload(t, s, seed)
		w.waitFor("service", startTimeout, w.isServing)
		w.startLoad(clientCount)
		w.startTakeUps(rand.New(rand.NewPCG(seed, 5)))
		phases(s, w)
		repaired := time.Now()
		w.waitFor("service after the faults", recoveryTimeout, w.isServing)
		t.Logf("seed %d: all entry instances serve %v after the last repair; %s", seed, time.Since(repaired).Round(time.Millisecond), w.summary())
		w.stopAndCheck()
		if text := s.crashReport(); text != "" {
			t.Error("a process exited unexpectedly: ", text)
		}
	})
}

// keepLogs copies the folder of a failed run to a folder of the given name in that of the flag -keep.
func keepLogs(t *testing.T, folder, name string) {
	if !t.Failed() || *keep == "" {
		return
	}
	target := filepath.Join(*keep, name)
	if err := os.CopyFS(target, os.DirFS(folder)); err != nil {
		t.Log("copying the logs failed: ", err)
	}
}

// injectFaults injects faults that overlap in time, then repairs all of them and starts the processes that
// are stopped.
func injectFaults(s *system, w *workload, random *rand.Rand, duration time.Duration) {
	deadline := time.Now().Add(duration)
	var lost *process // the control instance that lost its disk most recently
	for time.Now().Before(deadline) {
		faultDuration := time.Duration(300+random.IntN(2500)) * time.Millisecond
		switch random.IntN(10) {
		case 0, 1: // kill of a process
			p := s.processes[random.IntN(len(s.processes))]
			if !p.reserve() {
				continue
			}
			p.stop(syscall.SIGKILL)
			s.scheduleRepair(faultDuration/3, func() { s.restart(p) })
		case 2: // planned stop of an entry instance
			p := s.entries()[random.IntN(entryInstances)]
			if !p.reserve() {
				continue
			}
			w.runInBackground(func() {
				p.stop(syscall.SIGTERM)
				s.restart(p)
			})
			faultDuration = time.Second
		case 3: // freeze of a process
			p := s.processes[random.IntN(len(s.processes))]
			p.signal(syscall.SIGSTOP)
			s.scheduleRepair(faultDuration, func() { p.signal(syscall.SIGCONT) })
		case 4: // loss of the disk of a control instance
			p := s.control()[random.IntN(controlInstances)]
			if lost != nil && !lost.isVoter() {
				continue // Only one disk may be lost at a time. It counts as lost until its replica is a voter again.
			}
			if !p.reserve() {
				continue
			}
			p.stop(syscall.SIGKILL)
			s.must(p.deleteData())
			s.restart(p)
			lost = p
		case 5, 6: // fault of some connections between processes
			f := fault(1 + random.IntN(4))
			for _, link := range s.linkProxies {
				if random.IntN(5) == 0 {
					link.setFault(f)
					s.scheduleRepair(faultDuration, func() { link.setFault(faultNone) })
				}
			}
		case 7: // fault of the connections to an engine
			engineProxy := s.engineProxies[random.IntN(len(s.engineProxies))]
			engineProxy.setFault(fault(1 + random.IntN(4)))
			s.scheduleRepair(faultDuration, func() { engineProxy.setFault(faultNone) })
		case 8: // fault of an engine
			index := random.IntN(len(s.engines))
			e, f := s.engines[index], standin.Fault(1+random.IntN(7))
			if f == standin.FaultError && index%2 == 1 { // no draw of its own, which would change what the kept seeds play
				f = standin.FaultUnmarked
			}
			e.SetFault(f)
			s.scheduleRepair(faultDuration, func() { e.SetFault(standin.FaultNone) })
		case 9: // change of the configuration
			w.replaceConfiguration(random.IntN(3) == 0)
		}
		time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
	}
	s.waitForRepairs()
	w.backgroundTasks.Wait()
	for _, p := range s.processes {
		p.mu.Lock()
		running := p.shouldRun
		p.mu.Unlock()
		if !running {
			s.start(p, false)
		}
	}
}

// limitRates lets some engines state rate limits while control instances are killed and frozen, so that the allocator
// changes, and checks that the engines get no more requests. It has random numbers of its own.
func limitRates(s *system, w *workload, random *rand.Rand) {
	const limitedTime = 5 * time.Second
	perSecond := 1 + 5*random.Float64()
	limited := []*standin.Engine{s.engines[random.IntN(modelEngines)], s.engines[modelEngines+random.IntN(plainEngines)]}
	if random.IntN(3) == 0 {
		limited = s.engines
	}
	for _, e := range limited {
		e.SetRateLimit(perSecond)
	}
	start := time.Now().Add(standin.RateLimitNoticed)
	deadline := time.Now().Add(limitedTime)
	for time.Now().Before(deadline) {
		p := s.control()[random.IntN(controlInstances)]
		pause := time.Duration(100+random.IntN(900)) * time.Millisecond
		switch random.IntN(3) {
		case 0:
			if p.reserve() {
				p.stop(syscall.SIGKILL)
				s.scheduleRepair(pause, func() { s.restart(p) })
			}
		case 1:
			p.signal(syscall.SIGSTOP)
			s.scheduleRepair(pause, func() { p.signal(syscall.SIGCONT) })
		}
		time.Sleep(pause)
	}
	end := time.Now()
	for _, e := range limited {
		e.SetRateLimit(0)
		most := e.MostArrivals(standin.RateLimitWindow, start, end)
		if permitted := standin.PermittedArrivals(perSecond); float64(most) > permitted {
			w.t.Errorf("%s states %.1f requests a second and got %d in %v, %.1f are permitted", e.ID, perSecond, most, standin.RateLimitWindow, permitted)
		}
	}
	s.waitForRepairs()
	w.waitFor("service after rate limits", recoveryTimeout, w.isServing)
}

// repeatDeadlyRequest sends a request that crashes the engines of the plain service again and again at all entry
// instances, kills or freezes a control instance meanwhile, and checks that the request stops reaching engines. It has
// random numbers of its own.
func repeatDeadlyRequest(s *system, w *workload, random *rand.Rand) {
	const (
		contactTime    = 3 * time.Second // after the third crash, within which all instances must have reacted
		repeatedTime   = 7 * time.Second
		permittedSends = 3
		path           = standin.IdempotentPath + "deadly-"
	)
	s.setDeadlyPath(path + "x")
	begin := time.Now()
	changeAt := begin.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
	for number := 0; time.Since(begin) < repeatedTime; number++ {
		entry := s.entries()[number%entryInstances]
		w.runInBackground(func() {
			_, _ = w.send(&http.Client{Timeout: requestTimeout}, entry, path, standin.WorkspaceKey, w.newID()) // it fails
		})
		if !changeAt.IsZero() && time.Now().After(changeAt) {
			changeAt = time.Time{}
			p := s.control()[random.IntN(controlInstances)]
			if pause := 800 * time.Millisecond; random.IntN(2) == 0 && p.reserve() {
				p.stop(syscall.SIGKILL)
				s.scheduleRepair(pause, func() { s.restart(p) })
			} else {
				p.signal(syscall.SIGSTOP)
				s.scheduleRepair(pause, func() { p.signal(syscall.SIGCONT) })
			}
		}
		s.restartCrashedEngines()
		time.Sleep(time.Duration(100+random.IntN(200)) * time.Millisecond)
	}
	w.backgroundTasks.Wait()
	s.waitForRepairs()
	crashes, late := s.deadlyArrivals(contactTime)
	if len(crashes) == 0 || late > permittedSends {
		w.t.Errorf("%d crashes; a request reached engines %d times later than %v after the third one, %d are permitted", len(crashes), late, contactTime, permittedSends)
	}
	s.setDeadlyPath("")
	w.waitFor("engines after crashes", recoveryTimeout, s.restartCrashedEngines)
	w.waitFor("service after crashes", recoveryTimeout, w.isServing)
}

// refuseWrites refuses the writes of control instances, of several at once too, kills some of them meanwhile, and checks
// that all take part in the log afterwards. It has random numbers of its own.
func refuseWrites(s *system, w *workload, random *rand.Rand) {
	const refusedTime = 4 * time.Second
	for deadline := time.Now().Add(refusedTime); time.Now().Before(deadline); {
		p := s.control()[random.IntN(controlInstances)]
		pause := time.Duration(200+random.IntN(1200)) * time.Millisecond
		isKilled, atOnce := random.IntN(4) == 0, random.IntN(3) == 0
		if !p.reserve() {
			time.Sleep(pause / 4)
			continue
		}
		s.setWritesRefused(p, true)
		if isKilled {
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			p.stop(syscall.SIGKILL)
			s.start(p, false)
			s.setWritesRefused(p, true)
		}
		w.runInBackground(func() { w.replaceConfiguration(false) })
		s.scheduleRepair(pause, func() {
			s.setWritesRefused(p, false)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.reserved = false
		})
		if !atOnce {
			time.Sleep(pause)
		}
	}
	s.waitForRepairs()
	w.backgroundTasks.Wait()
	w.waitFor("replicas after refused writes", recoveryTimeout, func() bool {
		for _, p := range s.control() {
			if !p.isVoter() {
				return false
			}
		}
		return true
	})
	w.waitFor("service after refused writes", recoveryTimeout, w.isServing)
}

// injectHerds injects faults that hit all processes or engines of one kind at once, one after the other: all entry
// instances or all control instances are killed, or all engines refuse requests and ask for a rest. It has random
// numbers of its own, so that the faults before it stay the same for a seed.
func injectHerds(s *system, w *workload, random *rand.Rand) {
	killAll := func(processes []*process) {
		for _, p := range processes {
			if p.reserve() {
				p.stop(syscall.SIGKILL)
				s.scheduleRepair(time.Duration(random.IntN(400))*time.Millisecond, func() { s.restart(p) })
			}
		}
	}
	for _, herd := range random.Perm(3) {
		switch herd {
		case 0:
			killAll(s.entries())
		case 1:
			killAll(s.control())
		case 2:
			for _, e := range s.engines {
				e.SetFault(standin.FaultRest)
				s.scheduleRepair(500*time.Millisecond, func() { e.SetFault(standin.FaultNone) })
			}
		}
		s.waitForRepairs()
		w.waitFor("service after a herd", recoveryTimeout, w.isServing)
	}
}

// scheduleRepair runs the repair of a fault after a delay. waitForRepairs waits for it.
func (s *system) scheduleRepair(delay time.Duration, repair func()) {
	s.pendingRepairs.Add(1)
	time.AfterFunc(delay, func() {
		defer s.pendingRepairs.Done()
		repair()
	})
}

// waitForRepairs waits until the repairs of all faults have run.
func (s *system) waitForRepairs() { s.pendingRepairs.Wait() }
