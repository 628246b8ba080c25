package consensus

import (
	"fmt"
	"slices"
)

// placedConfiguration is a configuration with the index of the entry that put it in force.
type placedConfiguration struct {
	index         uint64
	configuration Configuration
}

// entryLog is the log of one replica since its last snapshot. Invariants:
//
//	base <= applied <= commit <= last
//	base <= persisted <= last
//	entries[i].Index == base+1+i, and terms never decrease
//	configurations is sorted by index and its first element is in force at base
//
// Entries up to commit are never changed. Slices that were handed out are never written to: a
// truncation caps the slice before appending, and a compaction copies.
type entryLog struct {
	base, baseTerm uint64 // last entry covered by the snapshot
	entries        []Entry
	persisted      uint64 // last entry that the driver confirmed as synced
	commit         uint64
	applied        uint64 // last entry handed to the driver for applying
	configurations []placedConfiguration
}

func loadLog(snapshot *Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{configurations: []placedConfiguration{{}}}
	if snapshot != nil {
		l.base, l.baseTerm = snapshot.Index, snapshot.Term
		l.configurations[0] = placedConfiguration{snapshot.Index, snapshot.Configuration}
	}
	term := l.baseTerm
	for i := range entries {
		e := &entries[i]
		if e.Index != l.base+1+uint64(i) || e.Term < term {
			return nil, &InvalidStateError{Detail: fmt.Sprintf("entry %d of term %d after index %d of term %d", e.Index, e.Term, l.base+uint64(i), term)}
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

// term returns the term of the entry at index; ok is false when the log does not hold it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries from lo to hi, both included, up to a number of bytes but at least one.
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

// append adds entries that follow the last one.
func (l *entryLog) append(entries []Entry) {
	l.entries = append(l.entries, entries...)
	for i := range entries {
		if entries[i].Kind == EntryConfiguration && entries[i].Configuration != nil {
			l.configurations = append(l.configurations, placedConfiguration{entries[i].Index, *entries[i].Configuration})
		}
	}
}

// truncateAfter drops the entries after index, which is at least commit, and with them the
// configurations that they put in force.
func (l *entryLog) truncateAfter(index uint64) {
	keep := index - l.base
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index)
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index > index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// firstConflict returns the index of the first entry that the log lacks or holds with another term;
// 0 when it holds all of them.
func (l *entryLog) firstConflict(entries []Entry) uint64 {
	for i := range entries {
		if entries[i].Index <= l.base {
			continue // Covered by the snapshot, hence committed and equal.
		}
		if !l.matches(entries[i].Index, entries[i].Term) {
			return entries[i].Index
		}
	}
	return 0
}

// hint returns the highest index up to bound whose term is at most term. Entries after it cannot
// match a log that has the given term at bound.
func (l *entryLog) hint(bound, term uint64) (uint64, uint64) {
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

// upToDate reports whether a log that ends with the given entry holds at least everything that this
// one holds; a voter grants its vote only then, so that a new leader has all committed entries.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// configuration returns the newest configuration in the log, committed or not.
func (l *entryLog) configuration() placedConfiguration {
	return l.configurations[len(l.configurations)-1]
}

// configurationAt returns the configuration in force at index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, placed := range l.configurations {
		if placed.index <= index {
			found = placed.configuration
		}
	}
	return found
}

// compact drops the entries up to index, which is at most applied.
func (l *entryLog) compact(index uint64) {
	term, _ := l.term(index)
	kept := slices.Clone(l.entries[index-l.base:])
	first := placedConfiguration{index, l.configurationAt(index)}
	later := slices.DeleteFunc(slices.Clone(l.configurations), func(p placedConfiguration) bool { return p.index <= index })
	l.configurations = append([]placedConfiguration{first}, later...)
	l.entries, l.base, l.baseTerm = kept, index, term
}

// restore replaces the whole log by a snapshot.
func (l *entryLog) restore(s *Snapshot) {
	l.base, l.baseTerm = s.Index, s.Term
	l.entries = nil
	l.persisted, l.commit, l.applied = s.Index, s.Index, s.Index
	l.configurations = []placedConfiguration{{s.Index, s.Configuration}}
}
