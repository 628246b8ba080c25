// Package e2e tests clusters of instances and stand-in engines that run as separate processes on loopback
// ports.
package e2e

import (
	"os"
	"testing"

	"github.com/primrosebeam/primrosebeam/internal/command"
	"github.com/primrosebeam/primrosebeam/internal/standin"
)

// processRoleVariable is the environment variable that selects the program which a process started from
// the test binary runs.
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
