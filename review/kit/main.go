// Command kit plays the scripts of the review. It starts the programs of the deploy file as separate processes on
// loopback addresses, in front of stand-ins for clients, engines, the operator and the platform's list of engines.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxDuration bounds a script.
const maxDuration = 110 * time.Second

// play plays a case. It returns whether the rule was broken.
type play func(s *system, r *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"replay":  playReplay,
	"roll":    playRoll,
	"stop":    playStop,
	"upgrade": playUpgrade,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func playCase(p play, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit:", err)
		return exitNotRun
	}
	defer r.close()
	s, err := newSystem(r)
	if err != nil {
		r.printf("could not run: %v", err)
		return exitNotRun
	}
	defer s.stop()
	giveUp := func(why string) {
		r.printf("could not run: %s", why)
		s.stop()
		r.close()
		os.Exit(exitNotRun)
	}
	watchdog := time.AfterFunc(maxDuration, func() { giveUp("it took longer than " + maxDuration.String()) })
	defer watchdog.Stop()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	defer context.AfterFunc(ctx, func() { giveUp("it was ended from outside") })()
	r.printf("disruption: %v", trouble)
	broken, err := p(s, r, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("the rule was broken")
		return exitBroken
	}
	r.printf("the rule held")
	return exitHeld
}
