package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// variant removes one guard, to show that the checks notice it.
type variant string

const (
	intact              variant = ""
	acknowledgeUnsynced variant = "a begin is acknowledged before its record is synced"
	tellUnsynced        variant = "outcomes are told before their record is synced"
	ignoreFence         variant = "begin and complete are accepted under any fence"
	keepIdentity        variant = "the identity survives the loss of the journal"
	forgetTime          variant = "the highest time is not restored"
	notRunByRelease     variant = "not-run is told after a release"
	notRunUnasked       variant = "not-run is told without asking the owner"
	forgetBegun         variant = "a claim overlooks that the key has begun"
	skipMAC             variant = "keys are accepted without a valid MAC"
	skipFingerprint     variant = "the fingerprint is not compared"
)

// dispatchVariants can lead to a second dispatch or a broken promise.
var dispatchVariants = []variant{acknowledgeUnsynced, tellUnsynced, ignoreFence, keepIdentity,
	forgetTime, notRunByRelease,
	notRunUnasked, forgetBegun}

const (
	testLifetime = time.Minute
	testLinger   = 10 * time.Second
	testBody     = "body"
)

var testLimits = Limits{RetentionAfterExpiry: testLinger, ClaimLifetime: 40 * time.Second, StoredResponseBytes: 100}

// disk holds what survives a crash.
type disk struct {
	identity Identity
	snapshot []byte
	records  [][]byte
}

type keyState struct {
	key        Key
	dispatches int
	toldNotRun bool
}

type step int

const (
	waiting step = iota // the claim is on its way
	claimed
	beginning
	running
	abandoning // not-run is on its way to the owner
	done
)

// attempt is one request handler on an instance.
type attempt struct {
	key    *keyState
	holder string
	fence  Fence
	step   step
}

type message struct {
	from    *attempt
	request any
}

type reply struct {
	to      *attempt
	request any
	grant   Grant
	status  Status
	err     error
}

// world is an owner with its disk, attempts on instances and a network that delays and repeats messages.
type world struct {
	variant  variant
	limits   Limits
	ledger   *Ledger
	disk     disk
	clock    time.Time
	pending  [][]byte // returned and not synced
	held     []reply  // wait for the sync
	keys     []*keyState
	attempts []*attempt
	messages []message
	replies  []reply
	random   uint64
	fault    error // first violation
}

func newWorld(v variant) *world {
	w := &world{variant: v, limits: testLimits, clock: time.UnixMilli(1_800_000_000_000)}
	w.replaceDisk()
	w.start()
	return w
}

func (w *world) Read(p []byte) (int, error) {
	for i := range p {
		w.random = w.random*6364136223846793005 + 1442695040888963407
		p[i] = byte(w.random >> 56)
	}
	return len(p), nil
}

func (w *world) replaceDisk() {
	identity := Identity{Secret: make([]byte, MinSecretBytes)}
	var number [8]byte
	_, _ = w.Read(identity.Secret)
	_, _ = w.Read(number[:])
	identity.Incarnation = binary.BigEndian.Uint64(number[:]) | 1
	if w.variant == keepIdentity && w.disk.identity.Incarnation != 0 {
		identity = w.disk.identity
	}
	w.disk = disk{identity: identity}
}

func (w *world) check(err error) {
	if err != nil && w.fault == nil {
		w.fault = err
	}
}

// start restarts the owner from its disk.
func (w *world) start() {
	l, err := New("owner", w.limits)
	w.check(err)
	if w.disk.snapshot != nil {
		w.check(l.Restore(w.disk.snapshot))
	}
	for _, data := range w.disk.records {
		w.check(l.Replay(data))
	}
	if w.variant == forgetTime {
		l.highestTime, l.timeWritten, l.timeCommitted = 0, 0, 0
	}
	w.disk.identity.Epoch++
	data, err := l.Start(w.clock, w.disk.identity)
	w.check(err)
	w.ledger, w.pending, w.held = l, nil, nil
	w.write(data)
	w.sync()
}

func (w *world) write(data []byte) {
	if data != nil {
		w.pending = append(w.pending, data)
	}
}

func (w *world) sync() {
	w.disk.records = append(w.disk.records, w.pending...)
	w.pending = nil
	w.ledger.Commit()
	w.replies = append(w.replies, w.held...)
	w.held = nil
}

// crash restarts the owner; some unsynced records may have reached the disk.
func (w *world) crash(survivors int) {
	w.disk.records = append(w.disk.records, w.pending[:min(survivors, len(w.pending))]...)
	w.start()
}

func (w *world) compact() {
	w.sync()
	data, err := w.ledger.Snapshot()
	w.check(err)
	w.disk.snapshot, w.disk.records = data, nil
}

