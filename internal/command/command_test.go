package command_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/command"
)

// Guards against an unknown command that exits as if it had succeeded.
func TestUnknownCommandIsUsageError(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	is.Equal(command.Main([]string{"nothing"}, &stdout, &stderr), command.ExitUsage)
	is.Equal(command.Main([]string{"version"}, &stdout, &stderr), command.ExitDone)
}
