package control

import (
	"context"
	"errors"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/logging"
	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ring"
)

// announcementQueueCapacity limits the queued announcements. Further ones may be dropped, because the next
// renewal of the subscription returns the newest version anyway.
const announcementQueueCapacity = 64

// renewalsPerCheck is the number of renewals between two queries to another replica. Without these
// queries, a replica that is partitioned from the quorum could keep its subscribers at an old
// version indefinitely.
const renewalsPerCheck = 4

// receivedAnnouncement is an announced version with the instance that announced it.
type receivedAnnouncement struct {
	from    string
	version configuration.Version
}

// subscriber is the worker that owns the version in force at this instance. Only it changes the version,
// and only to a higher one. Its calls to other instances block it for at most Timing.FetchTimeout each;
// announcements are queued meanwhile.
type subscriber struct {
	control *Control
	ring    *ring.Ring[receivedAnnouncement]
	// shouldReplace decides whether an offered version replaces the current one. Tests replace it to show
	// that they detect a missing check.
	shouldReplace func(current, offered configuration.Version) bool
	save          func(directory string, payload []byte) error // saveVersion, unless a test replaces it

	// The fields below are owned by the worker.
	replica     string // replica with the subscription; empty when none is reachable
	leaderKnown bool   // whether one of the replicas that replied last knows a leader
	renewals    int    // number of renewals so far
	unsaved     []byte // compressed document in force that could not be saved
	checkCount  int    // number of calls of checkOtherReplica

	mu               sync.Mutex // guards the fields below, which other goroutines read
	current          configuration.Version
	document         *configuration.Document
	status           SubscriberState
	unreachableSince time.Time // since when no replica that knows a leader is reachable; else zero
}

// SubscriberState is the state of the subscriber for a state dump.
type SubscriberState struct {
	Version          configuration.Version `json:"version"`
	Replica          string                `json:"replica,omitempty"` // replica with the subscription
	UnreachableSince *time.Time            `json:"unreachableSince,omitempty"`
	Waiting          int                   `json:"waiting"` // number of queued announcements
	LastError        string                `json:"lastError,omitempty"`
}

func newSubscriber(c *Control) *subscriber {
	return &subscriber{
		control:       c,
		ring:          ring.New[receivedAnnouncement](announcementQueueCapacity),
		shouldReplace: func(current, offered configuration.Version) bool { return offered > current },
		save:          saveVersion,
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
	if !s.unreachableSince.IsZero() {
		since := s.unreachableSince
		state.UnreachableSince = &since
	}
	return state
}

// enqueueAnnouncement queues an announcement and never blocks.
func (s *subscriber) enqueueAnnouncement(from string, version configuration.Version) {
	if s.ring.Offer(receivedAnnouncement{from: from, version: version}) != nil {
		s.control.metrics.droppedEvents.Inc()
	}
}

func (s *subscriber) run(ctx context.Context) {
	s.loadFromDisk()
	s.renew(ctx)
	timer := time.NewTimer(s.renewalDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.ring.Ready():
			s.processAnnouncements(ctx)
		case <-timer.C:
			s.renew(ctx)
			timer.Reset(s.renewalDelay())
		}
	}
}

// renewalDelay returns the time until the next renewal.
func (s *subscriber) renewalDelay() time.Duration {
	if s.replica == "" || s.version() == 0 {
		return s.control.options.Timing.RetryInterval
	}
	return s.control.options.Timing.RenewInterval
}

// processAnnouncements handles the queued announcements. Of those with a version above the one in force
// only the highest is fetched.
func (s *subscriber) processAnnouncements(ctx context.Context) {
	var best receivedAnnouncement
	for {
		next, ok := s.ring.TryTake()
		if !ok {
			break
		}
		if next.version <= s.version() {
			s.reportTo(next.from) // the sender may be waiting for a version that is already in force here
			continue
		}
		if next.version > best.version {
			best = next
		}
	}
	if best.version > 0 {
		s.fetch(ctx, best.from)
	}
}

// loadFromDisk applies the version stored on disk. A damaged file is treated as missing.
func (s *subscriber) loadFromDisk() {
	directory := s.control.options.Directory
	if directory == "" {
		return
	}
	version, document, err := loadVersion(directory)
	if err != nil {
		s.control.metrics.fileFailures.Inc()
		s.control.options.Logger.Error().Err(err).Msg("stored configuration file is unusable; starting without it")
		return
	}
	if document != nil {
		s.applyIfNewer(version, document, nil)
	}
}

