package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenario plays a case, with or without its disruption, and reports whether the rule was broken.
type scenario func(r *record, folder string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"revoke-last": revokeLast,
	"first-start": firstStart,
	"end-lost":    endLost,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 SCENARIO RECORD")
		return exitFailed
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	r := &record{file: file, began: time.Now()}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.printf("stopped from outside")
		started.killAll()
		os.Exit(exitFailed)
	}()
	broken, err := scenarios[args[0]](r, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		return exitFailed
	case broken:
		r.printf("BROKEN")
		return exitBroken
	}
	r.printf("held")
	return exitHeld
}
