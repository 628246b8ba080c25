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

// clientTimeout bounds one call. It exceeds the longest submission (control.DefaultTiming.SubmitTimeout).
const clientTimeout = 30 * time.Second

// maxResponseBytes bounds a response body; the largest are an indented configuration document and a dump.
const maxResponseBytes = 32 << 20

// Client calls the operators' HTTP interface of one instance.
type Client struct {
	server *url.URL
	token  string
	http   *http.Client
}

// InvalidServerURLError reports a server address that is not an http or https URL.
type InvalidServerURLError struct{ Server string }

func (e *InvalidServerURLError) Error() string {
	return fmt.Sprintf("operator: server %q: want http://ADDRESS:PORT or https://ADDRESS:PORT", e.Server)
}

// NotSentError reports a request of which nothing was sent to the server.
type NotSentError struct{ Err error }

func (e *NotSentError) Error() string { return fmt.Sprintf("operator: not sent: %v", e.Err) }

func (e *NotSentError) Unwrap() error { return e.Err }

// NoResponseError reports a request that was sent, or may have been, and got no usable response.
// Its outcome is unknown.
type NoResponseError struct{ Err error }

func (e *NoResponseError) Error() string { return fmt.Sprintf("operator: no usable answer: %v", e.Err) }

func (e *NoResponseError) Unwrap() error { return e.Err }

// StatusCodeError reports a response that is neither a success nor a problem document.
type StatusCodeError struct{ Code int }

func (e *StatusCodeError) Error() string { return fmt.Sprintf("operator: status %d", e.Code) }

// NewClient returns a client of the server at a URL. The error is an *InvalidServerURLError.
func NewClient(server, token string) (*Client, error) {
	parsed, err := url.Parse(server)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return nil, &InvalidServerURLError{Server: server}
	}
	transport := &http.Transport{} // ignores proxies of the environment, which must not receive the token
	return &Client{server: parsed, token: token, http: &http.Client{Transport: transport, Timeout: clientTimeout}}, nil
}

// Configuration returns the configuration in force at the server.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var response Configuration
	err := c.call(ctx, http.MethodGet, nil, &response, "v1", "configuration")
	return response, err
}

// Apply replaces the configuration. It sends the text of the document unchanged, so that the line numbers
// of faults are those of the operator's file. Like all calls, it returns *Problem, *NotSentError or
// *NoResponseError.
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
	body = append(body, "\n}}"...) // the line break ends a comment on the last line of the file
	var result control.ChangeResult
	err = c.call(ctx, http.MethodPost, body, &result, "v1", "changes")
	return result, err
}

// Label sets and removes labels of one engine.
func (c *Client) Label(ctx context.Context, engine string, request LabelRequest) (control.ChangeResult, error) {
	return c.postEdit(ctx, request, "v1", "engines", engine, "labels")
}

// Drain starts or ends the drain of one engine.
func (c *Client) Drain(ctx context.Context, engine string, request DrainRequest) (control.ChangeResult, error) {
	return c.postEdit(ctx, request, "v1", "engines", engine, "drain")
}

func (c *Client) postEdit(ctx context.Context, request any, path ...string) (control.ChangeResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return control.ChangeResult{}, &NotSentError{Err: err}
	}
	var result control.ChangeResult
	err = c.call(ctx, http.MethodPost, body, &result, path...)
	return result, err
}

// Outcome returns the result of an earlier change.
func (c *Client) Outcome(ctx context.Context, changeID string) (control.ChangeResult, error) {
	var result control.ChangeResult
	err := c.call(ctx, http.MethodGet, nil, &result, "v1", "changes", changeID)
	return result, err
}

// GetRaw returns the undecoded JSON body of a GET request; the status and dump commands print it.
func (c *Client) GetRaw(ctx context.Context, path ...string) ([]byte, error) {
	var text json.RawMessage
	err := c.call(ctx, http.MethodGet, nil, &text, path...)
	return text, err
}

// call sends a request to the path made of the given segments and decodes its JSON response into target.
func (c *Client) call(ctx context.Context, method string, body []byte, target any, path ...string) error {
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
		return classifySendError(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &NoResponseError{Err: err}
	}
	if response.StatusCode/100 != 2 {
		return errorFromResponse(response, text)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return &NoResponseError{Err: err}
	}
	return nil
}

// classifySendError returns *NotSentError for a failed dial, after which nothing can have been sent, and
// *NoResponseError for any other error.
func classifySendError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return &NotSentError{Err: err}
	}
	return &NoResponseError{Err: err}
}

// errorFromResponse returns the problem document of a response, or *NoResponseError when it has none.
func errorFromResponse(response *http.Response, text []byte) error {
	problem := &Problem{}
	if response.Header.Get("Content-Type") != problemMediaType || json.Unmarshal(text, problem) != nil {
		return &NoResponseError{Err: &StatusCodeError{Code: response.StatusCode}}
	}
	return problem
}
