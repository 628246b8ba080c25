package replica

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/journal"
)

// journalRecord is one record of the journal. All records of one Ready are made durable by a single sync.
// Entries replace everything stored from the index of the first one on, so a conflicting suffix needs no
// truncation.
type journalRecord struct {
	Identity *consensus.ID        `cbor:"1,keyasint,omitempty"` // in the first record and after a renewal
	Hard     *consensus.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []consensus.Entry    `cbor:"3,keyasint,omitempty"`
}

// snapshotImage is the data of a journal snapshot. It replaces all earlier records, so besides the state
// machine it holds everything else that a restart needs: the identity, the hard state and the entries
// after the snapshot.
type snapshotImage struct {
	Identity consensus.ID        `cbor:"1,keyasint"`
	Hard     consensus.HardState `cbor:"2,keyasint"`
	Snapshot *consensus.Snapshot `cbor:"3,keyasint,omitempty"`
	Tail     []consensus.Entry   `cbor:"4,keyasint,omitempty"`
}

// maxRecordEntryBytes is the size at which the entries of a large Ready are split into several records. It
// is far below the maximum size of a journal record.
const maxRecordEntryBytes = 1 << 20

// store keeps the durable state of one replica in a journal. The identity is part of the journal, so
// losing the journal also loses the identity: a replica that starts on an empty disk has a new
// incarnation.
type store struct {
	journal   *journal.Journal
	identity  consensus.ID
	hardState consensus.HardState // last written value
	snapshot  *consensus.Snapshot // set only while loading
	entries   []consensus.Entry   // set only while loading
}

// openStore opens the journal. On an empty disk it first creates and syncs a new identity.
func openStore(o journal.Options, instance string, newIncarnation func() uint64) (*store, error) {
	j, err := journal.Open(o)
	if err != nil {
		return nil, err
	}
	s := &store{journal: j}
	if err := s.load(instance, newIncarnation); err != nil {
		_ = j.Close()
		return nil, err
	}
	return s, nil
}

// load reads the snapshot and replays the records after it. On an empty disk it writes a new identity.
func (s *store) load(instance string, newIncarnation func() uint64) error {
	covered, data, err := s.journal.Snapshot()
	if err != nil {
		return err
	}
	if data != nil {
		if err := s.loadImage(uint64(covered), data); err != nil {
			return err
		}
	}
	if err := s.journal.Replay(covered+1, s.replay); err != nil {
		return err
	}
	if s.identity.IsZero() {
		s.identity = consensus.ID{Instance: instance, Incarnation: newIncarnation()}
		if err := s.write(journalRecord{Identity: &s.identity}); err != nil {
			return err
		}
		return s.journal.Sync()
	}
	if s.identity.Instance != instance {
		return &IdentityError{Stored: s.identity.Instance, Configured: instance}
	}
	return nil
}

func (s *store) loadImage(covered uint64, data []byte) error {
	var i snapshotImage
	if err := cbor.Unmarshal(data, &i); err != nil {
		return &RecordError{Sequence: covered, Cause: err}
	}
	s.identity, s.hardState, s.snapshot, s.entries = i.Identity, i.Hard, i.Snapshot, i.Tail
	return nil
}

func (s *store) replay(sequence journal.Sequence, data []byte) error {
	var r journalRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return &RecordError{Sequence: uint64(sequence), Cause: err}
	}
	if r.Identity != nil {
		s.identity = *r.Identity
	}
	if r.Hard != nil {
		s.hardState = *r.Hard
	}
	return s.replaceEntries(uint64(sequence), r.Entries)
}

// replaceEntries applies the entries of a record to those loaded so far, replacing the ones from the first
// index of the record on.
func (s *store) replaceEntries(sequence uint64, entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	base := uint64(0)
	if s.snapshot != nil {
		base = s.snapshot.Index
	}
	first := entries[0].Index
	if first <= base || first > base+uint64(len(s.entries))+1 {
		gap := &consensus.InvalidStateError{Detail: fmt.Sprintf("entry %d after %d entries from %d on", first, len(s.entries), base+1)}
		return &RecordError{Sequence: sequence, Cause: gap}
	}
	s.entries = append(s.entries[:first-base-1], entries...)
	return nil
}

