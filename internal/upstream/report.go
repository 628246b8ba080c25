package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxReportBytes is the maximum size of a load report, a lifecycle response or a batch of cache events.
const maxReportBytes = 1 << 20

// Load is the load that an engine reports.
type Load struct {
	Running int
	Waiting int
	KVUsed  float64 // fraction of the KV cache in use, 0 to 1
	At      time.Time
}

// Lifecycle is the lifecycle state that an engine reports.
type Lifecycle struct {
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"` // the engine accepts no more requests
}

// CacheBatch is a batch of consecutive changes of an engine's prefix cache.
type CacheBatch struct {
	First   uint64        `json:"first"` // sequence number of the first change
	Changes []CacheChange `json:"changes"`
}

// CacheChange is one change of an engine's prefix cache. Blocks are identified by their hashes.
type CacheChange struct {
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	Cleared bool     `json:"cleared,omitempty"`
}

// ReportError reports a malformed response from an engine's control interface.
type ReportError struct {
	Engine string
	Path   string
	Cause  error
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("upstream: malformed report %s from engine %q: %v", e.Path, e.Engine, e.Cause)
}

func (e *ReportError) Unwrap() error { return e.Cause }

// FetchLoad reads the engine's Prometheus metrics. Errors: those of Do, *StatusError, *ReportError.
func (c *Client) FetchLoad(ctx context.Context, engine, baseURL string) (Load, error) {
	body, err := c.fetch(ctx, engine, baseURL, pathMetrics, "")
	if err != nil {
		return Load{}, err
	}
	defer body.Close()
	load := Load{At: time.Now()}
	limited := &io.LimitedReader{R: body, N: maxReportBytes + 1}
	lines := bufio.NewScanner(limited)
	for lines.Scan() {
		load.parseLine(lines.Text())
	}
	err = lines.Err()
	if err == nil && limited.N <= 0 {
		err = &TooLargeError{Limit: maxReportBytes}
	}
	if err != nil {
		return Load{}, &ReportError{Engine: engine, Path: pathMetrics, Cause: err}
	}
	return load, nil
}

// parseLine sets the value of a metrics line that reports load and ignores other lines.
func (l *Load) parseLine(line string) {
	fields := strings.Fields(line)
	if len(fields) < 2 || strings.HasPrefix(line, "#") {
		return
	}
	value, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(fields[0], "{")
	switch {
	case strings.HasSuffix(name, "num_requests_running"):
		l.Running = int(value)
	case strings.HasSuffix(name, "num_requests_waiting"):
		l.Waiting = int(value)
	case strings.HasSuffix(name, "cache_usage_perc"):
		l.KVUsed = value
	}
}

// FetchLifecycle reads the engine's lifecycle state. Errors: those of Do, *StatusError, *ReportError.
func (c *Client) FetchLifecycle(ctx context.Context, engine, baseURL string) (Lifecycle, error) {
	var lifecycle Lifecycle
	err := c.fetchJSON(ctx, engine, baseURL, pathLifecycle, "", &lifecycle)
	return lifecycle, err
}

// FetchCacheEvents reads the cache changes that start at sequence number first. Errors: those of Do,
// *StatusError, *ReportError.
func (c *Client) FetchCacheEvents(ctx context.Context, engine, baseURL string, first uint64) (CacheBatch, error) {
	var batch CacheBatch
	err := c.fetchJSON(ctx, engine, baseURL, pathCacheEvents, fmt.Sprintf("?first=%d", first), &batch)
	return batch, err
}

func (c *Client) fetchJSON(ctx context.Context, engine, baseURL, path, query string, into any) error {
	body, err := c.fetch(ctx, engine, baseURL, path, query)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxReportBytes)).Decode(into); err != nil {
		return &ReportError{Engine: engine, Path: path + query, Cause: err}
	}
	return nil
}

// fetch returns the body of a report. A response to another call is discarded, and the report is read once more, on a
// new connection: to read it twice has no effect.
func (c *Client) fetch(ctx context.Context, engine, baseURL, path, query string) (io.ReadCloser, error) {
	response, err := c.get(ctx, engine, baseURL, path, query)
	var mismatch *MismatchError
	if errors.As(err, &mismatch) {
		response, err = c.get(ctx, engine, baseURL, path, query)
	}
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, &StatusError{Status: response.StatusCode}
	}
	return response.Body, nil
}

func (c *Client) get(ctx context.Context, engine, baseURL, path, query string) (*http.Response, error) {
	return c.send(ctx, &Request{
		Engine: engine, URL: baseURL, Method: http.MethodGet, Target: path + query, Header: http.Header{},
		ID: "call-" + strconv.FormatUint(c.calls.Add(1), 36),
	}, endpoint{url: baseURL, method: http.MethodGet, path: path})
}
