package membership

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRound measures one heartbeat round of one instance: sending to all partners and receiving from them.
func BenchmarkRound(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			n := newSettledNetwork(b, s)
			m := n.nodes[n.names[0]]
			partners := m.Partners()
			now := n.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(HeartbeatInterval)
				m.Tick(now)
				for _, partner := range partners {
					r := m.records[partner]
					m.Receive(now, Source{Name: partner, DataCentre: r.dataCentre, Incarnation: r.value.incarnation}, Heartbeat{
						Purpose: PurposeChosen, Number: r.ackHigh + 1, AckHigh: r.lastSent, Digest: m.digest, Sequence: r.value.sequence, Version: r.version,
					})
				}
			}
			b.ReportMetric(float64(len(partners)), "partners")
		})
	}
}

// BenchmarkMemory reports the memory that the view of one instance takes.
func BenchmarkMemory(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				n := newNetwork(b, s.instances, s.dataCentres, 1)
				n.exchangeRecords()
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.instances), "bytes/instance")
				runtime.KeepAlive(n)
			}
		})
	}
}
