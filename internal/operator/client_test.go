package operator_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/operator"
)

// Guards against a client that reports a change as not sent although only its response was lost, or as
// undetermined although nothing was sent.
func TestClientDistinguishesLostResponseFromUnsentRequest(t *testing.T) {
	is := is.New(t)
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }))
	defer broken.Close()
	badGateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }))
	defer badGateway.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	drain := func(server string) error {
		client, err := operator.NewClient(server, token)
		is.NoErr(err)
		_, err = client.Drain(context.Background(), "o1", operator.DrainRequest{ChangeID: "a"})
		return err
	}
	var noResponse *operator.NoResponseError
	is.True(errors.As(drain(broken.URL), &noResponse))
	is.True(errors.As(drain(badGateway.URL), &noResponse))
	var unsent *operator.NotSentError
	is.True(errors.As(drain("http://"+listener.Addr().String()), &unsent))
	_, err = operator.NewClient("ftp://127.0.0.1", token)
	var invalidURL *operator.InvalidServerURLError
	is.True(errors.As(err, &invalidURL))
}

// Guards against line numbers of faults that differ from those of the operator's file.
func TestApplyKeepsLineNumbers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newHandler(t, newControl()))
	defer server.Close()
	client, err := operator.NewClient(server.URL, token)
	is.NoErr(err)
	text := "{\n\"tiers\": [\n{\"name\": \"a\"}],\n\"workspaces\": [], \"services\": [], \"engines\": []} // end"
	_, err = client.Apply(context.Background(), configuration.Change{ID: "a"}, []byte(text))
	var problem *operator.Problem
	is.True(errors.As(err, &problem))
	is.Equal(len(problem.Faults), 1)
	is.Equal(problem.Faults[0].Line, 3)
	is.Equal(problem.Faults[0].Field, "edit.apply.tiers[0].queueLimit")
}
