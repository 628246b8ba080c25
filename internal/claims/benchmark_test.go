package claims

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// timedFiles is a file system that measures the durations of syncs.
type timedFiles struct {
	journal.OS
	mu    sync.Mutex
	syncs []time.Duration // durations since the last call of take
}

// timedFile is a file that records the durations of its syncs in files.
type timedFile struct {
	journal.File
	files *timedFiles
}

func (f *timedFiles) Create(path string) (journal.File, error) {
	file, err := f.OS.Create(path)
	return timedFile{file, f}, err
}

func (f timedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.files.mu.Lock()
	defer f.files.mu.Unlock()
	f.files.syncs = append(f.files.syncs, time.Since(start))
	return err
}

// take returns the sorted durations of the syncs since the last call.
func (f *timedFiles) take() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	syncs := f.syncs
	f.syncs = nil
	slices.Sort(syncs)
	return syncs
}

// measureSync returns the median and the 99th percentile of the time to append and sync one record in a
// temporary directory.
func measureSync(b *testing.B) (median, p99 time.Duration) {
	const syncs = 1000
	log, err := journal.Open(journal.Options{Directory: b.TempDir()})
	if err != nil {
		b.Fatal(err)
	}
	var times []time.Duration
	for range syncs {
		start := time.Now()
		if _, err := log.Append(make([]byte, 150)); err != nil {
			b.Fatal(err)
		}
		if err := log.Sync(); err != nil {
			b.Fatal(err)
		}
		times = append(times, time.Since(start))
	}
	if err := log.Close(); err != nil {
		b.Fatal(err)
	}
	slices.Sort(times)
	return times[syncs/2], times[syncs*99/100]
}

// mintAll mints n keys.
func mintAll(b *testing.B, owner *Owner, n int) []ledger.Key {
	keys := make([]ledger.Key, 0, n)
	for len(keys) < n {
		keys = append(keys, mint(b, owner, min(ledger.MaxMintCount, n-len(keys)))...)
	}
	return keys
}

// beginAll claims and begins the keys with the given number of concurrent callers. It returns the sorted
// durations of the begins.
func beginAll(b *testing.B, owner *Owner, keys []ledger.Key, callers int) []time.Duration {
	times := make([]time.Duration, len(keys))
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Go(func() {
			for i := caller; i < len(keys); i += callers {
				grant := claim(b, owner, keys[i])
				r := beginRequest(keys[i], grant)
				r.RequestID = fmt.Sprintf("%032d", i)
				start := time.Now()
				if err := owner.Begin(background, r); err != nil {
					b.Error(err)
				}
				times[i] = time.Since(start)
			}
		})
	}
	wait.Wait()
	slices.Sort(times)
	return times
}

// BenchmarkClaimAndBegin reports the rate of claims with a begin for one owner on the operating system's
// files, and the 99th percentile of the duration of a begin as a multiple of the median sync. The target is
// 5,000 per second.
func BenchmarkClaimAndBegin(b *testing.B) {
	for _, callers := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			syncMedian, syncP99 := measureSync(b)
			owner, _ := run(b, Options{Name: "bern-1", Directory: b.TempDir(), Limits: ledger.Limits{Keys: 1 << 23}})
			keys := mintAll(b, owner, b.N)
			b.ResetTimer()
			times := beginAll(b, owner, keys, callers)
			b.StopTimer()
			p99 := times[len(times)*99/100]
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "begins/s")
			b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(syncMedian.Microseconds())/1000, "sync-ms")
			b.ReportMetric(float64(syncP99.Microseconds())/1000, "sync-p99-ms")
			b.ReportMetric(float64(p99)/float64(syncMedian), "p99-syncs")
		})
	}
}

// BenchmarkTargetRate sends claims with a begin at the target rate of 5,000 per second to an owner that
// already stores 100,000 keys. The sends are evenly spaced, as with independent callers. The benchmark
// compares the 99th percentile of the duration of a begin with the syncs of the same run. The case
// "snapshots" takes a snapshot every second, far more often than the owner does on its own.
func BenchmarkTargetRate(b *testing.B) {
	b.Run("steady", func(b *testing.B) { benchmarkRate(b, false) })
	b.Run("snapshots", func(b *testing.B) { benchmarkRate(b, true) })
}

