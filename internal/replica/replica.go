// Package replica runs one member of a replicated log: a goroutine that drives the consensus node with a
// journal, a transport and a clock, and applies committed commands to a state machine.
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

// Replica is the worker of a control replica. The goroutine of Run owns the fields after stopped; the
// exported methods may be called from any goroutine.
type Replica struct {
	options     Options
	logger      zerolog.Logger
	instruments *instruments
	messages    *ring.Ring[receivedMessage]
	calls       *ring.Ring[*call]
	state       atomic.Pointer[State]
	joinPeers   atomic.Pointer[[]string]
	stopped     chan struct{}

	store                  *store          // nil until it was opened for the first time
	node                   *consensus.Node // nil until then
	appliedIndex           uint64
	lastTick               time.Time       // time up to which ticks have been delivered
	failure                error           // why this replica takes no part in the log
	suspended              *storageFailure // set if it returns once its storage works
	joined                 []string        // instances last passed to the node by SetJoinPeers
	leaderID               consensus.ID
	leadingTerm            uint64 // term in which this replica is the leader, 0 otherwise
	proposals              map[uint64]pendingProposal
	reads                  map[uint64]*readGroup
	lastRead               uint64 // ID of the last read group
	watch                  watch
	appliedSinceCompaction int // number of entries
}

// receivedMessage is a message with the name of the instance whose link delivered it.
type receivedMessage struct {
	from    string
	message consensus.Message
}

// New opens the data folder, restores the state machine from the snapshot and prepares the replay of the
// entries after it. If the file system refuses that, the replica starts without taking part in the log and Run tries
// again. New returns *OptionsError, *IdentityError, *RecordError, or an error of the journal or the state machine.
func New(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		options:   o,
		logger:    o.Logger.With().Str("duty", "replica").Str("instance", o.Instance).Logger(),
		messages:  ring.New[receivedMessage](o.RingCapacity),
		calls:     ring.New[*call](o.RingCapacity),
		stopped:   make(chan struct{}),
		proposals: map[uint64]pendingProposal{},
		reads:     map[uint64]*readGroup{},
	}
	s, err := openStore(o.journalOptions(), o.Instance, o.NewIncarnation)
	if err != nil && !journal.IsRefused(err) {
		return nil, err
	}
	r.state.Store(&State{})
	r.instruments = newInstruments(o.Metrics, o.Instance, r.state.Load)
	if err != nil {
		r.suspend(err)
		return r, nil
	}
	r.store = s
	if err := r.restore(); err != nil {
		r.instruments.close()
		_ = s.close()
		return nil, err
	}
	return r, nil
}

// restore applies the stored snapshot to the state machine, unless it holds more already, and starts the node.
func (r *Replica) restore() error {
	if snapshot := r.store.snapshot; snapshot != nil && snapshot.Index > r.appliedIndex {
		if err := r.options.StateMachine.Restore(snapshot.Data); err != nil {
			return err
		}
		r.appliedIndex = snapshot.Index
	}
	if err := r.startNode(); err != nil {
		return err
	}
	r.logger = r.options.Logger.With().Str("duty", "replica").Stringer("replica", r.store.identity).Logger()
	r.publishState()
	return nil
}

// renew restarts the node under a higher incarnation. The node has no log at this point.
func (r *Replica) renew(incarnation uint64) {
	if err := r.store.renewIncarnation(incarnation); err != nil {
		r.suspend(err)
		return
	}
	if err := r.startNode(); err != nil {
		r.fail(err, "the replica takes no further part in the log")
		return
	}
	r.logger = r.options.Logger.With().Str("duty", "replica").Stringer("replica", r.store.identity).Logger()
	r.logger.Warn().Msg("the log contains a newer incarnation of this instance; switched to a higher one")
}

func (r *Replica) startNode() error {
	node, err := consensus.New(consensus.Options{
		Self: r.store.identity, InitialVoters: r.options.Voters, Peers: r.options.Peers,
		ElectionTicks: r.options.ElectionTicks, HeartbeatTicks: r.options.HeartbeatTicks,
		MembershipPolicy: r.options.MembershipPolicy,
		Random:           r.options.Random, Storage: r.store,
	})
	if err != nil {
		return err
	}
	r.node = node
	status := node.Status()
	r.options.Logger.Info().Str("duty", "replica").Stringer("replica", r.store.identity).Stringer("log", status.Log).Uint64("term", status.Term).
		Uint64("lastEntry", status.Last).Uint64("commit", status.Commit).Msg("replica started")
	return nil
}

