package core

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/internal/boottime"
	"github.com/primrosebeam/primrosebeam/internal/fleet"
	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/internal/logging"
	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/placement"
	"github.com/primrosebeam/primrosebeam/ring"
)

const (
	// originRingCapacity bounds the records that wait to be sent or saved: those of a few seconds at 300 instances.
	originRingCapacity = 8192
	// originBatchInterval is the minimum interval between two messages with origins to the same control instance.
	originBatchInterval = 20 * time.Millisecond
	// originSaveInterval is the minimum interval between two writes of origins, each of which syncs the file.
	originSaveInterval = 50 * time.Millisecond
	// originRetryInterval is the pause after a failed write, whose records are then written again.
	originRetryInterval = 500 * time.Millisecond
	// originBatch is the maximum number of records of one message or write.
	originBatch = 2048
)

// origins keeps which software version began which stream, shares it with the other control instances and saves it,
// so that it is known after a loss of all entry instances, of the leader, or of all processes.
type origins struct {
	core    *ControlInstance
	file    *originFile
	sending *ring.Ring[origin.Record]
	saving  *ring.Ring[savedOrigin]

	mu      sync.Mutex
	table   origin.Table
	history origin.History

	dropped, saveFailures *metrics.Counter
}

// savedOrigin is a record to be saved. With rotate, the records before it are those of an earlier period.
type savedOrigin struct {
	record origin.Record
	rotate bool
}

func newOrigins(c *ControlInstance) *origins {
	o := &origins{
		core:         c,
		sending:      ring.New[origin.Record](originRingCapacity),
		saving:       ring.New[savedOrigin](originRingCapacity),
		dropped:      c.options.Metrics.NewCounter("primrosebeam_stream_origins_dropped_total"),
		saveFailures: c.options.Metrics.NewCounter("primrosebeam_stream_origin_save_failures_total"),
	}
	file, records, err := loadOrigins(journal.ReportSlow(nil, logging.SlowDisk(c.options.Logger)), c.options.Settings.DataFolder)
	if err != nil {
		c.options.Logger.Warn().Err(err).Msg("origins of streams not restored")
	}
	o.file = file
	for _, r := range records[max(len(records)-originRingCapacity, 0):] {
		o.table.Add(clock(), r)
		if o.saving.Offer(savedOrigin{record: r}) != nil { // the file that holds it is removed after some restarts
			o.dropped.Inc()
		}
	}
	c.options.Logger.Info().Int("streams", len(records)).Msg("origins of streams restored")
	return o
}

func clock() time.Duration { return time.Duration(boottime.Now()) }

// add adds the records that an entry instance reports.
func (o *origins) add(records []origin.Record) {
	for _, r := range o.store(records) {
		if o.sending.Offer(r) != nil {
			o.dropped.Inc()
		}
	}
}

// store adds records and has them saved. It returns those that were not known.
func (o *origins) store(records []origin.Record) []origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var added []origin.Record
	for _, r := range records {
		if known, found := o.table.Find(r.Attempt); found && known == r.Origin {
			continue
		}
		added = append(added, r)
		if o.saving.Offer(savedOrigin{record: r, rotate: o.table.Add(clock(), r)}) != nil {
			o.dropped.Inc()
		}
	}
	return added
}

// enginesChanged records a new list of engines.
func (o *origins) enginesChanged(engines []placement.Engine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Observe(clock(), engines)
}

// handleRecords is the link handler for the records of other control instances.
func (o *origins) handleRecords(_ context.Context, _ link.Sender, body []byte) (any, error) {
	var message fleet.Origins
	if err := link.Decode(body, &message); err != nil {
		return nil, err
	}
	o.store(message.Records)
	return nil, nil
}

// handleQuery replies to an entry instance with the origin of a stream or, if it is not known, with the versions at
// which it may have begun.
func (o *origins) handleQuery(_ context.Context, _ link.Sender, body []byte) (any, error) {
	var query fleet.OriginQuery
	if err := link.Decode(body, &query); err != nil {
		return nil, err
	}
	isCurrent := o.core.directory.State().Age() <= origin.MaxListAge
	o.mu.Lock()
	defer o.mu.Unlock()
	if found, known := o.table.Find(query.Attempt); known {
		return fleet.OriginReply{Known: true, Origin: found}, nil
	}
	return fleet.OriginReply{Versions: o.history.Versions(clock(), time.Duration(query.WindowMS)*time.Millisecond, query.Service, isCurrent)}, nil
}

// sendRecords sends new records to the other control instances until ctx is cancelled.
func (o *origins) sendRecords(ctx context.Context) error {
	return inBatches(ctx, o.sending, originBatchInterval, func(batch []origin.Record) {
		for _, peer := range o.core.controlInstances() {
			if peer == o.core.name {
				continue
			}
			if err := o.core.link.Send(peer, fleet.KindOrigins, fleet.Origins{Records: batch}); err != nil {
				o.core.options.Logger.Debug().Str("peer", peer).Err(err).Msg("origins of streams not sent")
			}
		}
	})
}

// saveRecords saves new records until ctx is cancelled. Records of a failed write are saved again. A failure is logged
// once until a later attempt succeeds.
func (o *origins) saveRecords(ctx context.Context) error {
	failing := false
	err := inBatches(ctx, o.saving, originSaveInterval, func(batch []savedOrigin) {
		records := make([]origin.Record, len(batch))
		rotate := false
		for i, saved := range batch {
			records[i] = saved.record
			rotate = rotate || saved.rotate
		}
		err := o.file.append(records, rotate)
		var notRemoved *OriginRemovalError
		if errors.As(err, &notRemoved) {
			o.core.options.Logger.Warn().Err(err).Msg("old origins of streams not removed")
			err = nil
		}
		if err != nil {
			o.saveFailures.Inc()
			if !failing {
				o.core.options.Logger.Warn().Err(err).Int("streams", len(records)).Msg("origins of streams not saved; retrying")
			}
			o.saveAgain(ctx, batch)
		}
		failing = err != nil
	})
	if closed := o.file.close(); closed != nil {
		o.core.options.Logger.Warn().Err(closed).Msg("origins of streams not closed")
	}
	return err
}

// saveAgain queues records that were not saved, after originRetryInterval.
func (o *origins) saveAgain(ctx context.Context, batch []savedOrigin) {
	for _, saved := range batch {
		if o.saving.Offer(saved) != nil {
			o.dropped.Inc()
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(originRetryInterval):
	}
}

// inBatches passes the elements of a ring to handle, at most originBatch at once and not more often than the interval.
func inBatches[T any](ctx context.Context, in *ring.Ring[T], interval time.Duration, handle func([]T)) error {
	for {
		first, err := in.Take(ctx)
		if err != nil {
			return ctx.Err()
		}
		batch := []T{first}
		for len(batch) < originBatch {
			next, ok := in.TryTake()
			if !ok {
				break
			}
			batch = append(batch, next)
		}
		handle(batch)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}
