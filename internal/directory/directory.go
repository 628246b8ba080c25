// Package directory reads the platform's list of engines periodically and keeps the last valid one.
package directory

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/platform"
)

// readTimeout limits one read, so that an unresponsive connection is closed before the second read after it.
const readTimeout = 900 * time.Millisecond

// Options configures a Reader.
type Options struct {
	Address  string
	Interval time.Duration
	OnChange func([]placement.Engine) // called with each list that differs from the one before; must not block
	// ReadNeeded reports whether this instance has to read the list itself; nil means always.
	ReadNeeded func() bool
	Logger     zerolog.Logger
	Metrics    *metrics.Set
}

// State is the last valid list.
type State struct {
	Engines []placement.Engine
	Digest  uint64
	ReadAt  boottime.Time // start of the read; 0 means never
}

// unknownAge is the age of a list that was never read.
const unknownAge = time.Hour

// Age returns the time since the list was read.
func (s State) Age() time.Duration {
	if s.ReadAt == 0 {
		return unknownAge
	}
	return boottime.Now().Sub(s.ReadAt)
}

// Reader is the worker that reads the list.
type Reader struct {
	options Options
	client  *http.Client
	state   atomic.Pointer[State]
	failing bool // the last read failed; used by Run only

	mu      sync.Mutex                    // guards history and order, and serializes changes of state
	history map[uint64][]placement.Engine // recent lists, by digest
	order   []uint64                      // digests in history, oldest first

	reads, failures, malformed *metrics.Counter
}

// New returns a reader without a list.
func New(o Options) *Reader {
	dialer := &net.Dialer{Timeout: readTimeout}
	r := &Reader{
		options: o,
		history: map[uint64][]placement.Engine{},
		client: &http.Client{Timeout: readTimeout, Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
		}},
		reads:     o.Metrics.NewCounter("primrosebeam_directory_reads_total"),
		failures:  o.Metrics.NewCounter("primrosebeam_directory_failures_total"),
		malformed: o.Metrics.NewCounter("primrosebeam_directory_malformed_entries_total"),
	}
	r.state.Store(&State{})
	return r
}

// State returns the last valid list.
func (r *Reader) State() State { return *r.state.Load() }

// Run reads the list at the given interval until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		if r.options.ReadNeeded == nil || r.options.ReadNeeded() {
			r.read(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	startedAt := boottime.Now()
	r.reads.Inc()
	engines, malformed, err := platform.ReadDirectory(ctx, r.client, r.options.Address)
	if err != nil {
		r.failures.Inc()
		if !r.failing && ctx.Err() == nil {
			r.options.Logger.Warn().Dur("age", r.State().Age()).Err(err).Msg("list of engines lost")
		}
		r.failing = true
		r.client.CloseIdleConnections()
		return
	}
	if r.failing {
		r.failing = false
		r.options.Logger.Info().Int("engines", len(engines)).Msg("list of engines regained")
	}
	r.malformed.Add(malformed)
	r.Store(engines, startedAt)
}

// Store stores a list that was read at readAt, by this or another instance. It ignores a list that is not
// newer than the present one.
func (r *Reader) Store(engines []placement.Engine, readAt boottime.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.State()
	if readAt <= previous.ReadAt {
		return
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b placement.Engine) int { return strings.Compare(a.ID, b.ID) })
	digest := Digest(engines)
	r.state.Store(&State{Engines: engines, Digest: digest, ReadAt: readAt})
	r.addToHistory(digest, engines)
	if digest != previous.Digest || previous.ReadAt == 0 {
		r.logChanges(previous.Engines, engines)
		r.options.OnChange(engines)
	}
}

// Export returns the list for another instance whose list has the given digest. If that list is still in the
// history, only the changes are returned.
func (r *Reader) Export(digest uint64) fleet.EngineList {
	s := r.State()
	out := fleet.EngineList{Digest: s.Digest, AgeMS: s.Age().Milliseconds()}
	if s.Digest == digest {
		return out
	}
	r.mu.Lock()
	base, known := r.history[digest]
	r.mu.Unlock()
	if !known {
		out.Engines = s.Engines
		return out
	}
	out.Base = digest
	out.Engines, out.Removed = difference(base, s.Engines)
	return out
}

// difference returns the entries of list that base lacks or has with other values, and the IDs that only base
// has. Both are sorted by ID.
func difference(base, list []placement.Engine) (changed []placement.Engine, removed []string) {
	before := make(map[string]placement.Engine, len(base))
	for _, e := range base {
		before[e.ID] = e
	}
	for _, e := range list {
		if before[e.ID] != e {
			changed = append(changed, e)
		}
		delete(before, e.ID)
	}
	return changed, slices.Sorted(maps.Keys(before))
}

// applyChanges returns base with the given changes, in no particular order.
func applyChanges(base, changed []placement.Engine, removed []string) []placement.Engine {
	after := make(map[string]placement.Engine, len(base)+len(changed))
	for _, e := range base {
		after[e.ID] = e
	}
	for _, id := range removed {
		delete(after, id)
	}
	for _, e := range changed {
		after[e.ID] = e
	}
	return slices.Collect(maps.Values(after))
}

// Merge applies the reply of another instance to a request for its list that was sent at requestedAt.
func (r *Reader) Merge(l fleet.EngineList, requestedAt boottime.Time) {
	readAt := requestedAt.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	own := r.State()
	switch {
	case l.Digest == own.Digest:
		r.ConfirmAt(readAt)
	case l.Base == own.Digest && own.ReadAt != 0:
		r.Store(applyChanges(own.Engines, l.Engines, l.Removed), readAt)
	case l.Base == 0 && l.Engines != nil:
		r.Store(l.Engines, readAt)
	}
}

// maxHistory is the number of recent lists that are kept to compute changes for other instances. The list
// changes at most once per read, and every instance requests it more often than every eight reads.
const maxHistory = 8

// addToHistory adds a list to the history. The caller holds r.mu.
func (r *Reader) addToHistory(digest uint64, engines []placement.Engine) {
	if _, known := r.history[digest]; known {
		return
	}
	r.history[digest] = engines
	r.order = append(r.order, digest)
	if len(r.order) > maxHistory {
		delete(r.history, r.order[0])
		r.order = r.order[1:]
	}
}

// ConfirmAt sets the read time of the present list to readAt if that is later, because another instance has
// read the same list then.
func (r *Reader) ConfirmAt(readAt boottime.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.State()
	if readAt > state.ReadAt && state.ReadAt != 0 {
		state.ReadAt = readAt
		r.state.Store(&state)
	}
}

// logChanges logs new, removed and leaving engines.
func (r *Reader) logChanges(previous, engines []placement.Engine) {
	before := make(map[string]placement.Engine, len(previous))
	for _, e := range previous {
		before[e.ID] = e
	}
	for _, e := range engines {
		old, known := before[e.ID]
		delete(before, e.ID)
		if !known || old.Leaving != e.Leaving || old.Born != e.Born || old.Version != e.Version {
			r.options.Logger.Info().Str("engine", e.ID).Str("address", e.Address).Str("service", e.Service).
				Str("version", e.Version).Int64("born", e.Born).Bool("leaving", e.Leaving).Msg("engine listed")
		}
	}
	for id := range before {
		r.options.Logger.Info().Str("engine", id).Msg("engine gone from the list")
	}
}

// Digest returns a hash of a list; equal lists in the same order have equal digests.
func Digest(engines []placement.Engine) uint64 {
	data, err := cbor.Marshal(engines)
	if err != nil {
		return 0 // Not reached, because engines consist of plain strings and numbers.
	}
	return xxhash.Sum64(data)
}
