package consensus

import "slices"

// Storage provides access to the durable state of a replica. Node reads it, and the driver writes it when
// it carries out a Ready. Node keeps all entries since the last snapshot in memory, so regular compaction
// is needed to limit memory use.
type Storage interface {
	// Load returns the complete durable state at the start; the snapshot is nil when there is none.
	Load() (HardState, *Snapshot, []Entry, error)
	// Snapshot returns the newest durable snapshot, which is sent to followers that need compacted entries.
	// It is nil when there is none.
	Snapshot() (*Snapshot, error)
}

// MemoryStorage is a Storage in memory. It is used in tests and to mirror the contents of a durable storage.
type MemoryStorage struct {
	hardState HardState
	snapshot  *Snapshot
	entries   []Entry
}

// Load implements Storage.
func (s *MemoryStorage) Load() (HardState, *Snapshot, []Entry, error) {
	return s.hardState, s.snapshot, slices.Clone(s.entries), nil
}

// Snapshot implements Storage.
func (s *MemoryStorage) Snapshot() (*Snapshot, error) { return s.snapshot, nil }

// Persist stores the durable part of a Ready.
func (s *MemoryStorage) Persist(r Ready) {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		s.snapshot = r.Snapshot
		s.entries = nil
	}
	s.append(r.Entries)
}

// SaveSnapshot stores a snapshot of the replica's own state machine and removes the entries that it covers.
func (s *MemoryStorage) SaveSnapshot(snapshot Snapshot) {
	s.snapshot = &snapshot
	covered := 0
	for covered < len(s.entries) && s.entries[covered].Index <= snapshot.Index {
		covered++
	}
	s.entries = slices.Clone(s.entries[covered:])
}

// append stores entries and removes all older ones from the first new index on.
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
