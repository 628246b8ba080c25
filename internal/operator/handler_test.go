package operator_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
	"github.com/primrosebeam/primrosebeam/internal/operator"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const token = "operators-secret"

// fakeControl applies changes to a store and reports them as in force in every data centre but missingIn.
type fakeControl struct {
	store        *configuration.Store
	missingIn    []string
	err          error
	undetermined bool // reports every outcome as undetermined
}

func newControl() *fakeControl {
	return &fakeControl{store: configuration.NewStore(configuration.StoreOptions{})}
}

func (c *fakeControl) Submit(_ context.Context, change configuration.Change) (control.ChangeResult, error) {
	if c.err != nil {
		return control.ChangeResult{}, c.err
	}
	data, err := configuration.EncodeChange(change)
	if err != nil {
		return control.ChangeResult{}, err
	}
	switch applied := c.store.Apply(0, data).(type) {
	case configuration.Result:
		return c.changeResult(change.ID, applied), nil
	case error:
		return control.ChangeResult{}, applied
	}
	return control.ChangeResult{}, nil
}

func (c *fakeControl) changeResult(id string, result configuration.Result) control.ChangeResult {
	reported := control.ChangeResult{ChangeID: id, Version: result.Version, Faults: result.Faults}
	reported.Outcome = map[configuration.Status]control.Outcome{
		configuration.StatusAccepted: control.OutcomeAccepted,
		configuration.StatusConflict: control.OutcomeConflict,
		configuration.StatusInvalid:  control.OutcomeInvalid,
	}[result.Status]
	if reported.Outcome == control.OutcomeAccepted && len(c.missingIn) > 0 {
		reported.Outcome = control.OutcomeCommitted
		reported.MissingIn = c.missingIn
	}
	if c.undetermined {
		return control.ChangeResult{ChangeID: id, Outcome: control.OutcomeUndetermined}
	}
	return reported
}

func (c *fakeControl) Outcome(_ context.Context, id string) (control.ChangeResult, error) {
	result, known := c.store.Lookup(id)
	if !known {
		return control.ChangeResult{}, &control.UnknownChangeError{ChangeID: id}
	}
	return c.changeResult(id, result), nil
}

func (c *fakeControl) Status(context.Context) (control.Status, error) {
	version, _ := c.store.Current()
	instance := control.InstanceStatus{Name: "b1", DataCentre: "bern", Live: true, Version: version, Subscribed: true}
	return control.Status{
		Replica: "b1", Leader: "b1", Version: version, Instances: []control.InstanceStatus{instance},
		NotInForce: []string{"olten"}, Unreachable: []string{"olten"},
	}, nil
}

func (c *fakeControl) Current() (configuration.Version, *configuration.Document) {
	return c.store.Current()
}

func (c *fakeControl) UnreachableSince() (time.Time, bool) {
	return time.Unix(1e9, 0).UTC(), len(c.missingIn) > 0
}

