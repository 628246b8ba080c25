// Package claims runs a ledger owner in a worker goroutine, stores its records in a journal, and gives this
// and other instances access to it.
package claims

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/internal/logging"
	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
	"github.com/primrosebeam/primrosebeam/ring"
)

const (
	// DefaultRingCapacity is the maximum number of waiting requests. It corresponds to about one second at
	// the target rate of 5,000 requests per second.
	DefaultRingCapacity = 4096
	// DefaultSnapshotBytes limits the replay after a restart to about 200,000 begins.
	DefaultSnapshotBytes = 32 << 20
	// snapshotGrowth is the minimum growth of the journal between snapshots, as a multiple of the last
	// snapshot's size. It keeps the cost of snapshots small compared with the cost of appending.
	snapshotGrowth = 4

	// tickInterval is the time between two removals of expired state.
	tickInterval = 500 * time.Millisecond
	// freezeThreshold is the delay of a tick above which the process is considered to have been frozen.
	freezeThreshold = time.Second
	// maxBatch is the maximum number of requests that share a sync. It limits the time for which the first of
	// them waits for the others.
	maxBatch = 1024
)

// Options contains the parameters of Open.
type Options struct {
	Name          string             // name of the instance, contained in its keys
	Directory     string             // holds identity file and journal, for example "ledger" in the data folder
	Limits        ledger.Limits      // zero values select the defaults
	RingCapacity  int                // maximum number of waiting requests; 0 means DefaultRingCapacity
	SnapshotBytes int64              // minimum journal growth between snapshots in bytes; 0 means DefaultSnapshotBytes
	SegmentBytes  int64              // segment size in bytes; 0 means the default of package journal
	Files         journal.FileSystem // nil means the file system of the operating system
	Now           func() time.Time   // nil means time.Now
	Random        io.Reader          // source of secrets and key IDs; nil means crypto/rand
	Metrics       *metrics.Set       // must not be shared with other owners; nil means a set that is not exposed
	Logger        zerolog.Logger     // the zero value discards all messages
}

func (o Options) withDefaults() Options {
	if o.RingCapacity == 0 {
		o.RingCapacity = DefaultRingCapacity
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	o.Files = journal.ReportSlow(o.Files, logging.SlowDisk(o.Logger))
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

// Owner is a ledger owner. Its methods are safe for concurrent use. Run is its worker.
type Owner struct {
	options Options
	calls   *ring.Ring[*call]
	metrics ownerMetrics
	state   atomic.Pointer[State]

	// Only the worker uses the fields below.
	storage
	batch    []*call   // current batch; reused to avoid allocations
	failure  error     // first error of the journal, nil while it works
	failedAt time.Time // time of that error
	reported string    // last error of an attempt to open the files again that was logged as a warning
	lastTick time.Time
	freezes  int // number of times the process was frozen

	staged          chan stagedSnapshot // capacity 1, because only one snapshot is written at a time
	snapshotting    bool                // whether a snapshot is being written
	snapshotCount   int                 // snapshots installed since the start
	snapshotsFailed int                 // snapshots failed since the start
}

// Open reads the files of an owner and starts a new epoch, which invalidates all earlier claims. If the file system
// refuses that, the owner starts without its ledger, returns *ledger.UnavailableError for all requests, and Run tries
// again. Open returns *IdentityError, *ledger.RecordError or an error of package journal; the instance then runs without
// the ledger role.
func Open(o Options) (*Owner, error) {
	o = o.withDefaults()
	owner := &Owner{
		options: o,
		calls:   ring.New[*call](o.RingCapacity),
		staged:  make(chan stagedSnapshot, 1),
	}
	opened, err := openStorage(o, time.Time{})
	switch {
	case err == nil:
		owner.storage = opened
	case !journal.IsRefused(err):
		return nil, err
	}
	owner.publish() // The gauges require a published state.
	owner.metrics = newOwnerMetrics(o.Metrics, owner)
	if err != nil {
		owner.fail(err)
	}
	return owner, nil
}

// Run processes requests until ctx ends. It then processes the waiting requests and closes the journal.
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

// serve processes all waiting requests in batches.
func (o *Owner) serve() {
	for {
		clear(o.batch) // Drops the references to finished calls.
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
			o.tick(now) // Under a continuous load, Run does not receive ticks.
		}
	}
}

// stop rejects new requests, processes the waiting ones and closes the journal.
func (o *Owner) stop() error {
	o.calls.Close()
	o.serve()
	if o.snapshotting {
		o.install(<-o.staged)
	}
	o.publish()
	if o.journal == nil {
		return nil
	}
	if err := o.journal.Close(); err != nil && o.failure == nil {
		return err
	}
	return nil
}

// tick removes expired state and publishes the state of the owner. No state has to be validated again after a
// freeze: whether an instance may begin a key depends only on the epoch and the generation in its request,
// not on elapsed time. No other process can have written in the meantime, because this process still holds
// the lock of the journal.
func (o *Owner) tick(now time.Time) {
	late := now.Sub(o.lastTick) - tickInterval
	o.lastTick = now
	if late > freezeThreshold {
		o.freezes++
		o.metrics.freezes.Inc()
		o.options.Logger.Warn().Dur("late", late).Msg("the ledger owner was frozen")
	}
	o.reopen(now)
	if o.ledger != nil {
		o.ledger.Tick(o.clock.now())
	}
	o.publish()
}

// stagedSnapshot is the result of encoding and writing a snapshot, which the worker then installs.
type stagedSnapshot struct {
	snapshot journal.StagedSnapshot
	size     int64     // in bytes
	err      error     // error of the encoding
	start    time.Time // start of the encoding
}

// startSnapshot starts a snapshot when the journal has grown enough. Encoding and writing run in a separate
// goroutine: they take a few hundred milliseconds for 100,000 keys, which is too long a delay for begins.
func (o *Owner) startSnapshot() {
	due := o.bytesSinceSnapshot >= max(o.options.SnapshotBytes, snapshotGrowth*o.lastSnapshotBytes)
	if o.failure != nil || o.snapshotting || !due {
		return
	}
	start := time.Now()
	view := o.ledger.View()
	// All appended records are synced at the end of a batch.
	upTo := o.journal.Last()
	// The count is reset even if the snapshot fails, so that it is not retried at once on a full disk.
	o.bytesSinceSnapshot = 0
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

// install makes a written snapshot the current one.
func (o *Owner) install(s stagedSnapshot) {
	o.snapshotting = false
	err := s.err
	if err == nil {
		err = o.journal.InstallSnapshot(s.snapshot)
	}
	var full *journal.FullError
	switch {
	case err == nil:
		o.lastSnapshotBytes = s.size
		o.snapshotCount++
		o.metrics.snapshotSeconds.UpdateDuration(s.start)
	case errors.As(err, &full):
		o.snapshotsFailed++
		o.options.Logger.Warn().Err(err).Msg("no space for a snapshot of the ledger")
	default:
		o.snapshotsFailed++
		o.fail(err)
	}
	o.publish()
}
