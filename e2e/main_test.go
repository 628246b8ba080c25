// Package e2e tests instances and stand-in engines as separate processes on loopback ports.
package e2e

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/internal/command"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// environmentRole selects what a process started from the test binary does.
const environmentRole = "PRIMROSEBEAM_TEST_PROCESS"

func TestMain(m *testing.M) {
	switch os.Getenv(environmentRole) {
	case "":
		os.Exit(m.Run())
	case "primrosebeam":
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	case "standin":
		os.Exit(serveStandin(os.Args[1:]))
	}
}

func serveStandin(args []string) int {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	kind := flags.String("kind", "model", "model or plain")
	address := flags.String("address", "", "listening address")
	runLog := flags.String("runs", "", "file that receives one line for each request before it runs")
	interval := flags.Duration("interval", time.Millisecond, "time between tokens, or before a plain answer")
	if err := flags.Parse(args); err != nil {
		return command.ExitUsage
	}
	var engine standin.Engine = standin.NewModel(standin.ModelOptions{Name: *address, TokenInterval: *interval})
	if *kind == "plain" {
		engine = standin.NewPlain(*address, *interval)
	}
	handler := standin.WithControl(engine)
	if *runLog != "" {
		handler = logRuns(*runLog, handler)
	}
	if err := http.ListenAndServe(*address, handler); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return command.ExitFailed
}
