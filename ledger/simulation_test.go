package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// mutation is a fault in the ledger or in the protocol. The tests check that each mutation is detected.
type mutation string

const (
	noMutation          mutation = ""
	acknowledgeUnsynced mutation = "a begin is acknowledged before its record is synced"
	reportUnsynced      mutation = "outcomes are reported before their record is synced"
	ignoreFence         mutation = "begin and complete are accepted under any fence"
	keepIdentity        mutation = "the identity survives the loss of the journal"
	forgetTime          mutation = "the highest time is not restored"
	notRunByRelease     mutation = "not-run is reported after a release"
	notRunUnconfirmed   mutation = "not-run is reported without confirmation by the owner"
	ignoreEntry         mutation = "a claim ignores that the key has begun"
	skipMAC             mutation = "keys are accepted without a valid MAC"
	skipFingerprint     mutation = "the fingerprint is not compared"
)

// dispatchMutations contains the mutations that can cause a second dispatch or a false not-run report.
var dispatchMutations = []mutation{
	acknowledgeUnsynced, reportUnsynced, ignoreFence, keepIdentity,
	forgetTime, notRunByRelease, notRunUnconfirmed, ignoreEntry,
}

const (
	testLifetime  = time.Minute
	testRetention = 10 * time.Second
	testBody      = "body"
)

var testLimits = Limits{RetentionAfterExpiry: testRetention, ClaimLifetime: 40 * time.Second, StoredResponseBytes: 100}

// disk contains the state that survives a crash.
type disk struct {
	identity Identity
	snapshot []byte
	records  [][]byte
}

// keyState records the dispatches and reports of one key.
type keyState struct {
	key            Key
	dispatches     int
	reportedNotRun bool
}

// attemptState is the progress of an attempt.
type attemptState int

const (
	claiming attemptState = iota // the claim was sent to the owner
	claimed
	beginning
	running
	cancelling // OutcomeNotRun was sent to the owner
	done
)

// attempt is the handling of one request by an instance.
type attempt struct {
	key    *keyState
	holder string
	fence  Fence
	state  attemptState
}

// message is a request from an attempt to the owner.
type message struct {
	from    *attempt
	request any
}

// reply is the owner's reply to a message.
type reply struct {
	to      *attempt
	request any
	grant   Grant
	status  Status
	err     error
}

// simulation simulates an owner with its disk, attempts on instances, and a network that delays, repeats and
// loses messages.
type simulation struct {
	mutation        mutation
	limits          Limits
	ledger          *Ledger
	disk            disk
	clock           time.Time
	unsyncedRecords [][]byte // records returned by the ledger and not synced
	unsyncedReplies []reply  // replies that are sent after the next sync
	keys            []*keyState
	attempts        []*attempt
	messages        []message
	replies         []reply
	random          uint64
	violation       error // first violated rule
}

func newSimulation(m mutation) *simulation {
	sim := &simulation{mutation: m, limits: testLimits, clock: time.UnixMilli(1_800_000_000_000)}
	sim.replaceDisk()
	sim.start()
	return sim
}

// Read fills p with deterministic pseudo-random bytes. It implements io.Reader.
func (sim *simulation) Read(p []byte) (int, error) {
	for i := range p {
		sim.random = sim.random*6364136223846793005 + 1442695040888963407
		p[i] = byte(sim.random >> 56)
	}
	return len(p), nil
}

// replaceDisk replaces the disk with an empty one and a new identity.
func (sim *simulation) replaceDisk() {
	identity := Identity{Secret: make([]byte, MinSecretBytes)}
	var number [8]byte
	_, _ = sim.Read(identity.Secret)
	_, _ = sim.Read(number[:])
	identity.Incarnation = binary.BigEndian.Uint64(number[:]) | 1
	if sim.mutation == keepIdentity && sim.disk.identity.Incarnation != 0 {
		identity = sim.disk.identity
	}
	sim.disk = disk{identity: identity}
}

// check records the first error as the violation.
func (sim *simulation) check(err error) {
	if err != nil && sim.violation == nil {
		sim.violation = err
	}
}

