package replica

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/internal/logging"
	"github.com/primrosebeam/primrosebeam/journal"
)

// StateMachine is the state machine to which committed commands are applied. All methods are called by the
// replica's own goroutine. Apply must be deterministic; Propose returns its result at the replica that
// made the proposal.
type StateMachine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Transport sends messages to instances. Send must not block; a message that cannot be sent is lost. An
// implementation may keep the message and encode it later, but must not modify it.
type Transport interface {
	Send(to string, m consensus.Message) error
}

// Defaults of Options. A leader that stops is replaced after one to two election timeouts of 600 ms plus
// two round trips and two syncs, which keeps the time without a leader under the target of 2 s.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultCompactEntries = 1024
	DefaultCompactBytes   = 4 << 20
	DefaultKeepEntries    = 128
	DefaultRingCapacity   = 1024
)

// freezeThreshold is how late a tick may be before a leader steps down, since the process may have been
// frozen (section 8 of the design).
const freezeThreshold = time.Second

// Options configures a Replica. Instance, Directory, StateMachine and Transport are required.
type Options struct {
	Instance string
	Voters   []string // initial voters, identical on each of them; used only while no log exists
	// Peers lists other instances that may hold the log, such as replicas added later. They are asked before
	// a log is bootstrapped.
	Peers        []string
	Directory    string // journal directory, which also holds the identity of the replica
	Files        journal.FileSystem
	StateMachine StateMachine
	Transport    Transport
	Logger       zerolog.Logger
	Metrics      *metrics.Set // nil means a private set

	TickInterval     time.Duration
	ElectionTicks    int // see consensus.Options
	HeartbeatTicks   int
	CompactEntries   int // number of applied entries after which the log is compacted
	CompactBytes     int // size of applied commands after which the log is compacted
	KeepEntries      int // number of entries kept in memory for followers that are slightly behind
	MembershipPolicy consensus.MembershipPolicy
	RingCapacity     int // capacity of each queue; full queues drop messages and reject calls

	Random         *rand.Rand    // source of the election timeouts; nil means a random seed
	NewIncarnation func() uint64 // called on an empty disk; nil means nanoseconds of the wall clock
}

func (o *Options) journalOptions() journal.Options {
	return journal.Options{Directory: o.Directory, Files: o.Files}
}

func (o *Options) setDefaults() error {
	if o.Instance == "" || o.Directory == "" || o.StateMachine == nil || o.Transport == nil {
		return &OptionsError{Detail: "instance, directory, state machine and transport are required"}
	}
	o.Files = journal.ReportSlow(o.Files, logging.SlowDisk(o.Logger))
	o.TickInterval = cmp.Or(o.TickInterval, DefaultTickInterval)
	o.CompactEntries = cmp.Or(o.CompactEntries, DefaultCompactEntries)
	o.CompactBytes = cmp.Or(o.CompactBytes, DefaultCompactBytes)
	o.KeepEntries = cmp.Or(o.KeepEntries, DefaultKeepEntries)
	o.RingCapacity = cmp.Or(o.RingCapacity, DefaultRingCapacity)
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.NewIncarnation == nil {
		o.NewIncarnation = func() uint64 { return uint64(time.Now().UnixNano()) }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return nil
}
