package replica

import (
	"errors"
	"time"

	"github.com/primrosebeam/primrosebeam/journal"
)

// reopenInterval is the interval at which a replica whose disk was full tries to write to it. Each attempt reads the
// journal.
const reopenInterval = 500 * time.Millisecond

// reopen returns a replica that found its disk full to the log once a write succeeds. It continues like a replica that
// was restarted: from what its disk holds, which the journal has cut back to what was durable, so that it has promised
// nothing else. The state machine stays as it is.
//
// Invariant: what was applied is durable, since entries are persisted before they are applied.
func (r *Replica) reopen(now time.Time) {
	var full *journal.FullError
	if !errors.As(r.failure, &full) || now.Before(r.reopenAt) {
		return
	}
	r.reopenAt = now.Add(reopenInterval)
	if err := r.store.journal.CutBack(); err != nil {
		if !errors.As(err, &full) {
			r.failure = err
			r.logger.Error().Err(err).Msg("what the full disk holds is not known; the replica takes no further part")
		}
		return
	}
	if err := r.store.close(); err != nil && !errors.As(err, &full) {
		r.logger.Warn().Err(err).Msg("closing the journal failed")
	}
	s, err := openStore(r.options.journalOptions(), r.options.Instance, r.options.NewIncarnation)
	if err != nil {
		r.logger.Debug().Err(err).Msg("the journal could not be opened again")
		return
	}
	if err := s.confirmWritable(); err != nil {
		r.logger.Debug().Err(err).Msg("the disk is still full")
		r.store = s // it has to cut back what it wrote
		if !errors.As(err, &full) {
			r.failure = err
			r.logger.Error().Err(err).Msg("storage failed; the replica takes no further part")
		}
		return
	}
	former := r.store
	r.store = s
	if err := r.startNode(); err != nil {
		r.store = former
		_ = s.close() // nothing is pending
		r.failure = err
		r.logger.Error().Err(err).Msg("the journal does not fit the log; the replica takes no further part")
		return
	}
	r.failure = nil
	r.leadingTerm = 0
	r.lastTick = now
	r.appliedSinceCompaction = 0
	r.instruments.logBytes.Store(0)
	r.instruments.reopens.Inc()
	r.node.SetJoinPeers(r.joined)
	r.logger = r.options.Logger.With().Str("duty", "replica").Stringer("replica", s.identity).Logger()
	r.logger.Info().Uint64("applied", r.appliedIndex).Uint64("last", r.node.Status().Last).Msg("the disk has room again; the replica takes part")
}

// confirmWritable writes the hard state once more and syncs it. It fails while the disk is full.
func (s *store) confirmWritable() error {
	hard := s.hardState
	if err := s.write(journalRecord{Hard: &hard}); err != nil {
		return err
	}
	return s.journal.Sync()
}
