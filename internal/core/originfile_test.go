package core

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
	"github.com/primrosebeam/primrosebeam/origin"
)

func originRecords(first, count int) []origin.Record {
	var out []origin.Record
	for i := range count {
		out = append(out, origin.Record{
			Attempt: origin.NewAttempt(fmt.Sprint(first + i)), Origin: origin.Origin{Service: "s", Version: "v1"},
		})
	}
	return out
}

// Guards against origins that are lost when all instances lose power.
func TestOriginsSurviveLossOfPower(t *testing.T) {
	is := is.New(t)
	disk := faultfs.New()
	is.NoErr(disk.MakeDirectory("data"))
	f, _, err := loadOrigins(disk, "data")
	is.NoErr(err)
	is.NoErr(f.append(originRecords(0, 3), false))
	is.NoErr(f.append(originRecords(3, 2), false))
	disk = disk.Crash(faultfs.SyncedContent, false)
	_, records, err := loadOrigins(disk, "data")
	is.NoErr(err)
	is.Equal(records, originRecords(0, 5))
}

func TestDamagedOriginFile(t *testing.T) {
	whole, err := encodeOrigins(originRecords(0, 2))
	if err != nil {
		t.Fatal(err)
	}
	two := append(slices.Clone(whole), whole...)
	for cut := range len(two) + 1 {
		if got, want := len(decodeOrigins(two[:cut])), cut/len(whole)*2; got != want {
			t.Fatalf("file cut after %d bytes: %d records, want %d", cut, got, want)
		}
	}
	for i := range two {
		damaged := slices.Clone(two)
		damaged[i] ^= 0x40
		if got := len(decodeOrigins(damaged)); got != i/len(whole)*2 {
			t.Fatalf("byte %d damaged: %d records", i, got)
		}
	}
}

func TestOriginFilesAreRemoved(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	f, _, err := loadOrigins(journal.OS{}, folder)
	is.NoErr(err)
	for i := range 10 {
		is.NoErr(f.append(originRecords(i, 1), true))
	}
	is.NoErr(f.close())
	names, err := filepath.Glob(filepath.Join(folder, "*"))
	is.NoErr(err)
	is.Equal(len(names), keptOriginFiles)
	_, records, err := loadOrigins(journal.OS{}, folder)
	is.NoErr(err)
	is.Equal(records, originRecords(8, 2))
}

// Guards against a full disk after which no origin is saved any more.
func TestOriginFileContinuesAfterFailure(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	f, _, err := loadOrigins(journal.OS{}, folder)
	is.True(err != nil) // no folder
	is.True(f.append(originRecords(0, 1), false) != nil)
	is.NoErr(os.Mkdir(folder, 0o700))
	is.NoErr(f.append(originRecords(1, 1), false))
	_, records, err := loadOrigins(journal.OS{}, folder)
	is.NoErr(err)
	is.Equal(records, originRecords(1, 1))
}