// start restarts the owner from its disk.
func (sim *simulation) start() {
	l, err := New("owner", sim.limits)
	sim.check(err)
	if sim.disk.snapshot != nil {
		sim.check(l.Restore(sim.disk.snapshot))
	}
	for _, data := range sim.disk.records {
		sim.check(l.Replay(data))
	}
	if sim.mutation == forgetTime {
		l.highestTime, l.timeWritten, l.timeCommitted = 0, 0, 0
	}
	sim.disk.identity.Epoch++
	data, err := l.Start(sim.clock, sim.disk.identity)
	sim.check(err)
	sim.ledger, sim.unsyncedRecords, sim.unsyncedReplies = l, nil, nil
	sim.write(data)
	sim.sync()
}

// write appends a record to the journal without a sync.
func (sim *simulation) write(data []byte) {
	if data != nil {
		sim.unsyncedRecords = append(sim.unsyncedRecords, data)
	}
}

// sync writes all records to the disk and releases the replies that depend on them.
func (sim *simulation) sync() {
	sim.disk.records = append(sim.disk.records, sim.unsyncedRecords...)
	sim.unsyncedRecords = nil
	sim.ledger.Commit()
	sim.replies = append(sim.replies, sim.unsyncedReplies...)
	sim.unsyncedReplies = nil
}

// crash restarts the owner. The given number of unsynced records has reached the disk.
func (sim *simulation) crash(persisted int) {
	sim.disk.records = append(sim.disk.records, sim.unsyncedRecords[:min(persisted, len(sim.unsyncedRecords))]...)
	sim.start()
}

// compact replaces the records on the disk with a snapshot.
func (sim *simulation) compact() {
	sim.sync()
	data, err := sim.ledger.Snapshot()
	sim.check(err)
	sim.disk.snapshot, sim.disk.records = data, nil
}

func (sim *simulation) mint(workspace string) *keyState {
	keys, err := sim.ledger.Mint(sim.clock, MintRequest{Workspace: workspace, Count: 1, Lifetime: testLifetime}, sim)
	sim.check(err)
	k := &keyState{key: keys[0]}
	sim.keys = append(sim.keys, k)
	return k
}

// attempt starts an attempt by sending a claim.
func (sim *simulation) attempt(k *keyState, holder string) *attempt {
	a := &attempt{key: k, holder: holder}
	sim.attempts = append(sim.attempts, a)
	sim.send(a, ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: NewFingerprint([]byte(testBody)), Holder: holder})
	return a
}

// maxInFlight is the maximum number of messages in flight; the oldest message above it is lost.
const maxInFlight = 6

func (sim *simulation) send(a *attempt, request any) {
	if len(sim.messages) == maxInFlight {
		sim.messages = sim.messages[1:]
	}
	sim.messages = append(sim.messages, message{from: a, request: request})
}

func (sim *simulation) begin(a *attempt) {
	a.state = beginning
	sim.send(a, BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Engine: "e", RequestID: "r"})
}

// cancel ends an attempt before the first byte is sent and requests the owner's confirmation for reporting
// not-run.
func (sim *simulation) cancel(a *attempt) {
	a.state = cancelling
	if sim.mutation == notRunUnconfirmed {
		a.state = done
		sim.reportNotRun(a.key)
		return
	}
	if sim.mutation == notRunByRelease {
		sim.send(a, ReleaseRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder})
		return
	}
	sim.complete(a, OutcomeNotRun)
}

func (sim *simulation) complete(a *attempt, o Outcome) {
	r := CompleteRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Outcome: o}
	if o == OutcomeAnswered {
		r.Response = &Response{Status: 200, Body: make([]byte, 30)}
	}
	sim.send(a, r)
}

// deliver passes a message to the owner. Replies that depend on a record are held until the sync.
func (sim *simulation) deliver(m message) {
	r := reply{to: m.from, request: m.request}
	var data []byte
	needsSync := true
	switch request := m.request.(type) {
	case ClaimRequest:
		sim.applyMutation(&request)
		r.grant, data, r.err = sim.ledger.Claim(sim.clock, request)
		needsSync = data != nil
	case LookupRequest:
		r.status, data, r.err = sim.ledger.Lookup(sim.clock, request)
		needsSync = data != nil
	case BeginRequest:
		request.Fence = sim.currentFence(request.Key, request.Fence, request.Holder)
		data, r.err = sim.ledger.Begin(sim.clock, request)
	case ReleaseRequest:
		r.err = sim.ledger.Release(sim.clock, request)
	case CompleteRequest:
		request.Fence = sim.currentFence(request.Key, request.Fence, request.Holder)
		data, r.err = sim.ledger.Complete(sim.clock, request)
	}
	sim.write(data)
	if sim.mutation == reportUnsynced {
		sim.ledger.recordsCommitted = sim.ledger.recordsWritten
	}
	if needsSync && sim.mutation != acknowledgeUnsynced {
		sim.unsyncedReplies = append(sim.unsyncedReplies, r)
		return
	}
	sim.replies = append(sim.replies, r)
}

