// Package claims runs the duty of a ledger owner and gives other instances access to it.
package claims

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
	"github.com/primrosebeam/primrosebeam/ring"
)

const (
	// DefaultRingCapacity is the backlog of about one second at the target rate of 5,000 requests per second.
	DefaultRingCapacity = 4096
	// DefaultSnapshotBytes keeps the replay after a restart to about 200,000 begins.
	DefaultSnapshotBytes = 32 << 20
	// snapshotGrowth keeps the cost of snapshots a small share of the cost of appending.
	snapshotGrowth = 4

	tickInterval = 500 * time.Millisecond
	// frozenAfter is how late a tick has to be for the process to count as frozen.
	frozenAfter = time.Second
	// maxBatch bounds the requests that share a sync, so that the first of them does not wait for too many others.
	maxBatch = 1024
)

// Options are the parameters of Open.
type Options struct {
	Name          string             // of the instance; the keys carry it
	Directory     string             // for the identity file and the journal, for example "ledger" in the data folder
	Limits        ledger.Limits      // zero values mean the defaults
	RingCapacity  int                // requests; 0 means DefaultRingCapacity
	SnapshotBytes int64              // journal growth before a snapshot; 0 means DefaultSnapshotBytes
	SegmentBytes  int64              // of the journal; 0 means its default
	Files         journal.FileSystem // nil means the operating system
	Now           func() time.Time   // nil means time.Now
	Random        io.Reader          // nil means crypto/rand
	Metrics       *metrics.Set       // of this instance alone; nil means metrics that nobody reads
	Logger        zerolog.Logger     // the zero value logs nothing
}

