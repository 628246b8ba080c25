package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// run is one request that an engine started; the log of runs survives the engine.
type run struct {
	Engine string
	ID     string
	Work   string // what identifies the request among all of a test: body, or path of a lookup
}

// logRuns writes a line for each request before the handler sees it.
func logRuns(path string, next http.Handler) http.Handler {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost || strings.HasPrefix(r.URL.Path, "/status/") {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			work := string(body)
			if r.Method == http.MethodGet {
				work = r.URL.Path
			}
			line, _ := json.Marshal(run{Engine: filepath.Base(path), ID: r.Header.Get("X-Request-Id"), Work: work})
			mu.Lock()
			_, _ = file.Write(append(line, '\n'))
			mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

func (c *cluster) runLog(engine string) string { return filepath.Join(c.folder, engine+".runs") }

// runsOf returns every start of a piece of work on all engines, including engines that crashed.
func (c *cluster) runsOf(work string) []run {
	c.t.Helper()
	var runs []run
	for _, e := range c.engines {
		data, err := os.ReadFile(c.runLog(e.name))
		if err != nil {
			c.t.Fatal(err)
		}
		for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
			var r run
			if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
				c.t.Fatalf("run log of %s: %v", e.name, err)
			}
			if r.Work == work {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
