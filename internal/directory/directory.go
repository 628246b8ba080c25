// Package directory reads the platform's list of engines regularly and keeps the last good one.
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

// readTimeout bounds one reading, so that a silent connection is given up on before the next but one.
const readTimeout = 900 * time.Millisecond

// Options configure a Reader.
type Options struct {
	Address  string
	Interval time.Duration
	OnChange func([]placement.Engine) // called with each list that differs; must not block
	// ReadNeeded tells whether a reading is needed; nil means always.
	ReadNeeded func() bool
	Logger     zerolog.Logger
	Metrics    *metrics.Set
}

// State is the last good list.
type State struct {
	Engines []placement.Engine
	Digest  uint64
	ReadAt  boottime.Time // before the reading began; 0 means never
}

// unknownAge stands for a list that was never read.
const unknownAge = time.Hour

// Age returns how old the list is.
func (s State) Age() time.Duration {
	if s.ReadAt == 0 {
		return unknownAge
	}
	return boottime.Now().Sub(s.ReadAt)
}

// Reader is the duty that reads the list.
type Reader struct {
	options Options
	client  *http.Client
	state   atomic.Pointer[State]
	failing bool

	mu      sync.Mutex // serializes Store
	history map[uint64][]placement.Engine
	order   []uint64 // digests in history, oldest first

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

// State returns the last good list.
func (r *Reader) State() State { return *r.state.Load() }

// Run reads until ctx ends.
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
	began := boottime.Now()
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
	r.Store(engines, began)
}

// Store takes a list that was read at a time, here or by another instance. An older one is ignored.
func (r *Reader) Store(engines []placement.Engine, readAt boottime.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := r.State()
	if readAt <= former.ReadAt {
		return
	}
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b placement.Engine) int { return strings.Compare(a.ID, b.ID) })
	digest := Digest(engines)
	r.state.Store(&State{Engines: engines, Digest: digest, ReadAt: readAt})
	r.remember(digest, engines)
	if digest != former.Digest || former.ReadAt == 0 {
		r.logChanges(former.Engines, engines)
		r.options.OnChange(engines)
	}
}

// Export returns the list for another instance that has one with this digest.
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

// difference returns the entries of a list that another one lacks or has otherwise, and the IDs of
// those that are gone from it. Both are sorted by ID.
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

// apply returns a list after its changes.
func apply(base, changed []placement.Engine, removed []string) []placement.Engine {
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

// Merge takes a list from another instance that was asked for it at a time.
func (r *Reader) Merge(l fleet.EngineList, asked boottime.Time) {
	readAt := asked.Add(-time.Duration(l.AgeMS) * time.Millisecond)
	own := r.State()
	switch {
	case l.Digest == own.Digest:
		r.ConfirmAt(readAt)
	case l.Base == own.Digest && own.ReadAt != 0:
		r.Store(apply(own.Engines, l.Engines, l.Removed), readAt)
	case l.Base == 0 && l.Engines != nil:
		r.Store(l.Engines, readAt)
	}
}

// historyLists is how many lists are kept for those who ask for the changes since: changes come at
// most with every reading, and everyone asks more often than eight readings apart.
const historyLists = 8

// remember requires r.mu.
func (r *Reader) remember(digest uint64, engines []placement.Engine) {
	if _, known := r.history[digest]; known {
		return
	}
	r.history[digest] = engines
	r.order = append(r.order, digest)
	if len(r.order) > historyLists {
		delete(r.history, r.order[0])
		r.order = r.order[1:]
	}
}

// ConfirmAt marks the present list as read at a time, since another instance holds the same one.
func (r *Reader) ConfirmAt(readAt boottime.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.State()
	if readAt > state.ReadAt && state.ReadAt != 0 {
		state.ReadAt = readAt
		r.state.Store(&state)
	}
}

func (r *Reader) logChanges(former, engines []placement.Engine) {
	before := make(map[string]placement.Engine, len(former))
	for _, e := range former {
		before[e.ID] = e
	}
	for _, e := range engines {
		old, known := before[e.ID]
		delete(before, e.ID)
		if !known || old.Leaving != e.Leaving {
			r.options.Logger.Info().Str("engine", e.ID).Str("address", e.Address).Str("service", e.Service).
				Bool("leaving", e.Leaving).Msg("engine listed")
		}
	}
	for id := range before {
		r.options.Logger.Info().Str("engine", id).Msg("engine gone from the list")
	}
}

// Digest returns a number that is equal for equal sorted lists.
func Digest(engines []placement.Engine) uint64 {
	data, err := cbor.Marshal(engines)
	if err != nil {
		return 0 // Engines are plain strings and numbers, so this is not reached.
	}
	return xxhash.Sum64(data)
}