func (o Options) withDefaults() Options {
	if o.RingCapacity == 0 {
		o.RingCapacity = DefaultRingCapacity
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.Files == nil {
		o.Files = journal.OS{}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}

// Owner is a ledger owner. Its methods are safe for concurrent use; Run is its duty.
type Owner struct {
	options Options
	calls   *ring.Ring[*call]
	meters  meters
	state   atomic.Pointer[State]

	// The fields below belong to the duty.
	clock         clock
	batch         []*call // reused
	ledger        *ledger.Ledger
	journal       *journal.Journal
	failure       error
	grown         int64 // bytes appended since the last snapshot
	snapshotBytes int64 // size of the last snapshot
	lastTick      time.Time
	freezes       int

	staged          chan stagedSnapshot // capacity 1: one snapshot at a time
	snapshotting    bool
	snapshotCount   int
	snapshotsFailed int
}

// Open reads the owner's files and starts a new epoch; every claim granted before is void. It returns
// *IdentityError, *ledger.RecordError or an error of package journal; the instance then has no ledger role.
func Open(o Options) (*Owner, error) {
	o = o.withDefaults()
	core, err := ledger.New(o.Name, o.Limits)
	if err != nil {
		return nil, err
	}
	// The journal is opened first, because its lock keeps a second process away from the identity file too.
	log, err := journal.Open(journal.Options{
		Directory:    filepath.Join(o.Directory, journalName),
		SegmentBytes: o.SegmentBytes,
		Files:        o.Files,
	})
	if err != nil {
		return nil, err
	}
	owner := &Owner{
		options: o,
		calls:   ring.New[*call](o.RingCapacity),
		ledger:  core,
		journal: log,
		staged:  make(chan stagedSnapshot, 1),
	}
	if err := owner.load(); err != nil {
		_ = log.Close() // The load error is the one to report.
		return nil, err
	}
	owner.publish() // The gauges read the published state.
	owner.meters = newMeters(o.Metrics, owner)
	return owner, nil
}

func (o *Owner) load() error {
	upTo, data, err := o.journal.Snapshot()
	if err != nil {
		return err
	}
	if upTo > 0 {
		if err := o.ledger.Restore(data); err != nil {
			return err
		}
	}
	o.snapshotBytes = int64(len(data))
	err = o.journal.Replay(upTo+1, func(_ journal.Sequence, record []byte) error {
		o.grown += int64(len(record))
		return o.ledger.Replay(record)
	})
	if err != nil {
		return err
	}
	incarnation, epoch := o.ledger.StoredIdentity()
	next, err := nextIdentity(o.options, incarnation, epoch)
	if err != nil {
		return err
	}
	o.clock = newClock(o.options.Now, o.ledger.Stats().HighestTime)
	record, err := o.ledger.Start(o.clock.now(), next)
	if err != nil {
		return err
	}
	if _, err := o.journal.Append(record); err != nil {
		return err
	}
	if err := o.journal.Sync(); err != nil {
		return err
	}
	o.ledger.Commit()
	return nil
}

// Run serves requests until ctx ends, then answers those that wait and closes the journal.
func (o *Owner) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	o.lastTick = time.Now()
	for {
		select {
		case <-ctx.Done():
			return o.stop()
		case <-ticker.C:
			o.tick(time.Now())
		case s := <-o.staged:
			o.install(s)
		case <-o.calls.Ready():
			o.serve()
		}
	}
}

// serve handles everything that waits, one batch after the other.
func (o *Owner) serve() {
	for {
		clear(o.batch) // Answered calls must not be kept alive.
		o.batch = o.batch[:0]
		for len(o.batch) < maxBatch {
			c, ok := o.calls.TryTake()
			if !ok {
				break
			}
			o.batch = append(o.batch, c)
		}
		if len(o.batch) == 0 {
			return
		}
		o.process(o.batch)
		if now := time.Now(); now.Sub(o.lastTick) >= tickInterval {
			o.tick(now) // A steady load must not starve the ticks.
		}
	}
}

func (o *Owner) stop() error {
	o.calls.Close()
	o.serve()
	if o.snapshotting {
		o.install(<-o.staged)
	}
	o.publish()
	if err := o.journal.Close(); err != nil && o.failure == nil {
		return err
	}
	return nil
}

// tick drops what has expired. After a freeze nothing needs to be checked again: what an instance may do depends on
// the epoch and the generation in its request alone, never on how much time passed here. No other process can have
// written meanwhile, because this one still holds the journal's lock.
func (o *Owner) tick(now time.Time) {
	late := now.Sub(o.lastTick) - tickInterval
	o.lastTick = now
	if late > frozenAfter {
		o.freezes++
		o.meters.freezes.Inc()
		o.options.Logger.Warn().Dur("late", late).Msg("the ledger owner was frozen")
	}
	o.ledger.Tick(o.clock.now())
	o.publish()
}

// fail makes the journal's failure known to the ledger, which refuses writes from then on.
func (o *Owner) fail(err error) {
	if o.failure != nil {
		return
	}
	o.failure = err
	o.ledger.Fail(err)
	o.meters.failures.Inc()
	o.options.Logger.Error().Err(err).Msg("the ledger's journal failed; the owner answers look-ups only")
}

// stagedSnapshot is a snapshot on its way from the encoding goroutine to the duty.
type stagedSnapshot struct {
	snapshot journal.StagedSnapshot
	size     int64
	err      error // of the encoding
	start    time.Time
}

// snapshot starts a snapshot when the journal has grown enough. Encoding and writing run beside the duty: they take
// a few hundred milliseconds for 100,000 keys, and begins must not wait for that long.
func (o *Owner) snapshot() {
	enough := o.grown >= max(o.options.SnapshotBytes, snapshotGrowth*o.snapshotBytes)
	if o.failure != nil || o.snapshotting || !enough {
		return
	}
	start := time.Now()
	view := o.ledger.View()
	upTo := o.journal.Last() // Everything appended is synced when a batch has ended.
	o.grown = 0              // Also when the snapshot fails, so that a full disk is not tried again at once.
	o.snapshotting = true
	go func() {
		data, err := view.Encode()
		s := stagedSnapshot{size: int64(len(data)), err: err, start: start}
		if err == nil {
			s.snapshot = o.journal.StageSnapshot(upTo, data)
		}
		o.staged <- s
	}()
}

// install puts a finished snapshot in force.
func (o *Owner) install(s stagedSnapshot) {
	o.snapshotting = false
	err := s.err
	if err == nil {
		err = o.journal.InstallSnapshot(s.snapshot)
	}
	var full *journal.FullError
	switch {
	case err == nil:
		o.snapshotBytes = s.size
		o.snapshotCount++
		o.meters.snapshotSeconds.UpdateDuration(s.start)
	case errors.As(err, &full):
		o.snapshotsFailed++
		o.options.Logger.Warn().Err(err).Msg("no space for a snapshot of the ledger")
	default:
		o.snapshotsFailed++
		o.fail(err)
	}
	o.publish()
}
