package consensus

import (
	"fmt"
	"slices"
)

// indexedConfiguration is a configuration with the index of the entry that contains it.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// entryLog is the log of one replica since its last snapshot. Invariants:
//
//	base <= applied <= commit <= last
//	base <= persisted <= last
//	entries[i].Index == base+1+i, and terms never decrease
//	configurations is sorted by index, and its first element is in force at base
//
// Entries up to commit are never changed. The elements of slices that were returned are never overwritten:
// truncation limits the capacity of the slice before the next append, and compaction copies it.
type entryLog struct {
	base, baseTerm uint64 // index and term of the last entry that the snapshot covers
	entries        []Entry
	persisted      uint64 // index of the last entry that the driver confirmed as synced
	commit         uint64 // index of the last entry known to be committed
	applied        uint64 // index of the last entry that the driver confirmed as applied
	configurations []indexedConfiguration
}

// loadLog returns the log with a stored snapshot, which may be nil, and the stored entries after it.
func loadLog(snapshot *Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{configurations: []indexedConfiguration{{}}}
	if snapshot != nil {
		l.base, l.baseTerm = snapshot.Index, snapshot.Term
		l.configurations[0] = indexedConfiguration{snapshot.Index, snapshot.Configuration}
	}
	term := l.baseTerm
	for i := range entries {
		e := &entries[i]
		if e.Index != l.base+1+uint64(i) || e.Term < term {
			return nil, &InvalidStateError{Detail: fmt.Sprintf("entry %d of term %d after index %d of term %d",
				e.Index, e.Term, l.base+uint64(i), term)}
		}
		term = e.Term
	}
	l.append(entries)
	l.persisted = l.last()
	l.commit, l.applied = l.base, l.base
	return l, nil
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false when the log does not contain the entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the log contains the entry at index with the given term.
func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from lo to hi inclusive, limited to maxBytes but at least one entry.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	if lo > hi {
		return nil
	}
	all := l.entries[lo-l.base-1 : hi-l.base]
	size := 0
	for i := range all {
		size += all[i].size()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// append adds entries that directly follow the last one, and records the configurations among them.
func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
	for i := range entries {
		if entries[i].Kind == EntryConfiguration && entries[i].Configuration != nil {
			l.configurations = append(l.configurations, indexedConfiguration{entries[i].Index, *entries[i].Configuration})
		}
	}
}

// truncateAfter removes the entries after index, and the configurations that they contain. The index must not
// be lower than commit.
func (l *entryLog) truncateAfter(index uint64) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index > index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// firstConflict returns the index of the first entry that the log lacks or contains with another term, or 0
// when it contains all of them.
func (l *entryLog) firstConflict(entries []Entry) uint64 {
	for i := range entries {
		if entries[i].Index <= l.base {
			continue // The snapshot covers this entry, so it is committed and equal.
		}
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// conflictHint returns the highest index up to bound whose term is at most the given one, and the term at
// that index. Entries after it cannot match a log that has the given term at bound.
func (l *entryLog) conflictHint(bound, term uint64) (uint64, uint64) {
	index := min(bound, l.last())
	for index > l.base {
		own, _ := l.term(index)
		if own <= term {
			return index, own
		}
		index--
	}
	return l.base, l.baseTerm
}

// upToDate reports whether a log that ends with the given entry is at least as up to date as this one. A
// voter grants its vote only in this case, so that a new leader has all committed entries.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// configuration returns the newest configuration in the log, committed or not.
func (l *entryLog) configuration() indexedConfiguration {
	return l.configurations[len(l.configurations)-1]
}

// configurationAt returns the configuration in force at index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, c := range l.configurations {
		if c.index <= index {
			found = c.configuration
		}
	}
	return found
}

// compact removes the entries up to index, which must not be higher than applied.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	kept := slices.Clone(l.entries[index-l.base:])
	first := indexedConfiguration{index, l.configurationAt(index)}
	later := slices.DeleteFunc(slices.Clone(l.configurations), func(p indexedConfiguration) bool { return p.index <= index })
	l.configurations = append([]indexedConfiguration{first}, later...)
	l.entries, l.base, l.baseTerm = kept, index, term
}

// restore replaces the complete log with a snapshot.
func (l *entryLog) restore(s *Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.persisted, l.commit, l.applied = s.Index, s.Index, s.Index
	l.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
}