func benchmarkRate(b *testing.B, snapshots bool) {
	const (
		rate   = 5000 // per second
		stored = 100_000
		count  = 6 * rate
	)
	for range b.N {
		files := &timedFiles{}
		owner, stop := run(b, Options{Name: "bern-1", Directory: b.TempDir(), Files: files})
		beginAll(b, owner, mintAll(b, owner, stored), 256)
		keys := mintAll(b, owner, count)
		files.take()
		times := make([]time.Duration, count)
		// total is measured from the planned start, so that a stall counts for all requests that it delays.
		total := make([]time.Duration, count)
		var wait sync.WaitGroup
		start := time.Now()
		for i, key := range keys {
			due := start.Add(time.Duration(i) * time.Second / rate)
			time.Sleep(time.Until(due))
			if snapshots && i%rate == 0 {
				wait.Go(func() { forceSnapshot(b, owner) })
			}
			wait.Go(func() {
				grant := claim(b, owner, key)
				begun := time.Now()
				if err := owner.Begin(background, beginRequest(key, grant)); err != nil {
					b.Error(err)
				}
				times[i] = time.Since(begun)
				total[i] = time.Since(due)
			})
		}
		wait.Wait()
		elapsed := time.Since(start)
		syncs := files.take()
		stop()
		slices.Sort(times)
		slices.Sort(total)
		p99 := times[count*99/100]
		syncP99 := syncs[len(syncs)*99/100]
		b.ReportMetric(count/elapsed.Seconds(), "begins/s")
		b.ReportMetric(float64(times[count/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
		b.ReportMetric(float64(total[count*99/100].Microseconds())/1000, "claim+begin-p99-ms")
		b.ReportMetric(float64(total[count-1].Microseconds())/1000, "claim+begin-max-ms")
		b.ReportMetric(float64(syncs[len(syncs)/2].Microseconds())/1000, "sync-p50-ms")
		b.ReportMetric(float64(syncP99.Microseconds())/1000, "sync-p99-ms")
		b.ReportMetric(float64(syncs[len(syncs)-1].Microseconds())/1000, "sync-max-ms")
		b.ReportMetric(float64(p99)/float64(syncP99), "p99-per-sync-p99")
		b.ReportMetric(float64(p99)/float64(syncs[len(syncs)/2]), "p99-per-sync-p50")
		b.ReportMetric(count/float64(len(syncs)), "begins/sync")
		b.ReportMetric(float64(owner.State().Snapshots), "snapshots")
	}
}

// forceSnapshot makes the worker take a snapshot by increasing the recorded growth of the journal.
func forceSnapshot(b *testing.B, owner *Owner) {
	err := owner.submit(background, opRelease, func(*ledger.Ledger, time.Time) ([]byte, error) {
		owner.bytesSinceSnapshot = 1 << 40
		return nil, nil
	})
	if err != nil {
		b.Error(err)
	}
}

// BenchmarkRestart reports the duration of a start of an owner with 100,000 begun keys, from the journal
// alone and from a snapshot.
func BenchmarkRestart(b *testing.B) {
	const keys = 100_000
	for _, row := range []struct {
		name          string
		snapshotBytes int64
	}{{"journal", 1 << 40}, {"snapshot", 12 << 20}} {
		b.Run(row.name, func(b *testing.B) {
			o := Options{Name: "bern-1", Directory: b.TempDir(), SnapshotBytes: row.snapshotBytes}
			owner, stop := run(b, o)
			beginAll(b, owner, mintAll(b, owner, keys), 256)
			stop()
			b.ResetTimer()
			for range b.N {
				again, err := Open(o)
				if err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				if again.State().Ledger.Keys != keys {
					b.Fatal("keys are missing")
				}
				if err := again.journal.Close(); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/restart")
		})
	}
}
