package core

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
	"github.com/primrosebeam/primrosebeam/origin"
	"github.com/primrosebeam/primrosebeam/ring"
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

// refusingFiles refuses operations on a file system.
type refusingFiles struct {
	*faultfs.FS
	refuseReads bool
}

func (r refusingFiles) ReadFile(path string) ([]byte, error) {
	if r.refuseReads {
		return nil, syscall.EIO
	}
	return r.FS.ReadFile(path)
}

// Guards against origins that are removed because failed writes have begun new files.
func TestRefusedWritesKeepSavedOrigins(t *testing.T) {
	for _, operation := range []journal.Operation{
		journal.OperationCreate, journal.OperationWrite, journal.OperationSync, journal.OperationSyncDirectory,
	} {
		t.Run(string(operation), func(t *testing.T) {
			is := is.New(t)
			disk := faultfs.New()
			f, _, err := loadOrigins(disk, "data")
			is.NoErr(err)
			is.NoErr(f.append(originRecords(0, 2), true))
			is.NoErr(f.append(originRecords(2, 2), true))
			is.NoErr(f.append(originRecords(4, 1), false))
			disk.SetFault(func(s faultfs.Step) error {
				if s.Operation == operation {
					return syscall.EFBIG
				}
				return nil
			})
			_ = f.close() // the next write creates a file
			for range 20 {
				is.True(f.append(originRecords(5, 1), false) != nil)
			}
			disk.SetFault(nil)
			is.NoErr(f.append(originRecords(5, 1), false))
			_, records, err := loadOrigins(disk.Crash(faultfs.SyncedContent, false), "data")
			is.NoErr(err)
			is.Equal(records, originRecords(0, 6))
		})
	}
}

// Guards against origins that are overwritten because their file could not be read at the start.
func TestUnreadableOriginFileIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	disk := faultfs.New()
	f, _, err := loadOrigins(disk, "data")
	is.NoErr(err)
	is.NoErr(f.append(originRecords(0, 2), false))
	f, _, err = loadOrigins(refusingFiles{disk, true}, "data")
	is.True(err != nil)
	is.NoErr(f.append(originRecords(2, 1), false))
	_, records, err := loadOrigins(disk, "data")
	is.NoErr(err)
	is.Equal(records, originRecords(0, 3))
}

// Guards against origins that are never saved because the first write of them was refused.
func TestOriginsAreSavedOnceWritesSucceed(t *testing.T) {
	is := is.New(t)
	disk := faultfs.New()
	f, _, err := loadOrigins(disk, "data")
	is.NoErr(err)
	set := metrics.NewSet()
	o := &origins{
		core: &ControlInstance{}, file: f, saving: ring.New[savedOrigin](10),
		dropped: set.NewCounter("dropped"), saveFailures: set.NewCounter("failures"),
	}
	disk.SetFault(func(faultfs.Step) error { return syscall.EIO })
	for _, r := range originRecords(0, 3) {
		is.NoErr(o.saving.Offer(savedOrigin{record: r}))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- o.saveRecords(ctx) }()
	for end := time.Now().Add(10 * time.Second); o.saveFailures.Get() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	disk.SetFault(nil)
	var records []origin.Record
	for end := time.Now().Add(10 * time.Second); len(records) < 3 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, records, err = loadOrigins(disk, "data")
		is.NoErr(err)
	}
	cancel()
	<-done
	is.Equal(records, originRecords(0, 3))
}
