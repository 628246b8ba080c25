// Package replica runs one replica of the replicated log: a goroutine that drives the consensus core
// over a journal, a transport and a clock, and applies committed commands to a state machine.
package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/primrosebeam/primrosebeam/consensus"
	"github.com/primrosebeam/primrosebeam/journal"
	"github.com/primrosebeam/primrosebeam/ring"
)

// Replica is the duty of a control replica. Run owns everything below the rings; the other methods
// may be called from any goroutine.
type Replica struct {
	options     Options
	logger      zerolog.Logger
	instruments *instruments
	messages    *ring.Ring[received]
	calls       *ring.Ring[*call]
	state       atomic.Pointer[State]
	contacts    atomic.Pointer[[]string]
	stopped     chan struct{}

	store        *store
	node         *consensus.Node
	appliedIndex uint64
	lastTick     time.Time
	failure      error // of the disk; the replica takes no part any more
	leaderID     consensus.ID
	leading      uint64 // term that this replica leads, 0 otherwise
	proposals    map[uint64]pending
	reads        map[uint64]*reading
	nextRead     uint64
	sinceCompact int // entries applied
}

type received struct {
	from    string
	message consensus.Message
}

// New opens the data folder, restores the state machine from the snapshot and prepares the replay of
// the entries after it. It returns *OptionsError, *IdentityError, *RecordError, an error of the
// journal or of the state machine.
func New(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	s, err := openStore(journal.Options{Directory: o.Directory, Files: o.Files}, o.Instance, o.NewIncarnation)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		options:   o,
		logger:    o.Logger.With().Str("duty", "replica").Stringer("replica", s.identity).Logger(),
		messages:  ring.New[received](o.RingCapacity),
		calls:     ring.New[*call](o.RingCapacity),
		stopped:   make(chan struct{}),
		store:     s,
		proposals: map[uint64]pending{},
		reads:     map[uint64]*reading{},
	}
	if err := r.start(); err != nil {
		_ = s.close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) start() error {
	if snapshot := r.store.snapshot; snapshot != nil {
		if err := r.options.StateMachine.Restore(snapshot.Data); err != nil {
			return err
		}
		r.appliedIndex = snapshot.Index
	}
	if err := r.startNode(); err != nil {
		return err
	}
	r.publish()
	r.instruments = newInstruments(r.options.Metrics, r.options.Instance, r.state.Load)
	return nil
}

// renew starts the node again under a higher incarnation; it has no log at this time.
func (r *Replica) renew(incarnation uint64) {
	err := r.store.renew(incarnation)
	if err == nil {
		err = r.startNode()
	}
	if err != nil {
		r.fail(err)
		return
	}
	r.logger = r.options.Logger.With().Str("duty", "replica").Stringer("replica", r.store.identity).Logger()
	r.logger.Warn().Msg("the log knows a newer incarnation of this instance; a higher one was taken")
}

func (r *Replica) startNode() error {
	node, err := consensus.New(consensus.Options{
		Self: r.store.identity, InitialVoters: r.options.Voters, Peers: r.options.Peers,
		ElectionTicks: r.options.ElectionTicks, HeartbeatTicks: r.options.HeartbeatTicks,
		MembershipPolicy: r.options.Staffing,
		Random:           r.options.Random, Storage: r.store,
	})
	if err != nil {
		return err
	}
	r.node = node
	return nil
}

// Run drives the replica until ctx ends, then closes the journal. A failed disk does not end it: the
// replica stays reachable for calls and dumps, and reports the failure. The error is that of closing
// the journal.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	r.lastTick = time.Now()
	r.advance() // Applies the entries that are known to be committed from before a restart.
	for {
		select {
		case <-ctx.Done():
			return r.stop()
		case <-ticker.C:
		case <-r.messages.Ready():
		case <-r.calls.Ready():
		}
		r.cycle()
	}
}

// cycle does everything that is due. The clock comes first: after a freeze a leader must step down
// before it looks at a message or a call.
func (r *Replica) cycle() {
	r.observeClock(time.Now())
	if names := r.contacts.Swap(nil); names != nil {
		r.node.SetJoinPeers(*names)
	}
	r.takeMessages()
	r.takeCalls()
	r.advance()
	if known := r.node.SupersedingIncarnation(); known != 0 && r.failure == nil {
		r.renew(known + 1)
	}
	r.publish()
}

// observeClock delivers the ticks that are due by the monotonic clock, which runs on while the
// process is stopped.
func (r *Replica) observeClock(now time.Time) {
	if r.failure != nil {
		return
	}
	due := now.Sub(r.lastTick) / r.options.TickInterval
	late := now.Sub(r.lastTick) - r.options.TickInterval
	r.lastTick = r.lastTick.Add(due * r.options.TickInterval)
	if late > freezeLimit {
		r.instruments.freezes.Inc()
		r.logger.Warn().Dur("late", late).Str("role", r.node.Role().String()).Msg("tick was late; leadership is given up")
		r.node.StepDown()
		return
	}
	for range due {
		r.node.Tick()
	}
}

func (r *Replica) takeMessages() {
	r.messages.Drain(func(in received) {
		if r.failure != nil {
			return
		}
		if in.from != in.message.From.Instance {
			r.refuse(in, &consensus.UnknownSenderError{From: in.message.From, Kind: in.message.Kind})
			return
		}
		if err := r.node.Step(in.message); err != nil {
			r.refuse(in, err)
		}
	})
}

func (r *Replica) refuse(in received, err error) {
	r.instruments.refused.Inc()
	r.logger.Debug().Str("from", in.from).Err(err).Msg("message refused")
}

