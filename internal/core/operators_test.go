package core

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/replica"
)

// TestStatusOfUnstoredConfiguration guards against a status that leaves the operator in doubt about a
// configuration which was certainly not stored, and against one that denies a configuration which may be stored.
func TestStatusOfUnstoredConfiguration(t *testing.T) {
	remote := func(code string) error { return &link.RemoteError{Code: code} }
	for _, test := range []struct {
		err    error
		status int
	}{
		{&NoLeaderError{}, http.StatusServiceUnavailable},
		{classifyProposal(&replica.NotLeaderError{}), http.StatusServiceUnavailable},
		{classifyProposal(fmt.Errorf("wrapped: %w", &consensus.OverloadedError{})), http.StatusServiceUnavailable},
		{classifyProposal(&consensus.TooLargeError{}), http.StatusServiceUnavailable},
		{remote("core.no-leader"), http.StatusServiceUnavailable},
		{remote("core.not-stored"), http.StatusServiceUnavailable},
		{&link.UnreachableError{}, http.StatusServiceUnavailable},
		{&link.UnreachableError{Sent: true}, http.StatusGatewayTimeout},
		{classifyProposal(&replica.UndeterminedError{Cause: &replica.NotLeaderError{}}), http.StatusGatewayTimeout},
		{classifyProposal(&replica.StoppedError{}), http.StatusGatewayTimeout},
		{remote("core.undetermined"), http.StatusGatewayTimeout},
		{remote(""), http.StatusGatewayTimeout},
	} {
		is := is.New(t)
		is.Equal(httpStatus(test.err), test.status)
	}
}
