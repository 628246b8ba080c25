package journal_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
)

const directory = "/data/journal"

func open(t *testing.T, files journal.FileSystem) *journal.Journal {
	t.Helper()
	j, err := journal.Open(journal.Options{Directory: directory, SegmentBytes: 400, Files: files})
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func payload(i int) []byte { return fmt.Appendf(nil, "record %d %s", i, strings.Repeat("x", i%50)) }

func appendRange(t *testing.T, j *journal.Journal, from, to int) {
	t.Helper()
	for i := from; i <= to; i++ {
		s, err := j.Append(payload(i))
		if err != nil || int(s) != i {
			t.Fatalf("append %d: sequence %d, %v", i, s, err)
		}
	}
}

// requireRecords fails the test unless the records from..to, with the expected content, are the stored records
// from `from` on.
func requireRecords(t *testing.T, j *journal.Journal, from, to int) {
	t.Helper()
	next := from
	err := j.Replay(journal.Sequence(from), func(s journal.Sequence, data []byte) error {
		if int(s) != next || !bytes.Equal(data, payload(next)) {
			t.Fatalf("got record %d %q, want %d", s, data, next)
		}
		next++
		return nil
	})
	if err != nil || next != to+1 {
		t.Fatalf("replay ended before record %d, want records up to %d: %v", next, to, err)
	}
}

// newestFile returns the path of the file with the given prefix whose name sorts last.
func newestFile(t *testing.T, files *faultfs.FS, prefix string) string {
	t.Helper()
	names, _ := files.List(directory)
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && name > newest {
			newest = name
		}
	}
	return directory + "/" + newest
}

// failOnce returns a fault function that fails the first op on a path with the given prefix below directory.
func failOnce(op journal.Operation, prefix string, err error) func(faultfs.Step) error {
	done := false
	return func(s faultfs.Step) error {
		if done || s.Operation != op || !strings.HasPrefix(s.Path, directory+prefix) {
			return nil
		}
		done = true
		return err
	}
}

// Guards against records that are lost or duplicated across segments and after reopening, on a real file
// system.
func TestRecordsSurviveReopening(t *testing.T) {
	is := is.New(t)
	o := journal.Options{Directory: t.TempDir() + "/a/b", SegmentBytes: 400}
	j, err := journal.Open(o)
	is.NoErr(err)
	appendRange(t, j, 1, 40)
	requireRecords(t, j, 1, 40) // includes records that are not synced
	_, err = journal.Open(o)
	var locked *journal.LockedError
	is.True(errors.As(err, &locked)) // a second process must not open the journal
	is.NoErr(j.SaveSnapshot(30, []byte("state")))
	is.NoErr(j.Close())
	j, err = journal.Open(o)
	is.NoErr(err)
	s, data, err := j.Snapshot()
	is.NoErr(err)
	is.Equal(s, journal.Sequence(30))
	is.Equal(string(data), "state")
	requireRecords(t, j, 31, 40)
	is.NoErr(j.TruncateAfter(32))
	appendRange(t, j, 33, 50)
	is.NoErr(j.Close())
	j, err = journal.Open(o)
	is.NoErr(err)
	requireRecords(t, j, 31, 50)
	is.NoErr(j.Close())
}

// Guards against a torn write that is read as a record, hides earlier records or prevents reopening.
func TestTornWriteAtEveryByteIsTruncated(t *testing.T) {
	for _, zeroFill := range []bool{false, true} {
		files := faultfs.New()
		j := open(t, files)
		appendRange(t, j, 1, 3)
		if err := j.Sync(); err != nil {
			t.Fatal(err)
		}
		path := newestFile(t, files, "segment-")
		before, _ := files.ReadFile(path)
		appendRange(t, j, 4, 4)
		requireRecords(t, j, 1, 4)
		complete, _ := files.ReadFile(path)
		step := 1
		if zeroFill {
			step = 512 // a disk writes whole sectors; missing sectors read as zeros
		}
		for cut := (len(before) + step - 1) / step * step; cut < len(complete); cut += step {
			torn := files.Crash(func(_ string, synced, written []byte) []byte {
				kept := bytes.Clone(written[:cut])
				if zeroFill {
					kept = append(kept, make([]byte, len(written)-cut)...)
				}
				return kept
			}, false)
			reopened := open(t, torn)
			requireRecords(t, reopened, 1, 3)
			appendRange(t, reopened, 4, 9)
			if err := reopened.Close(); err != nil {
				t.Fatal(err)
			}
			requireRecords(t, open(t, torn), 1, 9)
		}
	}
}

