package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/platform"
	"github.com/primrosebeam/primrosebeam/routing"
)

// originStub replies to queries for origins like the control instances in it. Others do not reply.
type originStub map[string]fleet.OriginReply

func (s originStub) Send(string, link.Kind, any) error { return nil }

func (s originStub) Call(ctx context.Context, to string, _ link.Kind, _, reply any) error {
	answer, known := s[to]
	if !known {
		<-ctx.Done()
		return ctx.Err()
	}
	*reply.(*fleet.OriginReply) = answer
	return nil
}

func newTestOrigins(t *testing.T, stub originStub) *origins {
	t.Helper()
	control := newTestControlClient(t, &controlStub{}, "10.0.0.1:1", "10.0.0.2:1")
	return newOrigins(Options{Logger: zerolog.Nop(), Metrics: metrics.NewSet()}, stub, control, control.directory)
}

// TestOriginIsTakenFromAnyControlInstance guards against a stream that does not go on because one control instance does
// not know it or does not reply, and against a guess while instances know of several versions.
func TestOriginIsTakenFromAnyControlInstance(t *testing.T) {
	known := fleet.OriginReply{Known: true, Origin: origin.Origin{Service: "s", Version: "v1"}}
	only := func(version string, complete bool) fleet.OriginReply {
		return fleet.OriginReply{Versions: origin.VersionSet{Versions: []string{version}, Complete: complete}}
	}
	for _, test := range []struct {
		name    string
		stub    originStub
		version string // empty if the origin is not known
	}{
		{"one knows it, the other does not", originStub{"10.0.0.1": only("v2", true), "10.0.0.2": known}, "v1"},
		{"one knows it, the other is silent", originStub{"10.0.0.2": known}, "v1"},
		{"nobody replies", originStub{}, ""},
		{"one version", originStub{"10.0.0.1": only("v2", true), "10.0.0.2": only("v2", false)}, "v2"},
		{"one version, of too short a time", originStub{"10.0.0.1": only("v2", false)}, ""},
		{"two versions", originStub{"10.0.0.1": only("v2", true), "10.0.0.2": only("v3", false)}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			found, known := newTestOrigins(t, test.stub).find(t.Context(), "first", "s", time.Minute)
			is.Equal(known, test.version != "")
			is.Equal(found.Version, test.version)
			is.True(time.Since(start) < 2*originTimeout)
		})
	}
}

// TestTakeUpGoesToServiceOfItsStream guards against a stream of a route with several services that goes on at another
// one, and against one that goes on at a service to which its route no longer leads.
func TestTakeUpGoesToServiceOfItsStream(t *testing.T) {
	for _, test := range []struct {
		name    string
		targets []routing.Target
		status  int
	}{
		{"split route", []routing.Target{{Service: "other", Weight: 1}, {Service: "s", Weight: 1}}, 0},
		{"route leads elsewhere", []routing.Target{{Service: "other", Weight: 1}}, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newTestEdge(t, nil)
			e.origins = newTestOrigins(t, nil)
			e.origins.add(origin.Record{Attempt: origin.NewAttempt("first"), Origin: origin.Origin{Service: "s", Version: "v1"}})
			table, err := routing.Compile(&routing.Document{Number: 1, Services: []routing.Service{{Name: "s"}, {Name: "other"}}})
			is.NoErr(err)
			r := httptest.NewRequest(http.MethodPost, "/x", nil)
			r.Header.Set(platform.HeaderResumes, "first")
			r.Header.Set(platform.HeaderLastEvent, "3")
			x := newTestExchange(e, routing.KindStream, httptest.NewRecorder(), r)
			x.table, x.route.Targets, x.service = table, test.targets, table.Service("other")
			status, why := x.findOrigin()
			is.Equal(status, test.status)
			if status != 0 {
				is.Equal(why, reasonUnknownOrigin)
				return
			}
			is.Equal(x.service.Name, "s")
			is.Equal(x.pinnedVersion, "v1")
			is.Equal(x.lastEventID, 3)
		})
	}
}
