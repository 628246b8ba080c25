package replica

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/journal"
)

// record is one journal record. The records of one Ready are synced together. Entries replace
// everything stored from the first one's index on, so a conflicting suffix needs no truncation.
type record struct {
	Identity *consensus.ID        `cbor:"1,keyasint,omitempty"` // in the first record of a disk, and when it is renewed
	Hard     *consensus.HardState `cbor:"2,keyasint,omitempty"`
	Entries  []consensus.Entry    `cbor:"3,keyasint,omitempty"`
}

// image is the data of a journal snapshot. It replaces all records before it, so it also holds what
// a restart needs besides the state machine: the identity, the hard state and the entries after it.
type image struct {
	Identity consensus.ID        `cbor:"1,keyasint"`
	Hard     consensus.HardState `cbor:"2,keyasint"`
	Snapshot *consensus.Snapshot `cbor:"3,keyasint,omitempty"`
	Tail     []consensus.Entry   `cbor:"4,keyasint,omitempty"`
}

// maxRecordEntryBytes splits the entries of a large Ready into records far below the journal's bound.
const maxRecordEntryBytes = 1 << 20

// store keeps the durable state of one replica in a journal. The identity is part of the journal, so
// whatever loses the journal loses the identity too: a replica on an empty disk has a new incarnation.
type store struct {
	journal  *journal.Journal
	identity consensus.ID
	hard     consensus.HardState // as last written
	snapshot *consensus.Snapshot // only while loading
	entries  []consensus.Entry   // only while loading
}

// openStore opens the journal. On an empty disk it creates and syncs a new identity first.
func openStore(o journal.Options, instance string, newIncarnation func() uint64) (*store, error) {
	j, err := journal.Open(o)
	if err != nil {
		return nil, err
	}
	s := &store{journal: j}
	if err := s.start(instance, newIncarnation); err != nil {
		_ = j.Close()
		return nil, err
	}
	return s, nil
}

func (s *store) start(instance string, newIncarnation func() uint64) error {
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
		if err := s.write(record{Identity: &s.identity}); err != nil {
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
	var i image
	if err := cbor.Unmarshal(data, &i); err != nil {
		return &RecordError{Sequence: covered, Cause: err}
	}
	s.identity, s.hard, s.snapshot, s.entries = i.Identity, i.Hard, i.Snapshot, i.Tail
	return nil
}

func (s *store) replay(sequence journal.Sequence, data []byte) error {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return &RecordError{Sequence: uint64(sequence), Cause: err}
	}
	if r.Identity != nil {
		s.identity = *r.Identity
	}
	if r.Hard != nil {
		s.hard = *r.Hard
	}
	return s.replace(uint64(sequence), r.Entries)
}

// replace applies the entries of a record to those loaded so far.
func (s *store) replace(sequence uint64, entries []consensus.Entry) error {
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

// Load implements consensus.Storage. The entries are handed over, not kept.
func (s *store) Load() (consensus.HardState, *consensus.Snapshot, []consensus.Entry, error) {
	snapshot, entries := s.snapshot, s.entries
	s.snapshot, s.entries = nil, nil
	return s.hard, snapshot, entries, nil
}

// Snapshot implements consensus.Storage.
func (s *store) Snapshot() (*consensus.Snapshot, error) {
	covered, data, err := s.journal.Snapshot()
	if err != nil || data == nil {
		return nil, err
	}
	var i image
	if err := cbor.Unmarshal(data, &i); err != nil {
		return nil, &RecordError{Sequence: uint64(covered), Cause: err}
	}
	return i.Snapshot, nil
}

// persist makes the durable part of a Ready durable, with one sync for all of it.
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
		return nil // Only the commit hint changed; it is synced with whatever comes next.
	}
	start := time.Now()
	err := s.journal.Sync()
	synced(time.Since(start))
	return err
}

// writeReady appends the records of a Ready. The term comes with the first record, as entries of a
// term must not be found without it; the commit hint comes with the last, as it may only be found
// together with the entries that it covers.
func (s *store) writeReady(r *consensus.Ready) error {
	next := s.hard
	if r.HardState != nil {
		next = *r.HardState
	}
	early := next
	early.Commit = s.hard.Commit
	rest := r.Entries
	for {
		count := chunk(rest)
		out := record{Entries: rest[:count], Hard: &early}
		rest = rest[count:]
		if len(rest) == 0 {
			out.Hard = &next
		}
		if err := s.write(out); err != nil {
			return err
		}
		if len(rest) == 0 {
			s.hard = next
			return nil
		}
	}
}

// chunk returns how many entries fit one record, at least one.
func chunk(entries []consensus.Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxRecordEntryBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

func (s *store) write(r record) error {
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.journal.Append(data)
	return err
}

// persistSnapshot replaces everything by a snapshot from the leader.
func (s *store) persistSnapshot(r *consensus.Ready) error {
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	return s.saveImage(r.Snapshot, r.Entries)
}

// saveSnapshot stores a snapshot of the own state machine with the entries that follow it.
func (s *store) saveSnapshot(snapshot *consensus.Snapshot, tail []consensus.Entry) error {
	return s.saveImage(snapshot, tail)
}

func (s *store) saveImage(snapshot *consensus.Snapshot, tail []consensus.Entry) error {
	data, err := cbor.Marshal(image{Identity: s.identity, Hard: s.hard, Snapshot: snapshot, Tail: tail})
	if err != nil {
		return err
	}
	return s.journal.SaveSnapshot(s.journal.Last(), data)
}

// renew gives a disk without a log a higher incarnation. The hard state starts anew: its promises were
// made under the identity that is given up.
func (s *store) renew(incarnation uint64) error {
	s.identity.Incarnation = incarnation
	s.hard = consensus.HardState{}
	if err := s.write(record{Identity: &s.identity, Hard: &s.hard}); err != nil {
		return err
	}
	return s.journal.Sync()
}

func (s *store) close() error { return s.journal.Close() }
