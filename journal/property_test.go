package journal_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
)

// model is the expected content of a journal.
type model struct {
	records  map[journal.Sequence]string
	first    journal.Sequence // lowest sequence that must be readable: the one after the snapshot
	last     journal.Sequence
	durable  journal.Sequence // lowest sequence that a crash may leave as the last one
	snapshot string
	created  int // records and snapshots created so far; makes their content unique
}

// verify compares a journal with the model. After a crash, any suffix of the unsynced records may be missing.
func (m *model) verify(j *journal.Journal) error {
	if j.Last() < m.durable || j.Last() > m.last {
		return fmt.Errorf("last is %d, want %d..%d", j.Last(), m.durable, m.last)
	}
	next := m.first
	err := j.Replay(m.first, func(s journal.Sequence, data []byte) error {
		if s != next || string(data) != m.records[s] {
			return fmt.Errorf("record %d is %q, want record %d %q", s, data, next, m.records[next])
		}
		next++
		return nil
	})
	if err == nil && next != j.Last()+1 {
		err = fmt.Errorf("replay ended before %d, last is %d", next, j.Last())
	}
	if err != nil {
		return err
	}
	s, data, err := j.Snapshot()
	if err != nil || s != m.first-1 || string(data) != m.snapshot {
		return fmt.Errorf("snapshot %d %q, %v, want %d %q", s, data, err, m.first-1, m.snapshot)
	}
	return nil
}

// applyRandomOperation applies one random operation to the model and the journal.
func (m *model) applyRandomOperation(j *journal.Journal, random *rand.Rand) error {
	switch n := random.IntN(20); {
	case n < 12:
		m.created++
		text := fmt.Sprint("record ", m.created, " ", bytes.Repeat([]byte("x"), random.IntN(60)))
		s, err := j.Append([]byte(text))
		m.last++
		m.records[m.last] = text
		m.durable = max(m.durable, j.Durable()) // creating a new segment syncs the previous one
		if s != m.last {
			return fmt.Errorf("append gave %d, want %d: %v", s, m.last, err)
		}
		return err
	case n < 16:
		m.durable = m.last
		return j.Sync()
	case n < 18:
		s := m.first - 1 + journal.Sequence(random.IntN(int(m.last-m.first+2)))
		m.last = s
		m.durable = min(m.durable, s)
		err := j.TruncateAfter(s)
		m.durable = max(m.durable, j.Durable())
		return err
	default:
		// The snapshot may cover at most 2 sequences after the last one.
		s := max(1, m.first-1+journal.Sequence(random.IntN(int(m.last-m.first+4))))
		m.created++
		m.snapshot = fmt.Sprint("snapshot ", m.created)
		m.first = s + 1
		m.last = max(m.last, s)
		m.durable = max(m.durable, s)
		err := j.SaveSnapshot(s, []byte(m.snapshot))
		m.durable = max(m.durable, j.Durable())
		return err
	}
}

// Guards against sequences of appends, truncations, snapshots, crashes and torn writes after which a synced
// record or a snapshot is missing, a removed one is present again, or the journal cannot be opened.
func TestRandomOperationsAndCrashes(t *testing.T) {
	const (
		runs    = 300
		actions = 60
	)
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 0))
		files := faultfs.New()
		m := &model{records: map[journal.Sequence]string{}, first: 1}
		j := open(t, files)
		for range actions {
			if err := m.applyRandomOperation(j, random); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if random.IntN(6) > 0 {
				continue
			}
			keepEntries := random.IntN(2) == 0
			files = files.Crash(func(_ string, synced, written []byte) []byte {
				if len(written) <= len(synced) {
					return synced
				}
				return written[:len(synced)+random.IntN(len(written)-len(synced)+1)]
			}, keepEntries)
			j = open(t, files)
			if err := m.verify(j); err != nil {
				t.Fatalf("seed %d: after a crash: %v", seed, err)
			}
			m.last, m.durable = j.Last(), j.Last()
		}
	}
}
