package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// RunRecord is a line of the run log: one request that an engine started to run. The run log is a file, so
// that it outlives the process of the engine.
type RunRecord struct {
	Engine string
	ID     string
	At     time.Time
	Work   string // identifies the request within a test: its body, or the path of a lookup
}

// withRunLog appends a line to the run log for each request before it passes the request to the next handler.
func withRunLog(path string, next http.Handler) (http.Handler, error) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("standin: run log: %w", err)
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
			line, _ := json.Marshal(RunRecord{Engine: filepath.Base(path), ID: r.Header.Get("X-Request-Id"), At: time.Now(), Work: work})
			mu.Lock()
			_, _ = file.Write(append(line, '\n'))
			mu.Unlock()
		}
		next.ServeHTTP(w, r)
	}), nil
}