// applyMutation disables a check of Claim by modifying the claim or the ledger.
func (sim *simulation) applyMutation(r *ClaimRequest) {
	parts, err := r.Key.Parse()
	if err != nil {
		return
	}
	switch e := sim.ledger.keys[parts.ID]; {
	case sim.mutation == skipMAC:
		parts.Workspace = r.Workspace
		r.Key = parts.encode(sim.ledger.signer)
	case sim.mutation == ignoreEntry:
		sim.ledger.removeEntry(parts.ID)
	case sim.mutation == skipFingerprint && e != nil:
		r.Fingerprint = e.fingerprint
	}
}

// currentFence returns fence, or with the mutation ignoreFence the fence that the ledger accepts.
func (sim *simulation) currentFence(key Key, fence Fence, holder string) Fence {
	parts, _ := key.Parse()
	c, found := sim.ledger.claims[parts.ID]
	if sim.mutation != ignoreFence || !found {
		return fence
	}
	c.holder = uniqueName(holder)
	sim.ledger.claims[parts.ID] = c
	return Fence{Epoch: sim.ledger.epoch, Generation: c.generation}
}

// receive passes a reply to its attempt, which ignores replies that it does not wait for.
func (sim *simulation) receive(r reply) {
	a := r.to
	switch request := r.request.(type) {
	case ClaimRequest:
		if a.state == claiming && r.err == nil {
			a.state = done
			if r.grant.Granted {
				a.state, a.fence = claimed, r.grant.Fence
			}
			sim.handleStatus(a.key, r.grant.Status)
		}
	case LookupRequest:
		sim.handleStatus(a.key, r.status)
	case BeginRequest:
		if a.state == beginning && r.err == nil && request.Fence == a.fence {
			a.state = running
			sim.dispatch(a.key)
		}
	case ReleaseRequest:
		if a.state == cancelling && r.err == nil {
			a.state = done
			sim.reportNotRun(a.key)
		}
	case CompleteRequest:
		if r.err == nil && request.Outcome == OutcomeNotRun {
			a.state = done
			sim.reportNotRun(a.key)
		}
	}
}

// handleStatus reports not-run if the owner returned it as the outcome.
func (sim *simulation) handleStatus(k *keyState, s Status) {
	if s.State == StateFinished && s.Outcome == OutcomeNotRun {
		sim.reportNotRun(k)
	}
}

var (
	errDispatchedTwice       = errors.New("a key was dispatched twice")
	errDispatchedAfterNotRun = errors.New("a key was dispatched although not-run was reported")
	errNotRunAfterDispatch   = errors.New("not-run was reported although the key was dispatched")
)

// dispatch sends the request of a key to an engine.
func (sim *simulation) dispatch(k *keyState) {
	k.dispatches++
	if k.dispatches > 1 {
		sim.check(errDispatchedTwice)
	}
	if k.reportedNotRun {
		sim.check(errDispatchedAfterNotRun)
	}
}

// reportNotRun reports not-run to the caller.
func (sim *simulation) reportNotRun(k *keyState) {
	k.reportedNotRun = true
	if k.dispatches > 0 {
		sim.check(errNotRunAfterDispatch)
	}
}

// deliverSynced delivers all messages and replies in order, with a sync after each message, until none are
// left.
func (sim *simulation) deliverSynced() {
	for len(sim.messages)+len(sim.replies) > 0 {
		messages, replies := sim.messages, sim.replies
		sim.messages, sim.replies = nil, nil
		for _, m := range messages {
			sim.deliver(m)
			sim.sync()
		}
		for _, r := range replies {
			sim.receive(r)
		}
	}
}

