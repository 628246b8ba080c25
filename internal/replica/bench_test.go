package replica

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/journal"
)

// BenchmarkCommit measures the latency of one proposal at a leader with two followers on real disks.
// syncs/op is that latency divided by the time of one append and sync on the same disk; contended/op
// divides it by the time of one of three concurrent ones, since the replicas share the disk here.
func BenchmarkCommit(b *testing.B) {
	c := newCluster(b, nil, "a", "b", "c")
	c.startAll()
	leader := c.commit("first")
	unit, contended := syncTime(b, 1), syncTime(b, len(c.names))
	data := make([]byte, 256)
	for b.Loop() {
		if _, err := leader.replica.Propose(context.Background(), data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(unit), "syncs/op")
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(contended), "contended/op")
	b.ReportMetric(float64(unit), "ns/sync")
}

// syncTime returns the mean time of one append and sync when several journals do so concurrently.
func syncTime(b *testing.B, journals int) time.Duration {
	const rounds = 500
	var wait sync.WaitGroup
	start := time.Now()
	for range journals {
		directory := b.TempDir()
		wait.Go(func() {
			j, err := journal.Open(journal.Options{Directory: directory})
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = j.Close() }()
			for range rounds {
				if _, err := j.Append(make([]byte, 256)); err != nil {
					b.Error(err)
				}
				if err := j.Sync(); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wait.Wait()
	return time.Since(start) / rounds
}

// BenchmarkCommitParallel measures group commit with many concurrent callers.
func BenchmarkCommitParallel(b *testing.B) {
	c := newCluster(b, nil, "a", "b", "c")
	c.startAll()
	leader := c.commit("first")
	data := make([]byte, 256)
	b.SetParallelism(20)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := leader.replica.Propose(context.Background(), data); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkIdle measures three idle replicas, one second per iteration: bytes and messages on the links,
// and processor time of the process, which includes encoding.
func BenchmarkIdle(b *testing.B) {
	c := newCluster(b, nil, "a", "b", "c")
	c.startAll()
	c.waitConverged()
	bytes, sent, cpu := c.bytes.Load(), c.sent.Load(), processorTime()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(c.bytes.Load()-bytes)/seconds, "bytes/s")
	b.ReportMetric(float64(c.sent.Load()-sent)/seconds, "messages/s")
	b.ReportMetric(100*(processorTime()-cpu).Seconds()/seconds/float64(len(c.names)), "%core/replica")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRestart measures the time from opening the data folder until 1,000 entries have been applied
// again.
func BenchmarkRestart(b *testing.B) {
	c := newCluster(b, nil, "a")
	c.startAll()
	for i := range 1000 {
		c.commit(fmt.Sprint(i))
	}
	if err := c.stop("a"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		m := c.start("a")
		c.waitFor("all commands are applied", func() bool { return len(m.machine.list()) >= 1000 })
		b.StopTimer()
		_ = c.stop("a")
		b.StartTimer()
	}
}