// Guards against synced records of a damaged file that are dropped silently: a flipped bit in any byte must be
// reported, in the last segment as well as in earlier ones.
func TestDamageOfDurableRecordsIsReported(t *testing.T) {
	files := faultfs.New()
	j := open(t, files)
	appendRange(t, j, 1, 30)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	names, _ := files.List(directory)
	for _, name := range names {
		data, _ := files.ReadFile(directory + "/" + name)
		for i := range data {
			damaged := files.Crash(faultfs.WrittenContent, true)
			damaged.Edit(directory+"/"+name, func(b []byte) []byte {
				b[i] ^= 0x10
				return b
			})
			_, err := journal.Open(journal.Options{Directory: directory, Files: damaged})
			var corrupt *journal.CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("byte %d of %s: got %v, want *CorruptError", i, name, err)
			}
		}
	}
}

// Guards against a zeroed sector of durable records that is treated as a torn tail: a later record proves
// that the damaged one had been synced. Without such a record, the same content results from a crash before
// the sync.
func TestZeroedSectorIsTornOnlyBeforeSync(t *testing.T) {
	is := is.New(t)
	for _, synced := range []bool{true, false} {
		files := faultfs.New()
		j, err := journal.Open(journal.Options{Directory: directory, Files: files})
		is.NoErr(err)
		for i := 1; i <= 4; i++ {
			_, err = j.Append(bytes.Repeat([]byte{byte(i)}, 600))
			is.NoErr(err)
			if synced {
				is.NoErr(j.Sync())
			}
		}
		is.NoErr(j.Close())
		files.Edit(newestFile(t, files, "segment-"), func(b []byte) []byte {
			clear(b[1024:1536])
			return b
		})
		j, err = journal.Open(journal.Options{Directory: directory, Files: files})
		var corrupt *journal.CorruptError
		is.Equal(errors.As(err, &corrupt), synced)
		if !synced {
			is.NoErr(err)
			is.Equal(j.Last(), journal.Sequence(1))
		}
	}
}

// Guards against a missing segment at the start or in the middle that is not reported.
func TestMissingSegmentIsReported(t *testing.T) {
	files := faultfs.New()
	j := open(t, files)
	appendRange(t, j, 1, 30)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	names, _ := files.List(directory)
	for _, name := range names {
		path := directory + "/" + name
		if path == newestFile(t, files, "segment-") {
			continue
		}
		missing := files.Crash(faultfs.WrittenContent, true)
		if err := missing.Remove(path); err != nil {
			t.Fatal(err)
		}
		_, err := journal.Open(journal.Options{Directory: directory, Files: missing})
		var corrupt *journal.CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("%s missing: got %v, want *CorruptError", name, err)
		}
	}
}

// Guards against a sync that succeeds after a failed one although the operating system has dropped pages.
func TestFailedSyncFailsEveryLaterCall(t *testing.T) {
	faults := map[string]func(faultfs.Step) error{
		"sync":        failOnce(journal.OperationSync, "/segment", syscall.EIO),
		"write":       failOnce(journal.OperationWrite, "/segment", syscall.EIO),
		"short write": failOnce(journal.OperationWrite, "/segment", &faultfs.PartialWriteError{Bytes: 5}),
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := faultfs.New()
			j := open(t, files)
			appendRange(t, j, 1, 3)
			is.NoErr(j.Sync())
			files.SetFault(fault)
			appendRange(t, j, 4, 4)
			err := j.Sync()
			for range 2 {
				var failed *journal.IOError
				is.True(errors.As(err, &failed))
				err = j.Sync()
			}
			_, appendErr := j.Append(nil)
			_, _, snapshotErr := j.Snapshot()
			replayErr := j.Replay(1, func(journal.Sequence, []byte) error { return nil })
			for _, other := range []error{
				appendErr, snapshotErr, replayErr, j.SaveSnapshot(3, nil), j.TruncateAfter(2), j.Close(),
			} {
				is.Equal(other, err)
			}
			requireRecords(t, open(t, files.Crash(faultfs.SyncedContent, false)), 1, 3)
		})
	}
}

