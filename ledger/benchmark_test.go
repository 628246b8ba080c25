package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func benchmarkKeys(b *testing.B, w *world, n int) []Key {
	b.Helper()
	var keys []Key
	for len(keys) < n {
		minted, err := w.ledger.Mint(w.clock, MintRequest{Workspace: "w", Count: min(MaxMintCount, n-len(keys)), Lifetime: time.Hour}, w)
		if err != nil {
			b.Fatal(err)
		}
		keys = append(keys, minted...)
	}
	return keys
}

func claimAndBegin(b *testing.B, w *world, key Key, i int) {
	grant, _, err := w.ledger.Claim(w.clock, ClaimRequest{Key: key, Workspace: "w", Holder: "instance-1"})
	if err != nil || !grant.Granted {
		b.Fatal(grant, err)
	}
	r := BeginRequest{Key: key, Workspace: "w", Fence: grant.Fence, Holder: "instance-1", Engine: "engine-12", RequestID: fmt.Sprintf("%032d", i)}
	if _, err = w.ledger.Begin(w.clock, r); err != nil {
		b.Fatal(err)
	}
	w.ledger.Commit()
}

func BenchmarkClaimAndBegin(b *testing.B) {
	w := newWorld(intact)
	w.ledger.limits.Keys = 4 * (b.N + 1)
	keys := benchmarkKeys(b, w, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i, key := range keys {
		claimAndBegin(b, w, key, i)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemoryPerKey reports the heap bytes of one begun key without a copy of its answer, and the time that
// snapshot and restore of 100,000 keys take.
func BenchmarkMemoryPerKey(b *testing.B) {
	const keys = 100_000
	for range b.N {
		w := newWorld(intact)
		minted := benchmarkKeys(b, w, keys)
		before := heapBytes()
		for i, key := range minted {
			claimAndBegin(b, w, key, i)
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key")
		start := time.Now()
		data, err := w.ledger.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/snapshot")
		b.ReportMetric(float64(len(data))/keys, "snapshotB/key")
		start = time.Now()
		l, err := New("owner", testLimits)
		if err != nil {
			b.Fatal(err)
		}
		if err := l.Restore(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/restore")
		runtime.KeepAlive(minted)
	}
}