// Load implements consensus.Storage. It transfers the loaded entries to the caller and does not keep them.
func (s *store) Load() (consensus.HardState, *consensus.Snapshot, []consensus.Entry, error) {
	snapshot, entries := s.snapshot, s.entries
	s.snapshot, s.entries = nil, nil
	return s.hardState, snapshot, entries, nil
}

// Snapshot implements consensus.Storage.
func (s *store) Snapshot() (*consensus.Snapshot, error) {
	covered, data, err := s.journal.Snapshot()
	if err != nil || data == nil {
		return nil, err
	}
	var i snapshotImage
	if err := cbor.Unmarshal(data, &i); err != nil {
		return nil, &RecordError{Sequence: uint64(covered), Cause: err}
	}
	return i.Snapshot, nil
}

// persist makes the durable part of a Ready durable with a single sync.
func (s *store) persist(r *consensus.Ready, synced func(time.Duration)) error {
	if r.Snapshot != nil {
		return s.persistSnapshot(r)
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	if err := s.writeReady(r); err != nil {
		return err
	}
	if !r.MustSync {
		// Only the commit index changed, which needs no sync of its own; the next sync includes it.
		return nil
	}
	start := time.Now()
	err := s.journal.Sync()
	synced(time.Since(start))
	return err
}

// writeReady appends the records of a Ready. The first record carries the term, because entries of a term
// must not be recovered without it. Only the last record carries the commit index, because it must only be
// recovered together with the entries that it covers.
func (s *store) writeReady(r *consensus.Ready) error {
	next := s.hardState
	if r.HardState != nil {
		next = *r.HardState
	}
	previousCommit := next
	previousCommit.Commit = s.hardState.Commit
	rest := r.Entries
	for {
		count := entriesPerRecord(rest)
		out := journalRecord{Entries: rest[:count], Hard: &previousCommit}
		rest = rest[count:]
		if len(rest) == 0 {
			out.Hard = &next
		}
		if err := s.write(out); err != nil {
			return err
		}
		if len(rest) == 0 {
			s.hardState = next
			return nil
		}
	}
}

// entriesPerRecord returns how many of the entries fit into one record; at least one.
func entriesPerRecord(entries []consensus.Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxRecordEntryBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

func (s *store) write(r journalRecord) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.journal.Append(data)
	return err
}

// persistSnapshot replaces the stored state by a snapshot received from the leader.
func (s *store) persistSnapshot(r *consensus.Ready) error {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	return s.saveImage(r.Snapshot, r.Entries)
}

// saveSnapshot stores a snapshot of the local state machine together with the entries after it.
func (s *store) saveSnapshot(snapshot *consensus.Snapshot, tail []consensus.Entry) error {
	return s.saveImage(snapshot, tail)
}

func (s *store) saveImage(snapshot *consensus.Snapshot, tail []consensus.Entry) error {
	data, err := cbor.Marshal(snapshotImage{Identity: s.identity, Hard: s.hardState, Snapshot: snapshot, Tail: tail})
	if err != nil {
		return err
	}
	return s.journal.SaveSnapshot(s.journal.Last(), data)
}

// renewIncarnation gives a disk without a log a higher incarnation. The hard state is reset because its
// votes were cast under the previous identity.
func (s *store) renewIncarnation(incarnation uint64) error {
	s.identity.Incarnation = incarnation
	s.hardState = consensus.HardState{}
	if err := s.write(journalRecord{Identity: &s.identity, Hard: &s.hardState}); err != nil {
		return err
	}
	return s.journal.Sync()
}

func (s *store) close() error { return s.journal.Close() }
