package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/routing"
)

// TestFingerprintIdentifiesRepetitions guards against repetitions of a request that are not recognised because their
// attempt or query differs, and against other requests that are taken for repetitions.
func TestFingerprintIdentifiesRepetitions(t *testing.T) {
	is := is.New(t)
	exchangeOf := func(method, target, workspace, body string) *exchange {
		x := &exchange{request: httptest.NewRequest(method, target, nil), body: []byte(body)}
		if workspace != "" {
			x.workspace = &routing.Workspace{Name: workspace}
		}
		return x
	}
	first := exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "w", "body")
	first.id = "attempt-1"
	again := exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "w", "body")
	again.id = "attempt-2"
	is.Equal(len(first.fingerprints()), 2)
	is.Equal(first.fingerprints(), again.fingerprints())
	withoutQuery := exchangeOf(http.MethodPost, "http://h.example/a/b", "w", "body")
	is.Equal(withoutQuery.fingerprints(), first.fingerprints()[:1])
	for _, other := range []*exchange{
		exchangeOf(http.MethodPut, "http://h.example/a/b?c=1", "w", "body"),
		exchangeOf(http.MethodPost, "http://other.example/a/b?c=1", "w", "body"),
		exchangeOf(http.MethodPost, "http://h.example/a/c?c=1", "w", "body"),
		exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "v", "body"),
		exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "", "body"),
		exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "w", "body2"),
		exchangeOf(http.MethodPost, "http://h.example/a/b?c=1", "", "w\x00body"),
	} {
		is.True(other.fingerprints()[0] != first.fingerprints()[0])
		is.True(other.fingerprints()[1] != first.fingerprints()[1])
	}
	otherQuery := exchangeOf(http.MethodPost, "http://h.example/a/b?c=2", "w", "body").fingerprints()
	is.Equal(otherQuery[0], first.fingerprints()[0])
	is.True(otherQuery[1] != first.fingerprints()[1])
}
