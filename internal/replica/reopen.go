package replica

import (
	"time"

	"github.com/primrosebeam/primrosebeam/journal"
)

// reopenInterval is the interval at which a replica whose storage refused an operation tries to open it again.
const reopenInterval = 500 * time.Millisecond

// storageFailure is a refusal of the storage that keeps the replica out of the log, until it has opened it again.
type storageFailure struct {
	err      error // of the last attempt
	since    time.Time
	attempts int
	retryAt  time.Time
}

// suspend ends the participation in the log until reopen succeeds. After a refused write or sync the content of the disk
// is unknown, so another vote or acknowledgement could promise something that a restart does not find.
func (r *Replica) suspend(err error) {
	now := time.Now()
	r.suspended = &storageFailure{err: err, since: now, retryAt: now.Add(reopenInterval)}
	r.instruments.storageFailures.Inc()
	r.fail(err, "storage failed; the replica takes no part in the log until it has opened it again")
}

// reopen returns a suspended replica to the log once its storage works. It continues like a replica that was restarted:
// from what its disk holds, which is durable once the journal is open. The state machine stays as it is, or is restored
// from a snapshot that was stored just before the failure.
//
// Invariant: what was applied is durable, since entries and snapshots are persisted before they are applied.
func (r *Replica) reopen(now time.Time) {
	f := r.suspended
	if f == nil || now.Before(f.retryAt) {
		return
	}
	f.retryAt = now.Add(reopenInterval)
	f.attempts++
	r.instruments.reopenAttempts.Inc()
	s, err := r.openAgain()
	if err != nil {
		event := r.logger.Debug()
		if f.attempts == 1 || err.Error() != f.err.Error() {
			event = r.logger.Warn()
		}
		event.Err(err).Int("attempts", f.attempts).Msg("the log could not be opened again; retrying")
		f.err, r.failure = err, err
		return
	}
	r.store = s
	if err := r.restore(); err != nil {
		r.suspended = nil
		r.fail(err, "what the disk holds does not fit the log; the replica takes no further part")
		return
	}
	r.suspended, r.failure = nil, nil
	r.leadingTerm = 0
	r.lastTick = now
	r.appliedSinceCompaction = 0
	r.instruments.logBytes.Store(0)
	r.instruments.reopens.Inc()
	r.node.SetJoinPeers(r.joined)
	r.logger.Info().Dur("out", now.Sub(f.since)).Int("attempts", f.attempts).Uint64("applied", r.appliedIndex).
		Uint64("last", r.node.Status().Last).Msg("the storage works again; the replica takes part in the log")
}

// openAgain closes the store, opens it again and confirms that it can be written to.
func (r *Replica) openAgain() (*store, error) {
	if r.store != nil {
		// Before the journal is read, which takes longer, these writes find out whether the storage still refuses them.
		if err := journal.Probe(r.options.Files, r.options.Directory); err != nil {
			return nil, err
		}
		if err := r.store.journal.CutBack(); err != nil {
			return nil, err
		}
		_ = r.store.close() // It reports the failure again.
	}
	s, err := openStore(r.options.journalOptions(), r.options.Instance, r.options.NewIncarnation)
	if err != nil {
		return nil, err
	}
	if err := s.confirmWritable(); err != nil {
		_ = s.close() // It reports the failure again.
		return nil, err
	}
	return s, nil
}

// confirmWritable writes the hard state once more and syncs it.
func (s *store) confirmWritable() error {
	hard := s.hardState
	if err := s.write(journalRecord{Hard: &hard}); err != nil {
		return err
	}
	return s.journal.Sync()
}
