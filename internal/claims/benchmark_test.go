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

// oneSync returns the median and the 99th percentile of the time for a record and a sync in a temporary directory.
func oneSync(b *testing.B) (median, p99 time.Duration) {
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

func mintAll(b *testing.B, owner *Owner, n int) []ledger.Key {
	keys := make([]ledger.Key, 0, n)
	for len(keys) < n {
		keys = append(keys, mint(b, owner, min(ledger.MaxMintCount, n-len(keys)))...)
	}
	return keys
}

// beginAll claims and begins the keys with the given number of concurrent callers and returns the times of begin.
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

// BenchmarkClaimAndBegin reports claims with begin per second of one owner on a real directory, and the 99th
// percentile of begin in units of one sync. The target is 5,000 per second.
func BenchmarkClaimAndBegin(b *testing.B) {
	for _, callers := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			single, tail := oneSync(b)
			owner, _ := run(b, Options{Name: "bern-1", Directory: b.TempDir(), Limits: ledger.Limits{Keys: 1 << 23}})
			keys := mintAll(b, owner, b.N)
			b.ResetTimer()
			times := beginAll(b, owner, keys, callers)
			b.StopTimer()
			p99 := times[len(times)*99/100]
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "begins/s")
			b.ReportMetric(float64(p99.Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(single.Microseconds())/1000, "sync-ms")
			b.ReportMetric(float64(tail.Microseconds())/1000, "sync-p99-ms")
			b.ReportMetric(float64(p99)/float64(single), "p99-syncs")
		})
	}
}

// BenchmarkRestart reports how long an owner with 100,000 begun keys takes to start, from the journal alone and from
// a snapshot.
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