func (w *world) mint(workspace string) *keyState {
	keys, err := w.ledger.Mint(w.clock, MintRequest{Workspace: workspace, Count: 1, Lifetime: testLifetime}, w)
	w.check(err)
	k := &keyState{key: keys[0]}
	w.keys = append(w.keys, k)
	return k
}

func (w *world) attempt(k *keyState, holder string) *attempt {
	a := &attempt{key: k, holder: holder}
	w.attempts = append(w.attempts, a)
	w.send(a, ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: NewFingerprint([]byte(testBody)), Holder: holder})
	return a
}

// maxInFlight bounds the messages under way; older ones are lost.
const maxInFlight = 6

func (w *world) send(a *attempt, request any) {
	if len(w.messages) == maxInFlight {
		w.messages = w.messages[1:]
	}
	w.messages = append(w.messages, message{from: a, request: request})
}

func (w *world) begin(a *attempt) {
	a.step = beginning
	w.send(a, BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Engine: "e", RequestID: "r"})
}

// abandon gives up before the first byte and asks the owner for the right to tell not-run.
func (w *world) abandon(a *attempt) {
	a.step = abandoning
	if w.variant == notRunUnasked {
		a.step = done
		w.tellNotRun(a.key)
		return
	}
	if w.variant == notRunByRelease {
		w.send(a, ReleaseRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder})
		return
	}
	w.complete(a, OutcomeNotRun)
}

func (w *world) complete(a *attempt, o Outcome) {
	r := CompleteRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Outcome: o}
	if o == OutcomeAnswered {
		r.Response = &Response{Status: 200, Body: make([]byte, 30)}
	}
	w.send(a, r)
}

// deliver hands a message to the owner. Answers that depend on a record wait for the sync.
func (w *world) deliver(m message) {
	r := reply{to: m.from, request: m.request}
	var data []byte
	waits := true
	switch request := m.request.(type) {
	case ClaimRequest:
		w.weaken(&request)
		r.grant, data, r.err = w.ledger.Claim(w.clock, request)
		waits = data != nil
	case LookupRequest:
		r.status, data, r.err = w.ledger.Lookup(w.clock, request)
		waits = data != nil
	case BeginRequest:
		request.Fence = w.currentFence(request.Key, request.Fence, request.Holder)
		data, r.err = w.ledger.Begin(w.clock, request)
	case ReleaseRequest:
		r.err = w.ledger.Release(w.clock, request)
	case CompleteRequest:
		request.Fence = w.currentFence(request.Key, request.Fence, request.Holder)
		data, r.err = w.ledger.Complete(w.clock, request)
	}
	w.write(data)
	if w.variant == tellUnsynced {
		w.ledger.recordsCommitted = w.ledger.recordsWritten
	}
	if waits && w.variant != acknowledgeUnsynced {
		w.held = append(w.held, r)
		return
	}
	w.replies = append(w.replies, r)
}

// weaken removes a guard of Claim by changing what it looks at.
func (w *world) weaken(r *ClaimRequest) {
	parts, err := r.Key.Parse()
	if err != nil {
		return
	}
	switch e := w.ledger.keys[parts.ID]; {
	case w.variant == skipMAC:
		parts.Workspace = r.Workspace
		r.Key = parts.encode(w.ledger.signer)
	case w.variant == forgetBegun:
		w.ledger.removeEntry(parts.ID)
	case w.variant == skipFingerprint && e != nil:
		r.Fingerprint = e.fingerprint
	}
}

func (w *world) currentFence(key Key, fence Fence, holder string) Fence {
	parts, _ := key.Parse()
	c, found := w.ledger.claims[parts.ID]
	if w.variant != ignoreFence || !found {
		return fence
	}
	c.holder = uniqueName(holder)
	w.ledger.claims[parts.ID] = c
	return Fence{Epoch: w.ledger.epoch, Generation: c.generation}
}

// receive lets an attempt act on a reply that it still waits for.
func (w *world) receive(r reply) {
	a := r.to
	switch request := r.request.(type) {
	case ClaimRequest:
		if a.step == waiting && r.err == nil {
			a.step = done
			if r.grant.Granted {
				a.step, a.fence = claimed, r.grant.Fence
			}
			w.learn(a.key, r.grant.Status)
		}
	case LookupRequest:
		w.learn(a.key, r.status)
	case BeginRequest:
		if a.step == beginning && r.err == nil && request.Fence == a.fence {
			a.step = running
			w.dispatch(a.key)
		}
	case ReleaseRequest:
		if a.step == abandoning && r.err == nil {
			a.step = done
			w.tellNotRun(a.key)
		}
	case CompleteRequest:
		if r.err == nil && request.Outcome == OutcomeNotRun {
			a.step = done
			w.tellNotRun(a.key)
		}
	}
}

func (w *world) learn(k *keyState, s Status) {
	if s.State == StateFinished && s.Outcome == OutcomeNotRun {
		w.tellNotRun(k)
	}
}