// actionWeights contains the relative frequencies of the actions in one run. Different weights per run reach
// states that fixed weights rarely reach: some runs hardly ever sync, and in others many keys expire.
type actionWeights [10]int

func newActionWeights(choose func(int) int) actionWeights {
	weights := actionWeights{choose(2), 2, 8, 8, 6} // mint, attempt, deliver, receive, advance
	for i := 5; i < len(weights); i++ {
		weights[i] = choose(3)
	}
	weights[9] = choose(8) // sync
	return weights
}

// runAction runs one action. choose returns a number below its argument.
func (sim *simulation) runAction(weights actionWeights, choose func(int) int) {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	action, n := 0, choose(total)
	for n >= weights[action] {
		n -= weights[action]
		action++
	}
	switch action {
	case 0:
		sim.mint("w")
	case 1:
		newest := len(sim.keys) - 1
		sim.attempt(sim.keys[newest-choose(min(2, len(sim.keys)))], fmt.Sprint("i", choose(2)))
	case 2:
		sim.deliverAny(choose)
	case 3:
		sim.receiveAny(choose)
	case 4:
		sim.advanceAttempt(choose)
	case 5:
		sim.deliverSynced()
	case 6:
		sim.clock = sim.clock.Add(time.Duration(1+choose(60)) * time.Second)
		sim.ledger.Tick(sim.clock)
	case 7:
		sim.compact()
	case 8:
		sim.restart(choose)
	case 9:
		sim.sync()
	}
	sim.checkCounts()
}

// checkCounts checks the usage per workspace, on which the limits are based, against the stored claims and
// entries.
func (sim *simulation) checkCounts() {
	keys, responseBytes := 0, 0
	for _, usage := range sim.ledger.workspaces {
		keys += usage.keys
		responseBytes += usage.storedResponseBytes
	}
	if keys != len(sim.ledger.claims)+len(sim.ledger.keys) || responseBytes != sim.ledger.storedResponseBytes {
		sim.check(fmt.Errorf("%d keys and %d bytes counted, %+v stored", keys, responseBytes, sim.ledger.Stats()))
	}
}

// deliverAny delivers one message, which may stay in flight and be delivered again.
func (sim *simulation) deliverAny(choose func(int) int) {
	if len(sim.messages) == 0 {
		return
	}
	i := choose(len(sim.messages))
	m := sim.messages[i]
	if choose(4) > 0 { // Otherwise the message stays in flight.
		sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
	}
	sim.deliver(m)
}

// receiveAny delivers one recent reply.
func (sim *simulation) receiveAny(choose func(int) int) {
	if len(sim.replies) == 0 {
		return
	}
	i := len(sim.replies) - 1 - choose(min(maxInFlight, len(sim.replies)))
	r := sim.replies[i]
	sim.replies = append(sim.replies[:i:i], sim.replies[i+1:]...)
	sim.receive(r)
}

// advanceAttempt runs the next step of one recent attempt.
func (sim *simulation) advanceAttempt(choose func(int) int) {
	if len(sim.attempts) == 0 {
		return
	}
	recent := min(6, len(sim.attempts))
	a := sim.attempts[len(sim.attempts)-1-choose(recent)]
	switch a.state {
	case claimed:
		if choose(3) > 0 {
			sim.begin(a)
			return
		}
		sim.cancel(a)
	case beginning:
		if choose(4) == 0 {
			sim.cancel(a)
		}
	case running:
		a.state = done
		sim.complete(a, []Outcome{OutcomeAnswered, OutcomeUndetermined}[choose(2)])
	case done:
		if choose(4) == 0 {
			sim.send(a, LookupRequest{Key: a.key.key, Workspace: "w"})
		}
	}
}

// restart crashes the owner, and may also set the clock back or replace the disk.
func (sim *simulation) restart(choose func(int) int) {
	if choose(3) == 0 {
		sim.clock = sim.clock.Add(-time.Duration(choose(240)) * time.Second)
	}
	if choose(12) == 0 {
		sim.replaceDisk()
		sim.start()
		return
	}
	sim.crash(choose(3))
}

// sameState reports whether two ledgers have the same snapshot.
func sameState(a, b *Ledger) bool {
	x, errX := a.Snapshot()
	y, errY := b.Snapshot()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
