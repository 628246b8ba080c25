package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/primrosebeam/primrosebeam/configuration"
)

// BenchmarkPayload measures the compressed size of a document at the design size, and the time to encode
// and to decode it.
func BenchmarkPayload(b *testing.B) {
	d := document(600, 280)
	b.Run("encode", func(b *testing.B) {
		size := 0
		for b.Loop() {
			payload, err := encodePayload(1, d)
			if err != nil {
				b.Fatal(err)
			}
			size = len(payload)
		}
		b.ReportMetric(float64(size), "bytes")
	})
	payload, err := encodePayload(1, d)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, _, err := decodePayload(payload); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkChange measures one change at the design size, from the submission until it is in force at all
// instances of one process, with 3 replicas and 9 instances in total and with 7 replicas and 407. The
// changes either drain or undrain one engine, or replace the document with one in which this engine differs.
func BenchmarkChange(b *testing.B) {
	drain := func(on bool) configuration.Edit {
		return configuration.Edit{Drain: &configuration.DrainEdit{Engine: "engine-300", On: on}}
	}
	replace := func(on bool) configuration.Edit {
		d := document(600, 280)
		d.Engines[300].Drained = on
		return configuration.Edit{Apply: d}
	}
	for _, size := range []struct{ replicas, subscribers int }{{3, 6}, {7, 400}} {
		b.Run(fmt.Sprintf("drain/%d+%d", size.replicas, size.subscribers), func(b *testing.B) {
			measureChange(b, size.replicas, size.subscribers, drain)
		})
		b.Run(fmt.Sprintf("replace/%d+%d", size.replicas, size.subscribers), func(b *testing.B) {
			measureChange(b, size.replicas, size.subscribers, replace)
		})
	}
}

func measureChange(b *testing.B, replicas, subscribers int, edit func(on bool) configuration.Edit) {
	net := newFakeNetwork()
	defer net.stopAll()
	populate(b, net, replicas, subscribers)
	entry := net.nodes["r-0"].control
	net.bytes.Store(0)
	net.messages.Store(0)
	started := time.Now()
	changes := 0
	for b.Loop() {
		changes++
		change := configuration.Change{
			ID: fmt.Sprintf("id-%d", changes), Base: configuration.Version(changes), Edit: edit(changes%2 == 1),
		}
		if result, err := entry.Submit(context.Background(), change); err != nil || result.Outcome != OutcomeAccepted {
			b.Fatal(result, err)
		}
	}
	elapsed := time.Since(started)
	all := float64(replicas + subscribers)
	b.ReportMetric(float64(net.bytes.Load())/float64(changes)/all, "bytes/instance/change")
	b.ReportMetric(float64(net.messages.Load())/float64(changes)/all, "messages/instance/change")
	b.ReportMetric(elapsed.Seconds()*1e3/float64(changes)/all, "ms/instance/change")
}

// BenchmarkIdle measures the traffic between idle instances and their replicas.
func BenchmarkIdle(b *testing.B) {
	net := newFakeNetwork()
	defer net.stopAll()
	populate(b, net, 7, 400)
	for b.Loop() {
		before := net.bytes.Load()
		time.Sleep(10 * time.Second)
		b.ReportMetric(float64(net.bytes.Load()-before)/10/407, "bytes/s/instance")
	}
}

func populate(b *testing.B, net *fakeNetwork, replicas, subscribers int) {
	var peers []Peer
	for i := range replicas {
		peers = append(peers, Peer{Name: fmt.Sprintf("r-%d", i), DataCentre: fmt.Sprintf("centre-%d", i%5)})
	}
	for _, peer := range peers {
		net.start(b, peers, peer.Name, peer.DataCentre, "", nil)
	}
	for i := range subscribers {
		net.start(b, peers, fmt.Sprintf("i-%d", i), fmt.Sprintf("centre-%d", i%5), "", nil)
	}
	first := configuration.Change{ID: "first", Edit: configuration.Edit{Apply: document(600, 280)}}
	if result, err := net.nodes["r-0"].control.Submit(context.Background(), first); err != nil || result.Outcome != OutcomeAccepted {
		b.Fatal(result, err)
	}
	for _, node := range net.nodes {
		for node.control.subscriber.state().Replica == "" {
			time.Sleep(10 * time.Millisecond)
		}
	}
}