// Guards against a full disk that leaves a partial record, prevents reading or allows later writes.
func TestFullDiskLeavesJournalReadable(t *testing.T) {
	for name, bytesWritten := range map[string]int{"nothing written": 0, "partial": 40, "whole record and part": 60} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := faultfs.New()
			j := open(t, files)
			appendRange(t, j, 1, 3)
			is.NoErr(j.Sync())
			files.SetFault(failOnce(journal.OperationWrite, "/segment",
				&faultfs.PartialWriteError{Bytes: bytesWritten, Err: syscall.ENOSPC}))
			appendRange(t, j, 4, 5)
			var full *journal.FullError
			is.True(errors.As(j.Sync(), &full))
			is.Equal(j.Last(), journal.Sequence(3))
			requireRecords(t, j, 1, 3)
			_, err := j.Append(nil)
			is.True(errors.As(err, &full))
			requireRecords(t, open(t, files.Crash(faultfs.SyncedContent, false)), 1, 3)
			requireRecords(t, open(t, files.Crash(faultfs.WrittenContent, true)), 1, 3)
		})
	}
}

// Guards against records that a full disk did not take at the sync and that are taken for durable once it has room,
// because they are still in the cache.
func TestFullDiskAtSyncIsCutBack(t *testing.T) {
	for name, operations := range map[string][]journal.Operation{
		"sync":                 {journal.OperationSync},
		"sync and truncation":  {journal.OperationSync, journal.OperationTruncate},
		"write and truncation": {journal.OperationWrite, journal.OperationTruncate},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files := faultfs.New()
			j := open(t, files)
			appendRange(t, j, 1, 3)
			is.NoErr(j.Sync())
			files.SetFault(func(s faultfs.Step) error {
				if !slices.Contains(operations, s.Operation) {
					return nil
				}
				if s.Operation == journal.OperationWrite {
					return &faultfs.PartialWriteError{Bytes: s.Bytes, Err: syscall.ENOSPC}
				}
				return syscall.ENOSPC
			})
			appendRange(t, j, 4, 5)
			var full *journal.FullError
			is.True(errors.As(j.Sync(), &full))
			is.True(errors.As(j.CutBack(), &full)) // the sync of the truncation, or the truncation, finds it full as well
			files.SetFault(nil)
			is.NoErr(j.CutBack())
			requireRecords(t, j, 1, 3)
			_, err := j.Append(nil)
			is.True(errors.As(err, &full)) // until it is opened again
			requireRecords(t, open(t, files.Crash(faultfs.WrittenContent, true)), 1, 3)
			is.True(errors.As(j.Close(), &full))
			j = open(t, files)
			requireRecords(t, j, 1, 3)
			appendRange(t, j, 4, 4)
			is.NoErr(j.Sync())
			requireRecords(t, open(t, files.Crash(faultfs.SyncedContent, false)), 1, 4)
		})
	}
}

// Guards against the loss of the previous snapshot or of records when the disk is full while a snapshot is
// saved.
func TestFullDiskDuringSnapshotKeepsThePreviousOne(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	j := open(t, files)
	appendRange(t, j, 1, 30)
	is.NoErr(j.SaveSnapshot(10, []byte("old")))
	files.SetFault(failOnce(journal.OperationWrite, "/snapshot",
		&faultfs.PartialWriteError{Bytes: 3, Err: syscall.ENOSPC}))
	var full *journal.FullError
	is.True(errors.As(j.SaveSnapshot(20, []byte("new")), &full))
	s, data, err := j.Snapshot()
	is.NoErr(err)
	is.Equal(s, journal.Sequence(10))
	is.Equal(string(data), "old")
	appendRange(t, j, 31, 40)
	is.NoErr(j.Sync())
	is.NoErr(j.SaveSnapshot(40, []byte("later"))) // the fault occurs once, so space is available again
	requireRecords(t, open(t, files.Crash(faultfs.SyncedContent, false)), 41, 40)
}

