package replica

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/primrosebeam/primrosebeam/consensus"
)

// instruments holds the metrics of one replica, labelled with its instance.
type instruments struct {
	set              *metrics.Set
	gauges           []string
	leaderChanges    *metrics.Counter
	freezes          *metrics.Counter
	droppedMessages  *metrics.Counter
	rejectedMessages *metrics.Counter
	unsentMessages   *metrics.Counter
	compactions      *metrics.Counter
	storageFailures  *metrics.Counter // times that the replica left the log since its storage failed
	reopenAttempts   *metrics.Counter
	reopens          *metrics.Counter // times that it returned
	commitSeconds    *metrics.Histogram
	syncSeconds      *metrics.Histogram
	logBytes         atomic.Int64 // size of the commands applied since the last compaction
}

func newInstruments(set *metrics.Set, instance string, state func() *State) *instruments {
	name := func(metric string) string {
		return fmt.Sprintf("primrosebeam_replica_%s{instance=%q}", metric, instance)
	}
	in := &instruments{
		set:              set,
		leaderChanges:    set.GetOrCreateCounter(name("leader_changes_total")),
		freezes:          set.GetOrCreateCounter(name("freezes_total")),
		droppedMessages:  set.GetOrCreateCounter(name("messages_dropped_total")),
		rejectedMessages: set.GetOrCreateCounter(name("messages_refused_total")),
		unsentMessages:   set.GetOrCreateCounter(name("messages_unsent_total")),
		compactions:      set.GetOrCreateCounter(name("compactions_total")),
		storageFailures:  set.GetOrCreateCounter(name("storage_failures_total")),
		reopenAttempts:   set.GetOrCreateCounter(name("reopen_attempts_total")),
		reopens:          set.GetOrCreateCounter(name("reopens_total")),
		commitSeconds:    set.GetOrCreateHistogram(name("commit_seconds")),
		syncSeconds:      set.GetOrCreateHistogram(name("sync_seconds")),
	}
	gauge := func(metric string, value func() float64) {
		set.GetOrCreateGauge(name(metric), value)
		in.gauges = append(in.gauges, name(metric))
	}
	gauge("term", func() float64 { return float64(state().Node.Term) })
	gauge("leads", func() float64 { return boolToFloat(state().Node.Role == "leader") })
	gauge("failed", func() float64 { return boolToFloat(state().Failed != "") })
	gauge("commit_index", func() float64 { return float64(state().Node.Commit) })
	gauge("log_entries", func() float64 {
		node := &state().Node
		return float64(node.Last + 1 - node.First)
	})
	gauge("voters", func() float64 { return float64(len(state().Node.Configuration.Voters)) })
	gauge("learners", func() float64 { return float64(len(state().Node.Configuration.Learners)) })
	gauge("is_member", func() float64 {
		node := &state().Node
		return boolToFloat(node.Configuration.Contains(node.Self))
	})
	// The leader alone knows it; -1 elsewhere.
	gauge("bearable_losses", func() float64 {
		node := &state().Node
		if node.Role != consensus.Leader.String() {
			return -1
		}
		return float64(node.Responsive - node.Configuration.Quorum())
	})
	gauge("log_bytes", func() float64 { return float64(in.logBytes.Load()) })
	return in
}

// close unregisters the gauges, whose callbacks refer to this replica, so that a restarted replica can
// register its own.
func (in *instruments) close() {
	for _, name := range in.gauges {
		in.set.UnregisterMetric(name)
	}
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