// applyIfNewer puts a version in force if it is higher than the current one. payload is the compressed
// document to save, or nil when it does not have to be saved.
func (s *subscriber) applyIfNewer(version configuration.Version, document *configuration.Document, payload []byte) {
	if !s.shouldReplace(s.version(), version) {
		s.control.metrics.staleVersions.Inc()
		return
	}
	s.saveToDisk(version, payload)
	s.control.options.OnVersion(version, document)
	s.mu.Lock()
	s.current = version
	s.document = document
	s.mu.Unlock()
	s.control.metrics.versionsApplied.Inc()
	s.control.metrics.version.Set(float64(version))
	s.control.options.Logger.Info().Uint64("version", uint64(version)).Msg("configuration in force")
	for _, peer := range s.control.options.Replicas {
		s.reportTo(peer.Name)
	}
}

// saveToDisk stores the version for the next start. A failure does not prevent the version from being put
// in force, since the file is only needed when no other instance can be reached after a restart.
func (s *subscriber) saveToDisk(version configuration.Version, payload []byte) {
	s.unsaved = nil
	if s.control.options.Directory == "" || payload == nil {
		return
	}
	directory := s.control.options.Directory
	err := journal.WatchSlow(journal.OperationWrite, filepath.Join(directory, fileName), logging.SlowDisk(s.control.options.Logger), func() error {
		return s.save(directory, payload)
	})
	if err != nil {
		s.control.metrics.fileFailures.Inc()
		s.control.options.Logger.Error().Err(err).Uint64("version", uint64(version)).Msg("configuration not saved; it is saved again when the subscription is renewed")
		s.unsaved = payload
	}
}

// reportTo reports to a replica which version is in force here. A lost report is repeated when the replica
// announces the version again or the subscription is renewed.
func (s *subscriber) reportTo(name string) {
	version := s.version()
	if name == s.control.options.Name {
		if s.control.publisher != nil {
			s.control.publisher.enqueueReport(versionReport{
				name: name, dataCentre: s.control.options.DataCentre, version: version,
			})
		}
		return
	}
	if err := s.control.options.Caller.Send(name, KindInForce, inForceReport{Version: version}); err != nil {
		s.control.metrics.droppedEvents.Inc()
	}
}

// renew renews the subscription. It selects another replica when the current one does not reply, and falls
// back to the neighbours when no replica replies or no version is in force.
func (s *subscriber) renew(ctx context.Context) {
	s.renewals++
	s.saveToDisk(s.version(), s.unsaved)
	if s.replica != "" && s.subscribe(ctx, s.replica) {
		if s.renewals%renewalsPerCheck == 0 || !s.leaderKnown {
			s.checkOtherReplica(ctx)
		}
	} else {
		s.replaceReplica(ctx)
	}
	if s.replica == "" || s.version() == 0 {
		s.fetchFromNeighbours(ctx)
	}
	s.updateReachability()
}

// subscribe starts or renews the subscription to one replica and fetches its newest version if that is
// above the version in force. It returns whether the replica replied.
func (s *subscriber) subscribe(ctx context.Context, name string) bool {
	reply, err := s.control.reportVersion(ctx, name, inForceReport{Version: s.version(), Subscribe: true})
	if err != nil {
		s.recordError(err)
		return false
	}
	s.leaderKnown = reply.LeaderKnown
	if reply.Version > s.version() {
		s.fetch(ctx, name)
	}
	return true
}

// checkOtherReplica queries the replicas in turn, one per call, and fetches a higher version if there is
// one.
func (s *subscriber) checkOtherReplica(ctx context.Context) {
	s.checkCount++
	name := s.control.options.Replicas[s.checkCount%len(s.control.options.Replicas)].Name
	if name == s.replica {
		return
	}
	reply, err := s.control.reportVersion(ctx, name, inForceReport{Version: s.version()})
	if err != nil {
		return
	}
	s.leaderKnown = s.leaderKnown || reply.LeaderKnown
	if reply.Version > s.version() {
		s.fetch(ctx, name)
	}
}

// replaceReplica queries all replicas concurrently, fetches the highest version and subscribes to the
// first replica that replied, in order of preference.
func (s *subscriber) replaceReplica(ctx context.Context) {
	s.replica = ""
	s.leaderKnown = false
	order := s.replicasByPreference()
	own := s.version()
	results := probe(order, func(name string) (configuration.Version, error) {
		reply, err := s.control.reportVersion(ctx, name, inForceReport{Version: own})
		return reply.Version, err
	})
	if best, ok := highestVersion(results); ok && best.version > own {
		s.fetch(ctx, best.from)
	}
	for _, result := range results {
		if result.err == nil && s.subscribe(ctx, result.from) {
			s.replica = result.from
			return
		}
	}
}