func newHandler(t *testing.T, c operator.Control) *operator.Handler {
	t.Helper()
	h, err := operator.New(operator.Options{
		Instance: "b1", DataCentre: "bern", Token: token, Control: c,
		Ready: func() (bool, string) {
			version, _ := c.Current()
			return version > 0, "no configuration yet"
		},
		Dump: map[string]func() any{
			"scheduler": func() any { return map[string]int{"waiting": 3} },
			"broken":    func() any { return func() {} },
		},
		WriteMetrics: func(w io.Writer) { fmt.Fprintln(w, "primrosebeam_up 1") },
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

const exampleDocument = `{
  "tiers": [{"name": "urgent", "queueLimit": 10}],
  "workspaces": [],
  "services": [{"name": "orders", "kind": "plain", "engines": "app=orders", "routes": [{"path": "/"}]}],
  "engines": [{"name": "o1", "url": "http://127.0.0.1:9001", "dataCentre": "bern", "labels": {"app": "orders"}}]
}`

type scriptedRequest struct{ method, path, body string }

var timestamp = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)

// sendRequests sends requests with the operators' token and writes each with its response. It replaces times,
// since they differ between runs.
func sendRequests(w io.Writer, h http.Handler, requests []scriptedRequest) {
	for _, s := range requests {
		r := httptest.NewRequest(s.method, s.path, strings.NewReader(s.body))
		r.Header.Set("Authorization", "Bearer "+token)
		response := httptest.NewRecorder()
		h.ServeHTTP(response, r)
		body := timestamp.ReplaceAllString(response.Body.String(), "TIME")
		fmt.Fprintf(w, "%s %s\n%s\n%d %s\n%s\n", s.method, s.path, s.body, response.Code, response.Header().Get("Content-Type"), body)
	}
}

// Guards against unintended changes of the HTTP interface, on which operators' scripts depend.
func TestInterfaceMatchesGoldenFile(t *testing.T) {
	is := is.New(t)
	c := newControl()
	h := newHandler(t, c)
	var got bytes.Buffer
	sendRequests(&got, h, []scriptedRequest{
		{"GET", "/healthz", ""},
		{"GET", "/readyz", ""},
		{"GET", "/v1/configuration", ""},
		{"POST", "/v1/changes", `{"changeID": "a", "base": 0, "edit": {"apply": ` + exampleDocument + `}}`},
		{"GET", "/readyz", ""},
		{"GET", "/v1/configuration", ""},
		{"POST", "/v1/changes", `{"changeID": "a", "base": 0, "edit": {"apply": ` + exampleDocument + `}}`},
		{"POST", "/v1/changes", `{"changeID": "a", "base": 1, "edit": {"apply": ` + exampleDocument + `}}`},
		{"POST", "/v1/engines/o1/labels", `{"changeID": "b", "base": 0, "set": {"hardware": "new"}}`},
		{"POST", "/v1/engines/o1/labels", `{"changeID": "c", "base": 1, "set": {"hardware": "new"}}`},
		{"POST", "/v1/engines/o1/labels", `{"changeID": "d", "base": 2, "remove": ["app"]}`},
		{"POST", "/v1/engines/o9/drain", `{"changeID": "e", "base": 2, "on": true}`},
		{"POST", "/v1/engines/o1/drain", "{\"changeID\": \"f\",\n\"base\": 2, \"of\": true}"},
		{"POST", "/v1/engines/o1/drain", `{"base": 2, "on": true}`},
		{"POST", "/v1/engines/o1/drain", `{"changeID": "f", "base": 2}`},
		{"POST", "/v1/changes", "{\"changeID\": \"g\", \"base\": 2,\n\"edit\": {\"apply\": {\n\"tiers\": [],\n\"workspaces\": [], \"services\": [], \"engines\": []}}}"},
		{"GET", "/v1/changes/c", ""},
		{"GET", "/v1/changes/never", ""},
		{"GET", "/v1/dump", ""},
		{"GET", "/metrics", ""},
		{"GET", "/v1/nothing", ""},
		{"DELETE", "/v1/configuration", ""},
	})
	c.missingIn = []string{"olten"}
	sendRequests(&got, h, []scriptedRequest{
		{"POST", "/v1/engines/o1/drain", `{"changeID": "h", "base": 2, "on": true}`},
		{"GET", "/v1/status", ""},
	})
	c.undetermined = true
	sendRequests(&got, h, []scriptedRequest{
		{"POST", "/v1/engines/o1/drain", `{"changeID": "i", "base": 3, "on": false}`},
		{"GET", "/v1/changes/i", ""},
	})
	c.err = &control.NotSubmittedError{ChangeID: "j"}
	sendRequests(&got, h, []scriptedRequest{{"POST", "/v1/engines/o1/drain", `{"changeID": "j", "base": 4, "on": true}`}})
	if *update {
		is.NoErr(os.WriteFile("testdata/session.golden", got.Bytes(), 0o644))
	}
	want, err := os.ReadFile("testdata/session.golden")
	is.NoErr(err)
	is.Equal(got.String(), string(want))
}

// Guards against a path that is served without the operators' token, and against health probes that require
// it.
func TestTokenIsRequired(t *testing.T) {
	h := newHandler(t, newControl())
	paths := map[string]int{
		"/healthz": 200, "/readyz": 503, "/metrics": 401, "/v1/configuration": 401, "/v1/changes": 401,
		"/v1/changes/a": 401, "/v1/engines/o1/labels": 401, "/v1/engines/o1/drain": 401, "/v1/status": 401, "/v1/dump": 401,
	}
	for path, want := range paths {
		for _, header := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + token, token} {
			for _, method := range []string{"GET", "POST"} {
				is := is.New(t)
				r := httptest.NewRequest(method, path, strings.NewReader("{}"))
				r.Header.Set("Authorization", header)
				response := httptest.NewRecorder()
				h.ServeHTTP(response, r)
				if want == 401 || method == "GET" {
					is.Equal(response.Code, want)
				}
			}
		}
	}
}

// Guards against bodies of unlimited size, and against media types that an HTML form of another site could
// send.
func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newHandler(t, newControl()))
	defer server.Close()
	post := func(path, mediaType string, size int) int {
		r, err := http.NewRequest("POST", server.URL+path, strings.NewReader(`"`+strings.Repeat("a", size)+`"`))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("Content-Type", mediaType)
		response, err := server.Client().Do(r)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(post("/v1/changes", "application/json", operator.MaxChangeBodyBytes), http.StatusRequestEntityTooLarge)
	is.Equal(post("/v1/engines/o1/drain", "application/json", operator.MaxEditBodyBytes), http.StatusRequestEntityTooLarge)
	is.Equal(post("/v1/engines/o1/drain", "text/plain", 1), http.StatusUnsupportedMediaType)
	is.Equal(post("/v1/engines/o1/drain", "application/json; charset=utf-8", 1), http.StatusUnprocessableEntity)
}

// Guards against a handler without a token, which would accept requests from anyone.
func TestTokenOptionIsRequired(t *testing.T) {
	is := is.New(t)
	_, err := operator.New(operator.Options{Control: newControl(), Ready: func() (bool, string) { return true, "" }})
	is.True(err != nil)
}
