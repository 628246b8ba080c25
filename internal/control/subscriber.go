package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/ring"
)

// announcementCapacity bounds the announcements that wait. Older ones may be lost: the next
// renewal of the subscription learns the newest version anyway.
const announcementCapacity = 64

// renewalsPerCheck is the number of renewals between two questions to another replica. Without
// them a replica that is cut off from the quorum could hold its subscribers back for ever.
const renewalsPerCheck = 4

type heard struct {
	from    string
	version configuration.Version
}

// subscriber is the duty that owns the version in force at this instance. It alone moves the
// version, only to a higher one. Its calls to other instances block it for Timing.Fetch at most;
// announcements wait meanwhile.
type subscriber struct {
	control *Control
	ring    *ring.Ring[heard]
	// admit decides whether an offered version replaces the current one. Tests replace it to show
	// that their checks notice a missing guard.
	admit func(current, offered configuration.Version) bool

	// Owned by the duty.
	replica  string // subscribed to; empty when none is reachable
	led      bool   // a replica that answered last knows a leader
	renewals int
	checked  int // replicas asked by the check so far

	mu          sync.Mutex // guards what other goroutines read
	current     configuration.Version
	document    *configuration.Document
	status      SubscriberState
	unreachable time.Time // since when no replica with a leader is reachable; zero when one is
}

// SubscriberState is the state of the subscriber duty for dumps.
type SubscriberState struct {
	Version          configuration.Version `json:"version"`
	Replica          string                `json:"replica,omitempty"` // subscribed to
	UnreachableSince *time.Time            `json:"unreachableSince,omitempty"`
	Waiting          int                   `json:"waiting"` // announcements
	LastError        string                `json:"lastError,omitempty"`
}

func newSubscriber(c *Control) *subscriber {
	return &subscriber{
		control: c,
		ring:    ring.New[heard](announcementCapacity),
		admit:   func(current, offered configuration.Version) bool { return offered > current },
	}
}

func (s *subscriber) version() configuration.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *subscriber) inForce() (configuration.Version, *configuration.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.document
}

func (s *subscriber) state() SubscriberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.status
	state.Version = s.current
	state.Waiting = s.ring.Len()
	if !s.unreachable.IsZero() {
		since := s.unreachable
		state.UnreachableSince = &since
	}
	return state
}

// announced queues an announcement; it never blocks.
func (s *subscriber) announced(from string, version configuration.Version) {
	if s.ring.Offer(heard{from: from, version: version}) != nil {
		s.control.metrics.dropped.Inc()
	}
}

func (s *subscriber) run(ctx context.Context) {
	s.load()
	s.renew(ctx)
	timer := time.NewTimer(s.pause())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ring.Ready():
			s.drain(ctx)
		case <-timer.C:
			s.renew(ctx)
			timer.Reset(s.pause())
		}
	}
}

// pause returns the time to the next renewal.
func (s *subscriber) pause() time.Duration {
	if s.replica == "" || s.version() == 0 {
		return s.control.options.Timing.RetryInterval
	}
	return s.control.options.Timing.RenewInterval
}

// drain handles the waiting announcements; only the highest one of those that are news is fetched.
func (s *subscriber) drain(ctx context.Context) {
	var best heard
	for {
		h, ok := s.ring.TryTake()
		if !ok {
			break
		}
		if h.version <= s.version() {
			s.reportTo(h.from) // the sender waits for a version that is in force already
			continue
		}
		if h.version > best.version {
			best = h
		}
	}
	if best.version > 0 {
		s.fetch(ctx, best.from)
	}
}

// load offers the version on disk. A damaged file counts as none.
func (s *subscriber) load() {
	directory := s.control.options.Directory
	if directory == "" {
		return
	}
	version, document, err := loadVersion(directory)
	if err != nil {
		s.control.metrics.fileFailures.Inc()
		s.control.options.Logger.Error().Err(err).Msg("last configuration on disk is unusable; starting without it")
		return
	}
	if document != nil {
		s.offer(version, document, nil)
	}
}