// Guards against the loss of acknowledged state by a crash at any step of a change. The test fails each step in
// turn and simulates a crash of the machine there, both with and without unsynced directory entries.
func TestCrashAtEveryStep(t *testing.T) {
	type change struct {
		run         func(*journal.Journal) error
		first, last int // records after the change; before it: records 1..40 with a snapshot at 5
		snapshot    string
	}
	changes := map[string]change{
		"snapshot": {
			func(j *journal.Journal) error { return j.SaveSnapshot(20, []byte("new")) },
			21, 40, "new",
		},
		"snapshot of everything": {
			func(j *journal.Journal) error { return j.SaveSnapshot(40, []byte("new")) },
			41, 40, "new",
		},
		"snapshot ahead": {
			func(j *journal.Journal) error { return j.SaveSnapshot(70, []byte("new")) },
			71, 70, "new",
		},
		"truncate": {
			func(j *journal.Journal) error { return j.TruncateAfter(12) },
			6, 12, "old",
		},
	}
	crashed := errors.New("crashed")
	for name, c := range changes {
		for _, keepEntries := range []bool{false, true} {
			for step := 0; ; step++ {
				files := faultfs.New()
				j := open(t, files)
				appendRange(t, j, 1, 5)
				if err := j.SaveSnapshot(5, []byte("old")); err != nil {
					t.Fatal(err)
				}
				appendRange(t, j, 6, 40)
				if err := j.Sync(); err != nil {
					t.Fatal(err)
				}
				count := 0
				files.SetFault(func(faultfs.Step) error {
					count++
					if count > step {
						return crashed
					}
					return nil
				})
				err := c.run(j)
				after := files.Crash(faultfs.SyncedContent, keepEntries)
				reopened := open(t, after)
				_, data, snapshotErr := reopened.Snapshot()
				if snapshotErr != nil {
					t.Fatal(snapshotErr)
				}
				switch {
				case err == nil || string(data) == "new":
					if string(data) != c.snapshot {
						t.Fatalf("%s step %d: snapshot %q", name, step, data)
					}
					requireRecords(t, reopened, c.first, c.last)
				case int(reopened.Last()) < 12 || int(reopened.Last()) > 40:
					t.Fatalf("%s step %d: last %d", name, step, reopened.Last())
				default:
					if name != "truncate" && reopened.Last() != 40 {
						t.Fatalf("%s step %d: last %d", name, step, reopened.Last())
					}
					requireRecords(t, reopened, 6, int(reopened.Last()))
				}
				if _, err := reopened.Append([]byte("more")); err != nil {
					t.Fatal(err)
				}
				if err := reopened.Close(); err != nil {
					t.Fatal(err)
				}
				open(t, after)
				if err == nil {
					break
				}
			}
		}
	}
}

// Guards against an identity file that is incomplete or lost after a crash at any step of its replacement.
func TestAtomicFileHasOldOrNewContent(t *testing.T) {
	path := directory + "/identity"
	for _, keep := range []bool{false, true} {
		for step := 0; ; step++ {
			files := faultfs.New()
			if err := journal.WriteFileAtomic(files, path, []byte("old")); err != nil {
				t.Fatal(err)
			}
			count := 0
			files.SetFault(func(faultfs.Step) error {
				count++
				if count > step {
					return syscall.EIO
				}
				return nil
			})
			err := journal.WriteFileAtomic(files, path, []byte("new"))
			after := files.Crash(faultfs.SyncedContent, keep)
			data, readErr := after.ReadFile(path)
			if readErr != nil || (string(data) != "old" && string(data) != "new") || (err == nil && string(data) != "new") {
				t.Fatalf("step %d: %q, %v", step, data, readErr)
			}
			if err == nil {
				break
			}
		}
	}
}

// Guards against the loss of records that are appended between StageSnapshot and InstallSnapshot.
func TestStagedSnapshotKeepsLaterRecords(t *testing.T) {
	is := is.New(t)
	files := faultfs.New()
	j := open(t, files)
	appendRange(t, j, 1, 20)
	is.NoErr(j.Sync())
	staged := j.StageSnapshot(20, []byte("state"))
	appendRange(t, j, 21, 40)
	is.NoErr(j.Sync())
	// A staged snapshot is not installed.
	requireRecords(t, open(t, files.Crash(faultfs.SyncedContent, true)), 1, 40)
	is.NoErr(j.InstallSnapshot(staged))
	reopened := open(t, files.Crash(faultfs.SyncedContent, false))
	s, data, err := reopened.Snapshot()
	is.NoErr(err)
	is.Equal(s, journal.Sequence(20))
	is.Equal(string(data), "state")
	requireRecords(t, reopened, 21, 40)
	var outside *journal.RangeError
	// An earlier snapshot must not replace a later one.
	is.True(errors.As(j.InstallSnapshot(j.StageSnapshot(10, nil)), &outside))
}
