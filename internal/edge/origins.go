package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
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
	// freshListTimeout is how long the take-up of a stream of unknown origin waits for a list of engines that was read
	// after it arrived. It covers the interval between two reads, that between two calls to a control instance, and a
	// retransmission.
	freshListTimeout = directoryInterval + attachInterval + originTimeout
	// freshListPoll is the interval at which the age of the list is checked meanwhile.
	freshListPoll = 20 * time.Millisecond
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

// find returns the origin of the stream that an attempt began before since. If no instance knows it but all engines of
// the service have had the same version within the window, it is that version. The attempt is empty if the caller does
// not name it.
//
// Invariant: a version is taken for the only one by a list of engines that was read after the stream began. An instance
// that is out of touch, or was paused, has missed the versions that have joined since its last list.
func (s *origins) find(ctx context.Context, attempt, service string, window time.Duration, since boottime.Time) (origin.Origin, bool) {
	s.takeUps.Inc()
	query := fleet.OriginQuery{Service: service, WindowMS: window.Milliseconds()}
	if attempt != "" {
		query.Attempt = origin.NewAttempt(attempt)
	}
	own := s.lookUp(query)
	if own.Known {
		return own.Origin, true
	}
	found, sets := s.ask(ctx, query)
	if found != nil {
		return *found, true
	}
	if version, only := origin.OnlyVersion(append(sets, own.Versions)); only && s.awaitFreshList(ctx, since) {
		// Lists and records that arrived meanwhile may tell of another version.
		own = s.lookUp(query)
		if own.Known {
			return own.Origin, true
		}
		later, laterSets := s.ask(ctx, query)
		if later != nil {
			return *later, true
		}
		sets = append(append(sets, laterSets...), own.Versions, s.listedVersions(service))
		if again, only := origin.OnlyVersion(sets); only && again == version {
			return origin.Origin{Service: service, Version: version}, true
		}
	}
	s.unknown.Inc()
	return origin.Origin{}, false
}

// awaitFreshList waits until the list of engines is one that was read at since or later. It returns false if there is
// none in time.
func (s *origins) awaitFreshList(ctx context.Context, since boottime.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, freshListTimeout)
	defer cancel()
	for s.directory.State().ReadAt < since {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(freshListPoll):
		}
	}
	return true
}

// listedVersions returns the versions of a service in the newest list.
func (s *origins) listedVersions(service string) origin.VersionSet {
	var set origin.VersionSet
	for _, e := range s.directory.State().Engines {
		if e.Service == service {
			set.Versions = append(set.Versions, e.Version)
		}
	}
	return set
}

// ask asks all control instances for the origin of a stream. It returns the origin, or else the versions at which the
// stream may have begun as far as those know that reply in time.
func (s *origins) ask(ctx context.Context, query fleet.OriginQuery) (found *origin.Origin, sets []origin.VersionSet) {
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
	for range peers {
		reply := <-replies // the calls end with ctx
		if reply.Known {
			return &reply.Origin, nil
		}
		sets = append(sets, reply.Versions)
	}
	return nil, sets
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
	ctx, cancel := context.WithTimeout(x.request.Context(), x.timeLeft())
	defer cancel()
	found, known := x.edge.origins.find(ctx, attempt, x.service.Name, origin.Window(x.route.Timeout), boottime.Time(x.arrived))
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