// Run drives the replica until ctx ends, then closes the journal. A storage failure does not end it: the
// replica still accepts calls and state dumps and reports the failure. The returned error is that of
// closing the journal.
func (r *Replica) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	r.lastTick = time.Now()
	r.advance() // Applies the entries that were known to be committed before a restart.
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

// cycle processes everything that is due. The clock is checked first: after the process was frozen, a
// leader must step down before it processes any message or call.
func (r *Replica) cycle() {
	r.observeClock(time.Now())
	r.reopen(time.Now())
	if names := r.joinPeers.Swap(nil); names != nil {
		r.joined = *names
		if r.node != nil {
			r.node.SetJoinPeers(*names)
		}
	}
	r.processMessages()
	r.processCalls()
	r.advance()
	if r.failure == nil {
		if known := r.node.SupersedingIncarnation(); known != 0 {
			r.renew(known + 1)
		}
	}
	r.publishState()
	r.observeMembers(time.Now())
}

// observeClock delivers the ticks that are due according to the monotonic clock, which keeps running while
// the process is stopped. A leader steps down when a tick is late by more than freezeThreshold.
func (r *Replica) observeClock(now time.Time) {
	if r.failure != nil {
		return
	}
	due := now.Sub(r.lastTick) / r.options.TickInterval
	late := now.Sub(r.lastTick) - r.options.TickInterval
	r.lastTick = r.lastTick.Add(due * r.options.TickInterval)
	if late > freezeThreshold {
		r.instruments.freezes.Inc()
		r.logger.Warn().Dur("late", late).Str("role", r.node.Role().String()).Msg("tick was late; stepping down if leader")
		r.node.StepDown()
		return
	}
	for range due {
		r.node.Tick()
	}
}

// processMessages passes the queued messages to the node. It rejects those whose sender is not the
// instance at the other end of the link.
func (r *Replica) processMessages() {
	r.messages.Drain(func(in receivedMessage) {
		if r.failure != nil {
			return
		}
		if in.from != in.message.From.Instance {
			r.rejectMessage(in, &consensus.UnknownSenderError{From: in.message.From, Kind: in.message.Kind})
			return
		}
		if err := r.node.Step(in.message); err != nil {
			r.rejectMessage(in, err)
		}
	})
}

func (r *Replica) rejectMessage(in receivedMessage, err error) {
	r.instruments.rejectedMessages.Inc()
	r.logger.Debug().Str("from", in.from).Err(err).Msg("message rejected")
}

func (r *Replica) processCalls() {
	var batch []*call
	r.calls.Drain(func(c *call) { batch = append(batch, c) })
	r.startCalls(batch)
}

// advance processes Ready values until there are none left: it sends the messages that need no sync,
// persists, sends the remaining messages, applies committed entries and confirms reads.
func (r *Replica) advance() {
	for r.failure == nil {
		ready := r.node.Ready()
		r.observeLeader()
		if ready.IsEmpty() {
			r.finishReads(nil, nil)
			break
		}
		r.send(ready.MessagesBeforeSync)
		if err := r.store.persist(&ready, r.observeSync); err != nil {
			r.suspend(err)
			return
		}
		r.send(ready.MessagesAfterSync)
		if err := r.apply(&ready); err != nil {
			r.fail(err, "the state machine failed; the replica takes no further part in the log")
			return
		}
		r.node.Advance(ready)
		r.finishReads(ready.Reads, ready.AbortedReads)
	}
	r.compact()
}

func (r *Replica) observeSync(took time.Duration) { r.instruments.syncSeconds.Update(took.Seconds()) }

func (r *Replica) send(messages []consensus.Message) {
	for i := range messages {
		if err := r.options.Transport.Send(messages[i].To.Instance, messages[i]); err != nil {
			r.instruments.unsentMessages.Inc()
		}
	}
}

