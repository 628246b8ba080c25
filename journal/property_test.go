package journal_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"syscall"
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

// refusals are errors with which file systems refuse writes.
var refusals = []error{
	syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EFBIG, syscall.EACCES, syscall.EMFILE, syscall.ENOMEM,
}

// refuseAt makes some of the modifying operations fail with one error; writes may store a part of their data.
func refuseAt(random *rand.Rand) func(faultfs.Step) error {
	refusal := refusals[random.IntN(len(refusals))]
	rate := 1 + random.IntN(8)
	return func(s faultfs.Step) error {
		switch {
		case random.IntN(rate) > 0:
			return nil
		case s.Operation == journal.OperationWrite && random.IntN(2) == 0:
			return &faultfs.PartialWriteError{Bytes: random.IntN(s.Bytes + 1), Err: refusal}
		}
		return refusal
	}
}

// Guards against records that Open returns although the disk does not hold them, because a failed sync has marked them
// clean, and against synced ones that are missing: after refused writes, in the same process or after it was killed, and
// with a loss of power at any time.
func TestRandomRefusalsAndCrashes(t *testing.T) {
	const (
		runs    = 2000
		actions = 60
	)
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 2))
		files := faultfs.New()
		files.SetFailedSync(faultfs.FailedSync(random.IntN(3)))
		m := &model{records: map[journal.Sequence]string{}, first: 1}
		j := open(t, files)
		for range actions {
			if random.IntN(4) == 0 {
				files.SetFault(refuseAt(random))
			}
			before := *m
			err := m.applyRandomRecord(j, random)
			files.SetFault(nil)
			if err == nil && random.IntN(6) > 0 {
				continue
			}
			tookSnapshot := before.first != m.first || before.snapshot != m.snapshot
			before.created, before.durable = m.created, max(before.durable, j.Durable())
			files, j = reopenAfterFailure(t, files, j, random)
			verified := m.verify(j)
			if verified != nil && err != nil && tookSnapshot { // the snapshot that failed may be there or not
				m = &before
				verified = m.verify(j)
			}
			if verified != nil {
				t.Fatalf("seed %d: after a failure: %v", seed, verified)
			}
			m.last, m.durable = j.Last(), j.Last()
			for s := range m.records {
				if s > m.last {
					delete(m.records, s)
				}
			}
		}
	}
}

// applyRandomRecord appends, syncs or takes a snapshot. If it returns an error, a snapshot may have been taken or not.
func (m *model) applyRandomRecord(j *journal.Journal, random *rand.Rand) error {
	for n := random.IntN(20); ; n = random.IntN(20) {
		if n >= 16 && n < 18 {
			continue
		}
		m.created++
		switch {
		case n < 12:
			text := fmt.Sprint("record ", m.created, " ", bytes.Repeat([]byte("x"), random.IntN(60)))
			s, err := j.Append([]byte(text))
			if err == nil {
				m.last = s
				m.records[s] = text
			}
			m.durable = max(m.durable, j.Durable())
			return err
		case n < 16:
			err := j.Sync()
			m.durable = max(m.durable, j.Durable())
			return err
		}
		s := max(1, m.first-1+journal.Sequence(random.IntN(int(m.last-m.first+4))))
		m.snapshot = fmt.Sprint("snapshot ", m.created)
		m.first = s + 1
		m.last = max(m.last, s)
		err := j.SaveSnapshot(s, []byte(m.snapshot))
		m.durable = max(m.durable, j.Durable())
		if err == nil {
			m.durable = max(m.durable, s)
		}
		return err
	}
}

// reopenAfterFailure opens a journal again: in the same process, in another one, or after a loss of power. While it
// does, writes are refused at first, and power may be lost after each attempt.
func reopenAfterFailure(t *testing.T, files *faultfs.FS, j *journal.Journal, random *rand.Rand) (*faultfs.FS, *journal.Journal) {
	t.Helper()
	loss := func() *faultfs.FS {
		return files.Crash(func(_ string, synced, written []byte) []byte {
			if len(written) <= len(synced) {
				return synced
			}
			return written[:len(synced)+random.IntN(len(written)-len(synced)+1)]
		}, random.IntN(2) == 0)
	}
	files.SetFault(refuseAt(random))
	if random.IntN(2) == 0 {
		_ = j.CutBack() // Open does not depend on it.
	}
	switch random.IntN(3) {
	case 0:
		_ = j.Close() // It reports the failure again.
	case 1:
		files.Kill()
	default:
		files = loss()
	}
	for range random.IntN(4) {
		files.SetFault(refuseAt(random))
		opened, err := journal.Open(journal.Options{Directory: directory, SegmentBytes: 400, Files: files})
		if err == nil {
			_ = opened.Close() // It may be refused.
		} else if !journal.IsRefused(err) {
			t.Fatal(err)
		}
		if random.IntN(3) == 0 {
			files = loss()
		}
	}
	files.SetFault(nil)
	opened := open(t, files)
	last := opened.Last()
	if random.IntN(2) == 0 {
		files = files.Crash(faultfs.SyncedContent, random.IntN(2) == 0)
		opened = open(t, files)
		if opened.Last() < last {
			t.Fatalf("after a loss of power the last record is %d, it was %d", opened.Last(), last)
		}
	}
	return files, opened
}