// fetchFromNeighbours fetches the highest version among the neighbours that reply.
func (s *subscriber) fetchFromNeighbours(ctx context.Context) {
	neighbours := s.control.options.Neighbours()
	if len(neighbours) > maxNeighbours {
		neighbours = neighbours[:maxNeighbours]
	}
	own := s.version()
	results := probe(neighbours, func(name string) (configuration.Version, error) {
		reply, err := s.control.fetch(ctx, name, fetchRequest{Above: own, Probe: true})
		return reply.Version, err
	})
	if best, ok := highestVersion(results); ok && best.version > own {
		s.fetch(ctx, best.from)
	}
}

// fetch gets the newest version of another instance and applies it if it is higher.
func (s *subscriber) fetch(ctx context.Context, from string) {
	if from == s.control.options.Name && s.control.store != nil {
		s.applyFromStore()
		return
	}
	current, document := s.inForce()
	reply, err := s.control.fetch(ctx, from, fetchRequest{Above: current})
	if err == nil && len(reply.Edits) > 0 {
		if s.applyEdits(reply, document) {
			return
		}
		reply, err = s.control.fetch(ctx, from, fetchRequest{Above: current, Whole: true})
	}
	if err != nil {
		s.recordError(err)
		return
	}
	s.applyDocument(from, reply)
}

// applyEdits applies the received edits and puts the resulting document in force. It returns false when
// the result differs from the sender's document; the whole document must then be fetched.
func (s *subscriber) applyEdits(reply fetchReply, document *configuration.Document) bool {
	s.control.metrics.fetchedBytes.Add(len(reply.Edits))
	edits, err := configuration.DecodeEdits(reply.Edits)
	if err == nil {
		document, err = configuration.ApplyEdits(document, edits)
	}
	var digest uint64
	if err == nil {
		digest, err = documentDigest(reply.Version, document)
	}
	if err != nil || digest != reply.Digest {
		s.control.metrics.unusableDocuments.Inc()
		s.control.options.Logger.Warn().Err(err).Uint64("version", uint64(reply.Version)).
			Msg("edits did not produce the expected document; fetching the whole document")
		return false
	}
	s.applyIfNewer(reply.Version, document, s.payloadFor(reply.Version, document))
	return true
}

// payloadFor returns the content of the file for a version, or nil on an instance without a data folder.
func (s *subscriber) payloadFor(version configuration.Version, document *configuration.Document) []byte {
	if s.control.options.Directory == "" {
		return nil
	}
	payload, err := s.control.payloads.get(version, document)
	if err != nil {
		s.recordError(err) // the version is put in force anyway; only the file is not written
	}
	return payload
}

// applyDocument decodes a fetched document and puts it in force if its version is higher.
func (s *subscriber) applyDocument(from string, reply fetchReply) {
	if len(reply.Payload) == 0 {
		return
	}
	s.control.metrics.fetchedBytes.Add(len(reply.Payload))
	version, document, err := decodePayload(reply.Payload)
	if err != nil {
		s.control.metrics.unusableDocuments.Inc()
		s.control.options.Logger.Error().Err(err).Str("from", from).Msg("fetched configuration is unusable")
		s.recordError(err)
		return
	}
	s.applyIfNewer(version, document, reply.Payload)
}

// applyFromStore puts the version in force that the replica of this instance has applied, if it is higher.
func (s *subscriber) applyFromStore() {
	version, document := s.control.store.Current()
	if document == nil || version <= s.version() {
		return
	}
	s.applyIfNewer(version, document, s.payloadFor(version, document))
}

// replicasByPreference returns the replicas in the order in which this instance subscribes: itself, those
// in its data centre, then the others. Within each group the order follows a hash that includes the name
// of this instance, which distributes the instances evenly over the replicas.
func (s *subscriber) replicasByPreference() []string {
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

// recordError stores an error for the state dump. A cancelled context is not recorded.
func (s *subscriber) recordError(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.mu.Lock()
	s.status.LastError = err.Error()
	s.mu.Unlock()
}

// updateReachability records whether a replica that knows a leader is reachable, for status and metrics.
func (s *subscriber) updateReachability() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status.Replica = s.replica
	if s.replica != "" && s.leaderKnown {
		if !s.unreachableSince.IsZero() {
			s.control.options.Logger.Info().Str("replica", s.replica).Msg("control replica with a leader is reachable again")
		}
		s.unreachableSince = time.Time{}
		s.control.metrics.partitioned.Set(0)
		return
	}
	if s.unreachableSince.IsZero() {
		s.unreachableSince = time.Now()
		s.control.metrics.partitioned.Set(1)
		s.control.options.Logger.Warn().Uint64("version", uint64(s.current)).
			Msg("no control replica with a leader is reachable; continuing with the last version")
	}
}