func (r *Replica) takeCalls() {
	var batch []*call
	r.calls.Drain(func(c *call) { batch = append(batch, c) })
	r.accept(batch)
}

// advance carries out Readys until there is nothing to do: send what depends on no disk, persist,
// send the rest, apply, confirm.
func (r *Replica) advance() {
	for r.failure == nil {
		ready := r.node.Ready()
		r.observeLeader()
		if ready.IsEmpty() {
			r.finishReads(nil, nil)
			break
		}
		r.send(ready.MessagesBeforeSync)
		if err := r.store.persist(&ready, r.synced); err != nil {
			r.fail(err)
			return
		}
		r.send(ready.MessagesAfterSync)
		if err := r.apply(&ready); err != nil {
			r.fail(err)
			return
		}
		r.node.Advance(ready)
		r.finishReads(ready.Reads, ready.AbortedReads)
	}
	r.compact()
}

func (r *Replica) synced(took time.Duration) { r.instruments.syncSeconds.Update(took.Seconds()) }

func (r *Replica) send(messages []consensus.Message) {
	for i := range messages {
		if err := r.options.Transport.Send(messages[i].To.Instance, messages[i]); err != nil {
			r.instruments.unsent.Inc()
		}
	}
}

func (r *Replica) apply(ready *consensus.Ready) error {
	if ready.Snapshot != nil {
		if err := r.options.StateMachine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		r.appliedIndex = ready.Snapshot.Index
		r.sinceCompact = 0
		r.instruments.logBytes.Store(0)
	}
	for i := range ready.Committed {
		e := &ready.Committed[i]
		var result any
		if e.Kind == consensus.EntryCommand {
			result = r.options.StateMachine.Apply(e.Index, e.Data)
		}
		r.appliedIndex = e.Index
		r.sinceCompact++
		r.instruments.logBytes.Add(int64(len(e.Data)))
		r.applied(e, result)
	}
	return nil
}

// compact takes a snapshot when enough was applied since the last one, which bounds the log on disk
// and in memory. A full disk keeps the old snapshot; the next write will notice it as well.
func (r *Replica) compact() {
	due := r.sinceCompact >= r.options.CompactEntries || r.instruments.logBytes.Load() >= int64(r.options.CompactBytes)
	if r.failure != nil || !due {
		return
	}
	if err := r.saveSnapshot(); err != nil {
		var full *journal.FullError
		if !errors.As(err, &full) {
			r.fail(err)
			return
		}
		r.logger.Error().Err(err).Msg("no space for a snapshot; the log is not compacted")
	}
	r.sinceCompact = 0
	r.instruments.logBytes.Store(0)
}

func (r *Replica) saveSnapshot() error {
	data, err := r.options.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := r.node.SnapshotAt(r.appliedIndex, data)
	if err != nil {
		return err
	}
	if err := r.store.saveSnapshot(&snapshot, r.node.EntriesAfter(r.appliedIndex)); err != nil {
		return err
	}
	r.instruments.compactions.Inc()
	return r.node.Compact(r.keepAfter(snapshot.Index))
}

// keepAfter returns the index up to which a snapshot lets the node drop its entries. Some are kept
// in memory for followers that lag a little; KeepEntries and a quarter of CompactBytes bound them.
func (r *Replica) keepAfter(covered uint64) uint64 {
	low := r.node.Status().First - 1
	if keep := uint64(r.options.KeepEntries); covered > low+keep {
		low = covered - keep
	}
	entries := r.node.EntriesAfter(low)
	entries = entries[:covered-low]
	size := 0
	for i := len(entries) - 1; i >= 0; i-- {
		size += len(entries[i].Data)
		if size > r.options.CompactBytes/4 {
			return entries[i].Index
		}
	}
	return low
}

// observeLeader notices a change of leadership before its Ready is carried out.
func (r *Replica) observeLeader() {
	leads := r.node.Role() == consensus.Leader
	if r.leading != 0 && (!leads || r.node.Term() != r.leading) {
		r.abandonProposals(&LeadershipLostError{Term: r.leading})
		r.leading = 0
	}
	if leads {
		r.leading = r.node.Term()
	}
	if leader := r.node.Leader(); leader != r.leaderID {
		r.leaderID = leader
		if !leader.IsZero() {
			r.instruments.leaderChanges.Inc()
			r.logger.Info().Stringer("leader", leader).Uint64("term", r.node.Term()).Msg("leader changed")
		}
	}
}

// fail ends this replica's part in the log. After a failed sync nobody knows what is on the disk, so
// another vote or acknowledgement could promise what a restart does not find.
func (r *Replica) fail(err error) {
	r.failure = err
	r.logger.Error().Err(err).Msg("storage failed; the replica takes no further part")
	r.abandonProposals(&FailedError{Cause: err})
	for id := range r.reads {
		r.endRead(id, &FailedError{Cause: err})
	}
	r.publish()
}

func (r *Replica) stop() error {
	r.messages.Close()
	r.calls.Close()
	r.takeCalls()
	r.abandonProposals(&StoppedError{})
	for id := range r.reads {
		r.endRead(id, &StoppedError{})
	}
	r.publish()
	r.instruments.close()
	close(r.stopped)
	return r.store.close()
}

// Receive hands over a message from an instance. It never blocks; when the ring is full the message
// is dropped and counted, which the protocol tolerates.
func (r *Replica) Receive(from string, m consensus.Message) {
	if r.messages.Offer(received{from, m}) != nil {
		r.instruments.dropped.Inc()
	}
}

// SetContacts names further instances that are asked for membership; see consensus.Node.SetJoinPeers.
func (r *Replica) SetContacts(names []string) { r.contacts.Store(&names) }
