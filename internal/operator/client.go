package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/control"
)

// clientTimeout exceeds the longest submission (control.DefaultTiming.SubmitTimeout).
const clientTimeout = 30 * time.Second

// maxResponseBytes bounds what the client reads: a document as indented text, or a dump.
const maxResponseBytes = 32 << 20

// Client calls the interface of operators.
type Client struct {
	server *url.URL
	token  string
	http   *http.Client
}

// InvalidServerURLError reports a server address that is no http or https URL.
type InvalidServerURLError struct{ Server string }

func (e *InvalidServerURLError) Error() string {
	return fmt.Sprintf("operator: server %q: want http://ADDRESS:PORT or https://ADDRESS:PORT", e.Server)
}

// NotSentError reports a request that did not reach the server.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return fmt.Sprintf("operator: not sent: %v", e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError reports a request that was sent, or may have been, without a usable answer.
type NoResponseError struct{ Err error }

func (e *NoResponseError) Error() string { return fmt.Sprintf("operator: no usable answer: %v", e.Err) }

func (e *NoResponseError) Unwrap() error { return e.Err }

// StatusCodeError reports a response that is neither a success nor a problem document.
type StatusCodeError struct{ Code int }

func (e *StatusCodeError) Error() string { return fmt.Sprintf("operator: status %d", e.Code) }

// NewClient returns a client. It returns *ServerError.
func NewClient(server, token string) (*Client, error) {
	parsed, err := url.Parse(server)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return nil, &InvalidServerURLError{Server: server}
	}
	transport := &http.Transport{} // without a proxy from the environment: the token is for the server alone
	return &Client{server: parsed, token: token, http: &http.Client{Transport: transport, Timeout: clientTimeout}}, nil
}

// Configuration returns the version in force at the server.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var response Configuration
	err := c.call(ctx, http.MethodGet, nil, &response, "v1", "configuration")
	return response, err
}

// Apply sends a document as its operator wrote it, so that the lines of faults are those of the
// file. It returns *Problem, *NotSentError or *NoResponseError, as all calls do.
func (c *Client) Apply(ctx context.Context, change configuration.Change, text []byte) (control.ChangeResult, error) {
	envelope, err := json.Marshal(struct {
		ChangeID string                `json:"changeID"`
		Base     configuration.Version `json:"base"`
		Operator string                `json:"operator,omitempty"`
	}{change.ID, change.Base, change.Operator})
	if err != nil {
		return control.ChangeResult{}, &NotSentError{Err: err}
	}
	body := append(bytes.TrimSuffix(envelope, []byte("}")), `,"edit":{"apply":`...)
	body = append(body, text...)
	body = append(body, "\n}}"...) // a comment may end the file
	var answer control.ChangeResult
	err = c.call(ctx, http.MethodPost, body, &answer, "v1", "changes")
	return answer, err
}

// Label edits the labels of one engine.
func (c *Client) Label(ctx context.Context, engine string, request LabelRequest) (control.ChangeResult, error) {
	return c.edit(ctx, request, "v1", "engines", engine, "labels")
}

// Drain starts or ends the draining of one engine.
func (c *Client) Drain(ctx context.Context, engine string, request DrainRequest) (control.ChangeResult, error) {
	return c.edit(ctx, request, "v1", "engines", engine, "drain")
}

func (c *Client) edit(ctx context.Context, request any, path ...string) (control.ChangeResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return control.ChangeResult{}, &NotSentError{Err: err}
	}
	var answer control.ChangeResult
	err = c.call(ctx, http.MethodPost, body, &answer, path...)
	return answer, err
}

// Outcome tells what became of a change.
func (c *Client) Outcome(ctx context.Context, changeID string) (control.ChangeResult, error) {
	var answer control.ChangeResult
	err := c.call(ctx, http.MethodGet, nil, &answer, "v1", "changes", changeID)
	return answer, err
}

// GetRaw returns the body of a GET request as it came, for status and dump.
func (c *Client) GetRaw(ctx context.Context, path ...string) ([]byte, error) {
	var text json.RawMessage
	err := c.call(ctx, http.MethodGet, nil, &text, path...)
	return text, err
}

func (c *Client) call(ctx context.Context, method string, body []byte, into any, path ...string) error {
	escaped := make([]string, len(path))
	for i, segment := range path {
		escaped[i] = url.PathEscape(segment)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.server.JoinPath(escaped...).String(), bytes.NewReader(body))
	if err != nil {
		return &NotSentError{Err: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		request.Header.Set("Content-Type", jsonMediaType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return sendError(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &NoResponseError{Err: err}
	}
	if response.StatusCode/100 != 2 {
		return refusal(response, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return &NoResponseError{Err: err}
	}
	return nil
}

// sendError tells a refused connection, after which nothing can have been sent, from the rest.
func sendError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return &NotSentError{Err: err}
	}
	return &NoResponseError{Err: err}
}

func refusal(response *http.Response, text []byte) error {
	problem := &Problem{}
	if response.Header.Get("Content-Type") != problemMediaType || json.Unmarshal(text, problem) != nil {
		return &NoResponseError{Err: &StatusCodeError{Code: response.StatusCode}}
	}
	return problem
}
