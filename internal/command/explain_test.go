package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var exampleLog = `  1.5 edge-1 {"level":"info","instance":"edge-1","number":7,"time":"2026-01-01T00:00:01.000Z","message":"configuration in force"}
not a line of this program
` + strings.Repeat("a line of another program that is longer than any of this one", maxLogLineBytes/32) + `
{"level":"warn","instance":"edge-1","from":"10.0.0.1","to":"10.0.0.2","time":"2026-01-01T00:00:02.000Z","message":"allocator changed"}
{"level":"warn","instance":"edge-2","id":"other","status":503,"reason":"overload","route":"r","time":"2026-01-01T00:00:03.000Z","message":"request"}
{"level":"warn","instance":"edge-1","id":"abc","status":503,"reason":"overload","route":"r","waiting":41,"time":"2026-01-01T00:00:03.500Z","message":"request"}
{"level":"info","instance":"edge-1","id":"ok","status":200,"reason":"answered","route":"r","time":"2026-01-01T00:00:04.000Z","message":"request"}
`

// Guards against a timeline that omits the request or the preceding state changes of its instance, or that
// includes other requests; and against a summary that counts completed requests as failed.
func TestExplain(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "edge.log")
	is.NoErr(os.WriteFile(path, []byte(exampleLog), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(runExplain([]string{"-id", "abc", path}, &stdout, &stderr), ExitSuccess)
	timeline := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	is.Equal(len(timeline), 3)
	is.True(strings.Contains(timeline[0], "configuration in force number=7"))
	is.True(strings.Contains(timeline[1], "allocator changed from=10.0.0.1 to=10.0.0.2"))
	is.True(strings.Contains(timeline[2], "reason=overload") && strings.Contains(timeline[2], "waiting=41"))

	stdout.Reset()
	is.Equal(runExplain([]string{"-summary", path}, &stdout, &stderr), ExitSuccess)
	is.True(strings.HasPrefix(stdout.String(), "3 requests, 2 not answered\n"))
	is.Equal(runExplain([]string{"-id", "missing", path}, &stdout, &stderr), ExitFailure)
	is.Equal(runExplain([]string{path}, &stdout, &stderr), ExitUsage)
}
