package replica

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/journal"
)

// StateMachine is what the log drives. All methods are called by the replica's own goroutine. Apply
// must be deterministic; its result is the result of Propose at the replica that proposed.
type StateMachine interface {
	Apply(index uint64, data []byte) any
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Transport sends a message to an instance. It must not block; a message that cannot be sent is lost.
// The message may be kept and encoded later, but not be changed.
type Transport interface {
	Send(to string, m consensus.Message) error
}

// Defaults of Options. A leader that stops is replaced after one to two times 600 ms plus two round
// trips and two syncs, which keeps the time without a leader under the target of 2 s.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultCompactEntries = 1024
	DefaultCompactBytes   = 4 << 20
	DefaultKeepEntries    = 128
	DefaultRingCapacity   = 1024
)

// freezeLimit is how late a tick may be before a leader steps down (section 8 of the design).
const freezeLimit = time.Second

// Options configure a Replica. Instance, Directory, StateMachine and Transport are required.
type Options struct {
	Instance     string
	Voters       []string // instances of the initial voters, the same list at each; only used while no log exists
	Peers        []string // further instances that may hold the log, such as replicas added later; asked before one is founded
	Directory    string   // of the journal; holds the replica's identity too
	Files        journal.FileSystem
	StateMachine StateMachine
	Transport    Transport
	Logger       zerolog.Logger
	Metrics      *metrics.Set // nil means a set of its own

	TickInterval   time.Duration
	ElectionTicks  int // see consensus.Options
	HeartbeatTicks int
	CompactEntries int // applied entries after which the log is compacted
	CompactBytes   int // of applied commands after which the log is compacted
	KeepEntries    int // kept in memory for followers that lag a little
	Staffing       consensus.MembershipPolicy
	RingCapacity   int // messages, and as many calls; full rings drop messages and refuse calls

	Random         *rand.Rand    // election timeouts; nil means a random seed
	NewIncarnation func() uint64 // called on an empty disk; nil means nanoseconds of the wall clock
}

func (o *Options) setDefaults() error {
	if o.Instance == "" || o.Directory == "" || o.StateMachine == nil || o.Transport == nil {
		return &OptionsError{Detail: "instance, directory, state machine and transport are required"}
	}
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
