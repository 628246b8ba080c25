package consensus

import "slices"

// Storage holds the durable state of a replica. Node reads it; the driver writes it when it carries
// out a Ready. Node keeps the entries since the snapshot in memory, which compaction bounds.
type Storage interface {
	// Load returns everything at a start; the snapshot is nil when there is none.
	Load() (HardState, *Snapshot, []Entry, error)
	// Snapshot returns the newest durable snapshot, for a follower that needs compacted entries.
	Snapshot() (*Snapshot, error)
}

// MemoryStorage is a Storage in memory, for tests and as the mirror of a durable one.
type MemoryStorage struct {
	hard     HardState
	snapshot *Snapshot
	entries  []Entry
}

// Load implements Storage.
func (s *MemoryStorage) Load() (HardState, *Snapshot, []Entry, error) {
	return s.hard, s.snapshot, slices.Clone(s.entries), nil
}

// Snapshot implements Storage.
func (s *MemoryStorage) Snapshot() (*Snapshot, error) { return s.snapshot, nil }

// Persist stores the durable part of a Ready.
func (s *MemoryStorage) Persist(r Ready) {
	if r.HardState != nil {
		s.hard = *r.HardState
	}
	if r.Snapshot != nil {
		s.snapshot = r.Snapshot
		s.entries = nil
	}
	s.append(r.Entries)
}

// SaveSnapshot stores a snapshot of the replica's own state machine and drops the entries it covers.
func (s *MemoryStorage) SaveSnapshot(snapshot Snapshot) {
	s.snapshot = &snapshot
	covered := 0
	for covered < len(s.entries) && s.entries[covered].Index <= snapshot.Index {
		covered++
	}
	s.entries = slices.Clone(s.entries[covered:])
}

// append replaces everything from the first new index on.
func (s *MemoryStorage) append(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := 0
	for keep < len(s.entries) && s.entries[keep].Index < entries[0].Index {
		keep++
	}
	s.entries = append(s.entries[:keep:keep], entries...)
}
