package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchmarkKeys mints n keys.
func benchmarkKeys(b *testing.B, sim *simulation, n int) []Key {
	b.Helper()
	var keys []Key
	for len(keys) < n {
		minted, err := sim.ledger.Mint(sim.clock, MintRequest{
			Workspace: "w", Count: min(MaxMintCount, n-len(keys)), Lifetime: time.Hour,
		}, sim)
		if err != nil {
			b.Fatal(err)
		}
		keys = append(keys, minted...)
	}
	return keys
}

func claimAndBegin(b *testing.B, sim *simulation, key Key, i int) {
	grant, _, err := sim.ledger.Claim(sim.clock, ClaimRequest{Key: key, Workspace: "w", Holder: "instance-1"})
	if err != nil || !grant.Granted {
		b.Fatal(grant, err)
	}
	r := BeginRequest{
		Key: key, Workspace: "w", Fence: grant.Fence, Holder: "instance-1", Engine: "engine-12", RequestID: fmt.Sprintf("%032d", i),
	}
	if _, err = sim.ledger.Begin(sim.clock, r); err != nil {
		b.Fatal(err)
	}
	sim.ledger.Commit()
}

func BenchmarkClaimAndBegin(b *testing.B) {
	sim := newSimulation(noMutation)
	sim.ledger.limits.Keys = 4 * (b.N + 1)
	keys := benchmarkKeys(b, sim, b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for i, key := range keys {
		claimAndBegin(b, sim, key, i)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMemoryPerKey reports the heap bytes of one begun key without a stored response, and the durations
// of a snapshot and a restore with 100,000 keys.
func BenchmarkMemoryPerKey(b *testing.B) {
	const keys = 100_000
	for range b.N {
		sim := newSimulation(noMutation)
		minted := benchmarkKeys(b, sim, keys)
		before := heapBytes()
		for i, key := range minted {
			claimAndBegin(b, sim, key, i)
		}
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key")
		start := time.Now()
		data, err := sim.ledger.Snapshot()
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