// offer puts a version in force if it is higher. payload is its compressed form, or nil when it
// does not have to be saved.
func (s *subscriber) offer(version configuration.Version, document *configuration.Document, payload []byte) {
	if !s.admit(s.version(), version) {
		s.control.metrics.refusedStale.Inc()
		return
	}
	s.save(version, payload)
	s.control.options.OnVersion(version, document)
	s.mu.Lock()
	s.current = version
	s.document = document
	s.mu.Unlock()
	s.control.metrics.moved.Inc()
	s.control.metrics.version.Set(float64(version))
	s.control.options.Logger.Info().Uint64("version", uint64(version)).Msg("configuration in force")
	for _, peer := range s.control.options.Replicas {
		s.reportTo(peer.Name)
	}
}

// save keeps the version for the next start. A failure does not stop the version from taking
// force: the file is only needed when nobody can be reached after a restart.
func (s *subscriber) save(version configuration.Version, payload []byte) {
	if s.control.options.Directory == "" || payload == nil {
		return
	}
	if err := saveVersion(s.control.options.Directory, payload); err != nil {
		s.control.metrics.fileFailures.Inc()
		s.control.options.Logger.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration not saved")
	}
}

// reportTo tells a replica which version is in force here. A lost report is repeated when the
// replica announces the version again or the subscription is renewed.
func (s *subscriber) reportTo(name string) {
	version := s.version()
	if name == s.control.options.Name {
		if s.control.publisher != nil {
			s.control.publisher.reported(report{name: name, dataCentre: s.control.options.DataCentre, version: version})
		}
		return
	}
	if err := s.control.options.Caller.Send(name, KindInForce, inForceReport{Version: version}); err != nil {
		s.control.metrics.dropped.Inc()
	}
}

// renew renews the subscription, replaces it when its replica does not answer, and turns to
// neighbours when no replica does.
func (s *subscriber) renew(ctx context.Context) {
	s.renewals++
	if s.replica != "" && s.subscribe(ctx, s.replica) {
		if s.renewals%renewalsPerCheck == 0 || !s.led {
			s.checkAnother(ctx)
		}
	} else {
		s.replaceReplica(ctx)
	}
	if s.replica == "" || s.version() == 0 {
		s.askNeighbours(ctx)
	}
	s.noteReachability()
}

// subscribe renews the subscription to one replica and fetches what it has above the version in
// force. It reports whether the replica answered.
func (s *subscriber) subscribe(ctx context.Context, name string) bool {
	reply, err := s.control.report(ctx, name, inForceReport{Version: s.version(), Subscribe: true})
	if err != nil {
		s.failed(err)
		return false
	}
	s.led = reply.Led
	if reply.Version > s.version() {
		s.fetch(ctx, name)
	}
	return true
}

// checkAnother asks the replicas in turn whether they have a higher version.
func (s *subscriber) checkAnother(ctx context.Context) {
	s.checked++
	name := s.control.options.Replicas[s.checked%len(s.control.options.Replicas)].Name
	if name == s.replica {
		return
	}
	reply, err := s.control.report(ctx, name, inForceReport{Version: s.version()})
	if err != nil {
		return
	}
	s.led = s.led || reply.Led
	if reply.Version > s.version() {
		s.fetch(ctx, name)
	}
}

// replaceReplica asks all replicas at the same time, fetches the highest version and subscribes
// to the preferred one among those that answered.
func (s *subscriber) replaceReplica(ctx context.Context) {
	s.replica = ""
	s.led = false
	order := s.preferred()
	own := s.version()
	answers := probe(order, func(name string) (configuration.Version, error) {
		reply, err := s.control.report(ctx, name, inForceReport{Version: own})
		return reply.Version, err
	})
	if best, ok := highest(answers); ok && best.version > own {
		s.fetch(ctx, best.from)
	}
	for _, answer := range answers {
		if answer.err == nil && s.subscribe(ctx, answer.from) {
			s.replica = answer.from
			return
		}
	}
}

// askNeighbours takes the highest version among the neighbours that answer.
func (s *subscriber) askNeighbours(ctx context.Context) {
	neighbours := s.control.options.Neighbours()
	if len(neighbours) > maxNeighbours {
		neighbours = neighbours[:maxNeighbours]
	}
	own := s.version()
	answers := probe(neighbours, func(name string) (configuration.Version, error) {
		reply, err := s.control.fetch(ctx, name, fetchRequest{Above: own, Probe: true})
		return reply.Version, err
	})
	if best, ok := highest(answers); ok && best.version > own {
		s.fetch(ctx, best.from)
	}
}

