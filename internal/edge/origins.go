package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/directory"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

const (
	// originTimeout bounds the search for the origin of a stream. It exceeds the retransmission of one lost packet.
	originTimeout = 350 * time.Millisecond
	// maxReportedOrigins bounds the origins of a full update, which take about 45 bytes each.
	maxReportedOrigins = 8192
)

// origins holds which software version began which stream, as far as this instance has seen it, and asks the control
// instances for the others.
type origins struct {
	link             link.Caller
	controlInstances func() []string
	directory        *directory.Reader

	mu      sync.Mutex
	table   origin.Table
	history origin.History

	takeUps, unknown *metrics.Counter
}

func newOrigins(o Options, l link.Caller, control *controlClient, reader *directory.Reader) *origins {
	return &origins{
		link: l, controlInstances: control.allControlInstances, directory: reader,
		takeUps: o.Metrics.NewCounter("primrosebeam_stream_take_ups_total"),
		unknown: o.Metrics.NewCounter("primrosebeam_stream_take_ups_of_unknown_origin_total"),
	}
}

// add records the origin of a stream that begins.
func (s *origins) add(r origin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(clock(), r)
}

// enginesChanged records a new list of engines.
func (s *origins) enginesChanged(engines []placement.Engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Observe(clock(), engines)
}

// lookUp returns the origin of a stream as far as this instance knows it, or else the versions at which it may have
// begun.
func (s *origins) lookUp(query fleet.OriginQuery) fleet.OriginReply {
	isCurrent := s.directory.State().Age() <= origin.MaxListAge
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, known := s.table.Find(query.Attempt); known {
		return fleet.OriginReply{Known: true, Origin: found}
	}
	return fleet.OriginReply{Versions: s.history.Versions(clock(), time.Duration(query.WindowMS)*time.Millisecond, query.Service, isCurrent)}
}

// find returns the origin of the stream that an attempt began. If no instance knows it but all engines of the service
// have had the same version within the window, it is that version. The attempt is empty if the caller does not name it.
func (s *origins) find(ctx context.Context, attempt, service string, window time.Duration) (origin.Origin, bool) {
	s.takeUps.Inc()
	query := fleet.OriginQuery{Service: service, WindowMS: window.Milliseconds()}
	if attempt != "" {
		query.Attempt = origin.NewAttempt(attempt)
	}
	own := s.lookUp(query)
	if own.Known {
		return own.Origin, true
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	peers := s.controlInstances()
	replies := make(chan fleet.OriginReply, len(peers))
	for _, peer := range peers {
		go func() {
			var reply fleet.OriginReply
			if err := s.link.Call(ctx, peer, fleet.KindOrigin, query, &reply); err != nil {
				reply = fleet.OriginReply{} // says nothing
			}
			replies <- reply
		}()
	}
	sets := []origin.VersionSet{own.Versions}
	for range peers {
		reply := <-replies // the calls end with ctx
		if reply.Known {
			return reply.Origin, true
		}
		sets = append(sets, reply.Versions)
	}
	if version, only := origin.OnlyVersion(sets); only {
		return origin.Origin{Service: service, Version: version}, true
	}
	s.unknown.Inc()
	return origin.Origin{}, false
}

// findOrigin finds out which service and which version began the stream that the request takes up, so that it goes on
// there only. It returns a nonzero status if that is not known or if the route no longer leads there.
func (x *exchange) findOrigin() (status int, why reason) {
	if !x.isStream() {
		return 0, ""
	}
	attempt, after, takesUp := platform.ParseTakeUp(x.request.Header)
	if !takesUp {
		return 0, ""
	}
	x.lastEventID = after
	found, known := x.edge.origins.find(x.request.Context(), attempt, x.service.Name, origin.Window(x.route.Timeout))
	if !known || !x.route.HasTarget(found.Service) {
		return http.StatusServiceUnavailable, reasonUnknownOrigin
	}
	x.service = x.table.Service(found.Service)
	x.takesUp, x.pinnedVersion = true, found.Version
	return 0, ""
}

// recordOrigin records which version begins the stream, before the caller gets its first event. From then on the stream
// continues at that version only.
func (x *exchange) recordOrigin() {
	if x.pinnedVersion != "" {
		return
	}
	x.pinnedVersion = x.version
	if !x.route.Resume {
		return
	}
	r := origin.Record{
		Attempt: origin.NewAttempt(x.id), Origin: origin.Origin{Service: x.service.Name, Version: x.version},
	}
	x.edge.origins.add(r)
	x.edge.placer.Begun(r)
}

// records returns the origins of all streams that began here, for an allocator that may not know them.
func (s *origins) records() []origin.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Records(maxReportedOrigins)
}
