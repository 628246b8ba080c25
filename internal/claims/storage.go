package claims

import (
	"path/filepath"
	"time"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// storage is a ledger with the journal that it was read from. It is empty until the files could be opened.
type storage struct {
	clock              clock
	ledger             *ledger.Ledger
	journal            *journal.Journal
	bytesSinceSnapshot int64 // bytes appended since the last snapshot
	lastSnapshotBytes  int64 // size of the last snapshot
}

// openStorage opens the journal, restores the ledger and writes the record of a new epoch. The time of the ledger begins
// at lowest or later.
func openStorage(o Options, lowest time.Time) (storage, error) {
	l, err := ledger.New(o.Name, o.Limits)
	if err != nil {
		return storage{}, err
	}
	// The journal is opened first, because its lock also prevents a second process from using the identity
	// file.
	log, err := journal.Open(journal.Options{
		Directory:    filepath.Join(o.Directory, journalName),
		SegmentBytes: o.SegmentBytes,
		Files:        o.Files,
	})
	if err != nil {
		return storage{}, err
	}
	s := storage{ledger: l, journal: log}
	if err := s.load(o, lowest); err != nil {
		_ = log.Close() // The error of load is more relevant than that of Close.
		return storage{}, err
	}
	return s, nil
}

func (s *storage) load(o Options, lowest time.Time) error {
	upTo, data, err := s.journal.Snapshot()
	if err != nil {
		return err
	}
	if upTo > 0 {
		if err := s.ledger.Restore(data); err != nil {
			return err
		}
	}
	s.lastSnapshotBytes = int64(len(data))
	err = s.journal.Replay(upTo+1, func(_ journal.Sequence, record []byte) error {
		s.bytesSinceSnapshot += int64(len(record))
		return s.ledger.Replay(record)
	})
	if err != nil {
		return err
	}
	incarnation, epoch := s.ledger.StoredIdentity()
	next, err := nextIdentity(o, incarnation, epoch)
	if err != nil {
		return err
	}
	if stored := s.ledger.Stats().HighestTime; stored.After(lowest) {
		lowest = stored
	}
	s.clock = newClock(o.Now, lowest)
	record, err := s.ledger.Start(s.clock.now(), next)
	if err != nil {
		return err
	}
	if _, err := s.journal.Append(record); err != nil {
		return err
	}
	if err := s.journal.Sync(); err != nil {
		return err
	}
	s.ledger.Commit()
	return nil
}

// fail reports the first failure of the journal to the ledger, which rejects all writes until reopen succeeds.
func (o *Owner) fail(err error) {
	if o.failure != nil {
		return
	}
	o.failure, o.failedAt = err, time.Now()
	if o.ledger != nil {
		o.ledger.Fail(err)
	}
	o.metrics.failures.Inc()
	o.options.Logger.Error().Err(err).Msg("the journal of the ledger failed; the owner serves lookups only until it has opened it again")
	o.publish()
}

// reopen opens the files again after a failure. The owner continues like one that was restarted, in a new epoch: with
// what its disk holds. The records of the batch that failed are removed, since none of their callers got a result.
func (o *Owner) reopen(now time.Time) {
	if o.failure == nil || o.snapshotting || now.Before(o.failedAt.Add(tickInterval)) {
		return
	}
	o.metrics.reopenAttempts.Inc()
	opened, err := o.openAgain()
	if err != nil {
		event := o.options.Logger.Debug()
		if err.Error() != o.reported {
			event = o.options.Logger.Warn()
			o.reported = err.Error()
		}
		event.Err(err).Msg("the journal of the ledger could not be opened again; retrying")
		return
	}
	o.storage = opened
	o.failure, o.reported = nil, ""
	o.metrics.reopens.Inc()
	o.options.Logger.Info().Dur("out", now.Sub(o.failedAt)).Uint64("epoch", o.ledger.Stats().Epoch).
		Msg("the journal of the ledger works again")
}

func (o *Owner) openAgain() (storage, error) {
	if o.journal == nil {
		return openStorage(o.options, time.Time{})
	}
	// Before the journal is read, which takes longer, these writes find out whether the disk still refuses them.
	if err := journal.Probe(o.options.Files, filepath.Join(o.options.Directory, journalName)); err != nil {
		return storage{}, err
	}
	if err := o.journal.CutBack(); err != nil {
		return storage{}, err
	}
	_ = o.journal.Close() // It reports the failure again.
	return openStorage(o.options, o.ledger.Stats().HighestTime)
}