// fetch gets the newest version of another instance and offers it.
func (s *subscriber) fetch(ctx context.Context, from string) {
	if from == s.control.options.Name && s.control.store != nil {
		s.takeOwn()
		return
	}
	current, document := s.inForce()
	reply, err := s.control.fetch(ctx, from, fetchRequest{Above: current})
	if err == nil && len(reply.Edits) > 0 {
		if s.edited(reply, document) {
			return
		}
		reply, err = s.control.fetch(ctx, from, fetchRequest{Above: current, Whole: true})
	}
	if err != nil {
		s.failed(err)
		return
	}
	s.replaced(from, reply)
}

// edited offers the document that edits lead to. It reports false when that is not the document
// which the sender has, and then the whole document is needed.
func (s *subscriber) edited(reply fetchReply, document *configuration.Document) bool {
	s.control.metrics.fetchedBytes.Add(len(reply.Edits))
	edits, err := configuration.DecodeEdits(reply.Edits)
	if err == nil {
		document, err = configuration.ApplyEdits(document, edits)
	}
	var digest uint64
	if err == nil {
		digest, err = digestOf(reply.Version, document)
	}
	if err != nil || digest != reply.Digest {
		s.control.metrics.refusedBad.Inc()
		s.control.options.Logger.Warn().Err(err).Uint64("version", uint64(reply.Version)).Msg("edits do not lead to the right document; fetching the whole")
		return false
	}
	s.offer(reply.Version, document, s.payloadFor(reply.Version, document))
	return true
}

// payloadFor returns what the file holds, or nil on an instance without one.
func (s *subscriber) payloadFor(version configuration.Version, document *configuration.Document) []byte {
	if s.control.options.Directory == "" {
		return nil
	}
	payload, err := s.control.payloads.get(version, document)
	if err != nil {
		s.failed(err) // the version still takes force; only the file is missing
	}
	return payload
}

// replaced offers a whole document.
func (s *subscriber) replaced(from string, reply fetchReply) {
	if len(reply.Payload) == 0 {
		return
	}
	s.control.metrics.fetchedBytes.Add(len(reply.Payload))
	version, document, err := decodePayload(reply.Payload)
	if err != nil {
		s.control.metrics.refusedBad.Inc()
		s.control.options.Logger.Error().Err(err).Str("from", from).Msg("fetched configuration is unusable")
		s.failed(err)
		return
	}
	s.offer(version, document, reply.Payload)
}

// takeOwn offers what the replica of this instance has applied.
func (s *subscriber) takeOwn() {
	version, document := s.control.store.Current()
	if document == nil || version <= s.version() {
		return
	}
	s.offer(version, document, s.payloadFor(version, document))
}

// preferred returns the replicas in the order in which this instance subscribes: itself, those
// of its data centre, others; within these by a hash with its name, which spreads the instances
// evenly over the replicas.
func (s *subscriber) preferred() []string {
	own := s.control.options
	rank := func(p Peer) int {
		switch {
		case p.Name == own.Name:
			return 0
		case p.DataCentre == own.DataCentre:
			return 1
		}
		return 2
	}
	peers := slices.Clone(own.Replicas)
	slices.SortFunc(peers, func(a, b Peer) int {
		if rank(a) != rank(b) {
			return rank(a) - rank(b)
		}
		if xxhash.Sum64String(own.Name+"\n"+a.Name) < xxhash.Sum64String(own.Name+"\n"+b.Name) {
			return -1
		}
		return 1
	})
	names := make([]string, len(peers))
	for i, peer := range peers {
		names[i] = peer.Name
	}
	return names
}

func (s *subscriber) failed(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.mu.Lock()
	s.status.LastError = err.Error()
	s.mu.Unlock()
}

// noteReachability records a partition from all replicas for status and metrics.
func (s *subscriber) noteReachability() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Replica = s.replica
	if s.replica != "" && s.led {
		if !s.unreachable.IsZero() {
			s.control.options.Logger.Info().Str("replica", s.replica).Msg("control replica with a leader is reachable again")
		}
		s.unreachable = time.Time{}
		s.control.metrics.partitioned.Set(0)
		return
	}
	if s.unreachable.IsZero() {
		s.unreachable = time.Now()
		s.control.metrics.partitioned.Set(1)
		s.control.options.Logger.Warn().Uint64("version", uint64(s.current)).Msg("no control replica with a leader is reachable; continuing under the last version")
	}
}
