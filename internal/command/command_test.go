package command_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/command"
)

// Guards against an unknown command that exits with the code of success.
func TestUnknownCommandIsUsageError(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	is.Equal(command.Main([]string{"nothing"}, &stdout, &stderr), command.ExitUsage)
	is.Equal(command.Main([]string{"version"}, &stdout, &stderr), command.ExitSuccess)
}

// Guards against a demo in which a request gets an incomplete response or runs twice, and against a report of
// success by a demo that sent no requests.
func TestDemoPasses(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	is.Equal(command.Main([]string{"demo", "-duration", "500ms", "-json"}, &stdout, &stderr), command.ExitSuccess)
	var report struct {
		Groups []struct{ Sent, Whole int }
	}
	is.NoErr(json.Unmarshal(stdout.Bytes(), &report))
	is.True(len(report.Groups) > 0)
	for _, group := range report.Groups {
		is.Equal(group.Whole, group.Sent)
	}
}

// Guards against a usage text that is printed twice for a wrong flag.
func TestWrongFlagPrintsUsageOnce(t *testing.T) {
	for _, name := range []string{"demo", "explain", "edge", "run", "check-platform"} {
		is := is.New(t)
		var stdout, stderr bytes.Buffer
		is.Equal(command.Main([]string{name, "-no-such-flag"}, &stdout, &stderr), command.ExitUsage)
		is.Equal(strings.Count(strings.ToLower(stderr.String()), "usage"), 1)
	}
}