// apply applies the snapshot and the committed entries of a Ready to the state machine.
func (r *Replica) apply(ready *consensus.Ready) error {
	if ready.Snapshot != nil && ready.Snapshot.Index > r.appliedIndex {
		if err := r.options.StateMachine.Restore(ready.Snapshot.Data); err != nil {
			return err
		}
		r.appliedIndex = ready.Snapshot.Index
		r.appliedSinceCompaction = 0
		r.instruments.logBytes.Store(0)
	}
	for i := range ready.Committed {
		e := &ready.Committed[i]
		if e.Index <= r.appliedIndex {
			continue // applied before the journal was opened again
		}
		var result any
		if e.Kind == consensus.EntryCommand {
			result = r.options.StateMachine.Apply(e.Index, e.Data)
		}
		r.appliedIndex = e.Index
		r.appliedSinceCompaction++
		r.instruments.logBytes.Add(int64(len(e.Data)))
		r.finishProposal(e, result)
	}
	return nil
}

// compact takes a snapshot when enough has been applied since the last one, which bounds the log on disk
// and in memory. When the disk is full the old snapshot is kept; the next write reports the full disk as
// well.
func (r *Replica) compact() {
	due := r.appliedSinceCompaction >= r.options.CompactEntries ||
		r.instruments.logBytes.Load() >= int64(r.options.CompactBytes)
	if r.failure != nil || !due {
		return
	}
	if err := r.saveSnapshot(); err != nil {
		var full *journal.FullError
		switch {
		case errors.As(err, &full):
			r.logger.Error().Err(err).Msg("no disk space for a snapshot; the log was not compacted")
		case journal.IsRefused(err):
			r.suspend(err)
			return
		default:
			r.fail(err, "the log was not compacted; the replica takes no further part in it")
			return
		}
	}
	r.appliedSinceCompaction = 0
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
	return r.node.Compact(r.compactionIndex(snapshot.Index))
}

// compactionIndex returns the index up to which the node may drop its entries after a snapshot that covers
// the given index. Some entries are kept in memory for followers that are slightly behind, at most
// KeepEntries of them and at most a quarter of CompactBytes.
func (r *Replica) compactionIndex(covered uint64) uint64 {
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

// observeLeader detects a change of leadership before the Ready that follows it is processed.
func (r *Replica) observeLeader() {
	leads := r.node.Role() == consensus.Leader
	if r.leadingTerm != 0 && (!leads || r.node.Term() != r.leadingTerm) {
		r.abandonProposals(&LeadershipLostError{Term: r.leadingTerm})
		r.leadingTerm = 0
	}
	if leads {
		r.leadingTerm = r.node.Term()
	}
	if leader := r.node.Leader(); leader != r.leaderID {
		r.leaderID = leader
		if !leader.IsZero() {
			r.instruments.leaderChanges.Inc()
			r.logger.Info().Stringer("leader", leader).Uint64("term", r.node.Term()).Msg("leader changed")
		}
	}
}

// fail ends the participation of this replica in the log, unless it is suspended, for the life of the process.
func (r *Replica) fail(err error, consequence string) {
	r.failure = err
	r.logger.Error().Err(err).Msg(consequence)
	r.abandonProposals(&StorageFailedError{Cause: err})
	for id := range r.reads {
		r.finishReadGroup(id, &StorageFailedError{Cause: err})
	}
	r.publishState()
}

func (r *Replica) stop() error {
	r.messages.Close()
	r.calls.Close()
	r.processCalls()
	r.abandonProposals(&StoppedError{})
	for id := range r.reads {
		r.finishReadGroup(id, &StoppedError{})
	}
	r.publishState()
	r.instruments.close()
	close(r.stopped)
	if r.store == nil {
		return nil
	}
	return r.store.close()
}

// Receive queues a message from an instance. It never blocks: when the queue is full the message is
// dropped and counted, which the protocol tolerates.
func (r *Replica) Receive(from string, m consensus.Message) {
	if r.messages.Offer(receivedMessage{from, m}) != nil {
		r.instruments.droppedMessages.Inc()
	}
}

// SetJoinPeers sets further instances that this replica asks for membership; see
// consensus.Node.SetJoinPeers.
func (r *Replica) SetJoinPeers(names []string) { r.joinPeers.Store(&names) }
