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

// RunRecord is one request that an engine started; the log of runs survives the engine.
type RunRecord struct {
	Engine string
	ID     string
	At     time.Time
	Work   string // what identifies the request among all of a test: body, or path of a lookup
}

// logRuns writes a line for each request before the handler sees it.
func logRuns(path string, next http.Handler) (http.Handler, error) {
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
