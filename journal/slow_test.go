package journal_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
)

// TestSlowOperationsAreReported guards against a disk that stalls without a sign, in any operation that waits for it.
func TestSlowOperationsAreReported(t *testing.T) {
	for _, operation := range []journal.Operation{
		journal.OperationCreate, journal.OperationWrite, journal.OperationSync, journal.OperationRename, journal.OperationRemove,
		journal.OperationSyncDirectory, journal.OperationTruncate,
	} {
		t.Run(string(operation), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			disk := faultfs.New()
			var mu sync.Mutex
			var reports []journal.SlowOperation
			running := make(chan struct{})
			files := journal.ReportSlow(disk, func(s journal.SlowOperation) {
				mu.Lock()
				defer mu.Unlock()
				reports = append(reports, s)
				if len(reports) == 1 {
					close(running)
				}
			})
			stalled := false
			disk.SetFault(func(s faultfs.Step) error {
				if s.Operation == operation && !stalled {
					stalled = true
					select {
					case <-running:
					case <-time.After(10 * journal.SlowAfter):
						t.Error("no report while the operation ran")
					}
				}
				return nil
			})
			started := time.Now()
			file, err := files.Create("/data/file")
			is.NoErr(err)
			_, err = file.Write([]byte("content"))
			is.NoErr(err)
			is.NoErr(file.Sync())
			is.NoErr(file.Truncate(1))
			is.NoErr(files.Rename("/data/file", "/data/other"))
			is.NoErr(files.SyncDirectory("/data"))
			is.NoErr(files.Remove("/data/other"))
			took := time.Since(started)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(len(reports), 2)
			for _, r := range reports {
				is.Equal(r.Operation, operation)
				is.True(r.Took >= journal.SlowAfter && r.Took <= took)
			}
			is.True(!reports[0].Ended && reports[1].Ended)
		})
	}
}
