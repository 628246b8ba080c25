package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host          = "auftrag.example"
	key           = "i9n73hh2b9wu3fexd9dn"
	connectWithin = time.Second // clients allow a new connection one second
)

// Path prefixes of the routes of configurationDocument.
const (
	streamPath  = "/bericht/" // streaming, not to be resumed
	resumePath  = "/dossier/" // streaming, may be resumed
	bookingPath = "/buchung/" // unsafe
	statusPath  = "/status/"  // safe
)

// configurationDocument returns a configuration with one route of each kind.
func configurationDocument(version int) []byte {
	route := func(name, path, kind, service string, timeout, target, attempts int, resume bool) string {
		return fmt.Sprintf(`{"Name":%q,"Hostname":%q,"PathPrefix":%q,"RouteType":%q,"TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":1,`+
			`"Service":%q,"MaxAttempts":%d,"Anonymous":false,"SessionAffinity":%t,"StreamResume":%t,"GapTargetMs":400}`,
			name, host, path, kind, timeout, target, service, attempts, kind == "streaming", resume)
	}
	routes := strings.Join([]string{
		route("bericht", streamPath, "streaming", modelService, 12000, 600, 2, false),
		route("dossier", resumePath, "streaming", modelService, 12000, 600, 2, true),
		route("buchung", bookingPath, "unsafe", plainService, 1500, 100, 1, false),
		route("status", statusPath, "safe", plainService, 1500, 100, 2, false),
	}, ",")
	return fmt.Appendf(nil, `{"Version":%d,"RouteTable":[%s],"Backends":[`+
		`{"Name":%q,"HealthCheck":"/health","MaxConnections":360,"Protocol":"h1","Tls":false,"Engine":{"BatchSize":13,`+
		`"KvCapacity":773265,"KvBytes":327680,"BandwidthMbps":1100000.0,"Moves":false,"Backups":false,"Stride":6,"Models":[{"Name":"m"}]}},`+
		`{"Name":%q,"HealthCheck":"/health","MaxConnections":96,"Protocol":"h1","Tls":false}],`+
		`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},`+
		`"Tenants":[{"Name":"hule930","ApiKeys":[%q],"Priority":1,"Unit":"tokens","PlainTokens":200,"RatePerS":0,"Burst":0}]}`,
		version, routes, modelService, plainService, key)
}

// parseRetryAfter returns the time in seconds that a header states, or 0.
func parseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func newAttempt() string {
	id := make([]byte, 8)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// request is one attempt of a client.
type request struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	headers  []string // further header lines
}

// encode returns the bytes of the request.
func (q *request) encode() string {
	lines := []string{
		q.method + " " + q.path + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + q.id,
		fmt.Sprintf("X-Deadline-Ms: %d", q.deadline.Milliseconds()), "X-Key: " + key,
	}
	if q.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(q.body)))
	}
	return strings.Join(append(lines, q.headers...), "\r\n") + "\r\n\r\n" + q.body
}

// answer is what a client got for an attempt.
type answer struct {
	status   int // 0 if the connection ended before a status
	stamp    string
	body     string
	complete bool
	took     time.Duration
	err      error
	closes   bool // the answer announces the end of the connection
	// retryAfter is the time after which a refused client may come again, 0 if none was given.
	retryAfter time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, complete %t, after %d ms, error %v", a.status, a.stamp, len(a.body), a.complete,
		a.took.Milliseconds(), a.err)
}

// connection is a connection of a client. It sends each request once.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func connect(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.address, portFrontend), connectWithin)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer.
func (c *connection) send(q *request) answer {
	start := time.Now()
	a := c.exchange(q)
	a.took = time.Since(start)
	return a
}

// answerMargin is how long a client waits for an answer beyond its deadline.
const answerMargin = time.Second

func (c *connection) exchange(q *request) answer {
	if err := c.SetDeadline(time.Now().Add(q.deadline + answerMargin)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), body: string(body), complete: err == nil, err: err,
		closes: response.Close, retryAfter: parseRetryAfter(response.Header.Get("Retry-After")),
	}
}