var (
	errTwice       = errors.New("a key was dispatched twice")
	errAfterNotRun = errors.New("a key was dispatched although not-run was told")
	errNotRunAfter = errors.New("not-run was told although the key was dispatched")
)

func (w *world) dispatch(k *keyState) {
	k.dispatches++
	if k.dispatches > 1 {
		w.check(errTwice)
	}
	if k.toldNotRun {
		w.check(errAfterNotRun)
	}
}

func (w *world) tellNotRun(k *keyState) {
	k.toldNotRun = true
	if k.dispatches > 0 {
		w.check(errNotRunAfter)
	}
}

// settle delivers every message and reply in order, with a sync after each.
func (w *world) settle() {
	for len(w.messages)+len(w.replies) > 0 {
		messages, replies := w.messages, w.replies
		w.messages, w.replies = nil, nil
		for _, m := range messages {
			w.deliver(m)
			w.sync()
		}
		for _, r := range replies {
			w.receive(r)
		}
	}
}

// mix holds the weights of the actions in one run. Runs with different weights reach states that no single mix
// reaches often: some hardly ever sync, others live through many expiries.
type mix [10]int

func newMix(choose func(int) int) mix {
	m := mix{choose(2), 2, 8, 8, 6} // mint, attempt, deliver, receive, act
	for i := 5; i < len(m); i++ {
		m[i] = choose(3)
	}
	m[9] = choose(8) // sync
	return m
}

// act takes one action; choose returns a number below its argument.
func (w *world) act(m mix, choose func(int) int) {
	total := 0
	for _, weight := range m {
		total += weight
	}
	action, n := 0, choose(total)
	for n >= m[action] {
		n -= m[action]
		action++
	}
	switch action {
	case 0:
		w.mint("w")
	case 1:
		newest := len(w.keys) - 1
		w.attempt(w.keys[newest-choose(min(2, len(w.keys)))], fmt.Sprint("i", choose(2)))
	case 2:
		w.deliverAny(choose)
	case 3:
		w.receiveAny(choose)
	case 4:
		w.actAttempt(choose)
	case 5:
		w.settle()
	case 6:
		w.clock = w.clock.Add(time.Duration(1+choose(60)) * time.Second)
		w.ledger.Tick(w.clock)
	case 7:
		w.compact()
	case 8:
		w.restartAny(choose)
	case 9:
		w.sync()
	}
	w.checkCounts()
}

// checkCounts compares the counts per workspace, on which the limits rest, with what is stored.
func (w *world) checkCounts() {
	keys, copies := 0, 0
	for _, each := range w.ledger.workspaces {
		keys += each.keys
		copies += each.storedResponseBytes
	}
	if keys != len(w.ledger.claims)+len(w.ledger.keys) || copies != w.ledger.storedResponseBytes {
		w.check(fmt.Errorf("%d keys and %d bytes counted, %+v stored", keys, copies, w.ledger.Stats()))
	}
}

func (w *world) deliverAny(choose func(int) int) {
	if len(w.messages) == 0 {
		return
	}
	i := choose(len(w.messages))
	m := w.messages[i]
	if choose(4) > 0 { // Otherwise it is delivered again later.
		w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	}
	w.deliver(m)
}

func (w *world) receiveAny(choose func(int) int) {
	if len(w.replies) == 0 {
		return
	}
	i := len(w.replies) - 1 - choose(min(maxInFlight, len(w.replies)))
	r := w.replies[i]
	w.replies = append(w.replies[:i:i], w.replies[i+1:]...)
	w.receive(r)
}

func (w *world) actAttempt(choose func(int) int) {
	if len(w.attempts) == 0 {
		return
	}
	recent := min(6, len(w.attempts))
	a := w.attempts[len(w.attempts)-1-choose(recent)]
	switch a.step {
	case claimed:
		if choose(3) > 0 {
			w.begin(a)
			return
		}
		w.abandon(a)
	case beginning:
		if choose(4) == 0 {
			w.abandon(a)
		}
	case running:
		a.step = done
		w.complete(a, []Outcome{OutcomeAnswered, OutcomeUndetermined}[choose(2)])
	case done:
		if choose(4) == 0 {
			w.send(a, LookupRequest{Key: a.key.key, Workspace: "w"})
		}
	}
}

func (w *world) restartAny(choose func(int) int) {
	if choose(3) == 0 {
		w.clock = w.clock.Add(-time.Duration(choose(240)) * time.Second)
	}
	if choose(12) == 0 {
		w.replaceDisk()
		w.start()
		return
	}
	w.crash(choose(3))
}

// sameState tells whether two ledgers would write the same snapshot.
func sameState(a, b *Ledger) bool {
	x, errX := a.Snapshot()
	y, errY := b.Snapshot()
	return errX == nil && errY == nil && bytes.Equal(x, y)
}
