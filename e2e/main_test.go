// Package e2e tests instances and stand-in engines as separate processes on loopback ports.
package e2e

import (
	"os"
	"testing"

	"github.com/primrosebeam/primrosebeam/internal/command"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// environmentRole selects what a process started from the test binary does.
const processRoleVariable = "PRIMROSEBEAM_TEST_PROCESS"

func TestMain(m *testing.M) {
	switch os.Getenv(processRoleVariable) {
	case "":
		os.Exit(m.Run())
	case "primrosebeam":
		os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
	case "standin":
		os.Exit(standin.Main(os.Args[1:], os.Stderr))
	}
}
