package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// beginNewKey mints, claims and begins a key.
func beginNewKey(sim *simulation) *attempt {
	a := sim.claim(sim.mint("w"), "a")
	sim.beginAndDeliver(a)
	return a
}

func (sim *simulation) lookup(k *keyState) Status {
	s, data, err := sim.ledger.Lookup(sim.clock, LookupRequest{Key: k.key, Workspace: "w"})
	sim.check(err)
	sim.write(data)
	return s
}

// completeWith completes a key as answered, with the request modified by change, and syncs.
func (sim *simulation) completeWith(a *attempt, change func(*CompleteRequest)) error {
	r := CompleteRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Outcome: OutcomeAnswered}
	change(&r)
	data, err := sim.ledger.Complete(sim.clock, r)
	sim.write(data)
	sim.sync()
	return err
}

func withOutcome(o Outcome) func(*CompleteRequest) {
	return func(r *CompleteRequest) { r.Outcome = o }
}

// TestOutcomesAreFinal guards against an outcome that changes after it was reported, and against one that is
// lost in a restart.
func TestOutcomesAreFinal(t *testing.T) {
	for _, first := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUndetermined} {
		for _, second := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUndetermined} {
			t.Run(fmt.Sprint(first, " then ", second), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(noMutation)
				a := beginNewKey(sim)
				sim.crash(0) // the owner must accept an outcome from the holder also after a restart
				is.NoErr(sim.completeWith(a, withOutcome(first)))
				err := sim.completeWith(a, withOutcome(second))
				want := first
				switch {
				case first == second:
					is.NoErr(err)
				case first == OutcomeUndetermined && second == OutcomeAnswered:
					is.NoErr(err)
					want = OutcomeAnswered
				default:
					var finished *FinishedError
					is.True(errors.As(err, &finished))
				}
				sim.crash(0)
				sim.compact()
				sim.crash(0)
				is.Equal(sim.lookup(a.key).Outcome, want)
				is.NoErr(sim.violation)
			})
		}
	}
}

// TestCompleteRequiresFenceOrRequestID guards against outcomes reported by instances that cannot know them.
func TestCompleteRequiresFenceOrRequestID(t *testing.T) {
	rejected := map[string]func(*CompleteRequest){
		"other fence":             func(r *CompleteRequest) { r.Fence.Generation++ },
		"other holder":            func(r *CompleteRequest) { r.Holder = "b" },
		"no fence":                func(r *CompleteRequest) { r.Fence = Fence{} },
		"resumed, not-run":        func(r *CompleteRequest) { r.Fence, r.RequestID, r.Outcome = Fence{}, "r", OutcomeNotRun },
		"resumed, other request":  func(r *CompleteRequest) { r.Fence, r.RequestID = Fence{}, "s" },
		"resumed, undetermined":   func(r *CompleteRequest) { r.Fence, r.RequestID, r.Outcome = Fence{}, "r", OutcomeUndetermined },
		"other fence, request ID": func(r *CompleteRequest) { r.Fence.Epoch++; r.RequestID = "r" },
	}
	for name, change := range rejected {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(noMutation)
			a := beginNewKey(sim)
			var stale *StaleError
			is.True(errors.As(sim.completeWith(a, change), &stale))
			is.Equal(sim.lookup(a.key).State, StateInProgress)
		})
	}
	t.Run("resumed, answered", func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(noMutation)
		a := beginNewKey(sim)
		is.NoErr(sim.completeWith(a, func(r *CompleteRequest) { r.Fence, r.Holder, r.RequestID = Fence{}, "b", "r" }))
		is.Equal(sim.lookup(a.key).Outcome, OutcomeAnswered)
	})
	t.Run("answered before begin", func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(noMutation)
		a := sim.claim(sim.mint("w"), "a")
		var stale *StaleError
		is.True(errors.As(sim.completeWith(a, withOutcome(OutcomeAnswered)), &stale))
	})
}

// TestRepeatedBegin guards against the rejection of a repeated begin message, with which a lost reply could
// not be retried, and against the acceptance of a begin with other content or after the outcome.
func TestRepeatedBegin(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	a := beginNewKey(sim)
	r := BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: "a", Engine: "e", RequestID: "r"}
	data, err := sim.ledger.Begin(sim.clock, r)
	is.NoErr(err)
	is.Equal(len(data), 0)
	other := r
	other.Engine = "f"
	var stale *StaleError
	_, err = sim.ledger.Begin(sim.clock, other)
	is.True(errors.As(err, &stale))
	is.NoErr(sim.completeWith(a, withOutcome(OutcomeNotRun)))
	_, err = sim.ledger.Begin(sim.clock, r)
	is.True(errors.As(err, &stale))
}

// TestEveryPartOfTheFenceIsCompared guards against a part of the fence that is not compared. A begin, release
// or outcome with an older generation or epoch of the same instance, or from another instance that knows the
// fence, must have no effect.
func TestEveryPartOfTheFenceIsCompared(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	k := sim.mint("w")
	sim.claim(k, "a")
	sim.crash(0)
	old, current := sim.claim(k, "a"), sim.claim(k, "a")
	for name, change := range map[string]func(*attempt){
		"generation": func(a *attempt) { a.fence = old.fence },
		"epoch":      func(a *attempt) { a.fence.Epoch-- },
		"holder":     func(a *attempt) { a.holder = "b" },
	} {
		wrong := *current
		change(&wrong)
		var stale *StaleError
		_, err := sim.ledger.Begin(sim.clock, BeginRequest{
			Key: k.key, Workspace: "w", Fence: wrong.fence, Holder: wrong.holder, Engine: "e", RequestID: "r",
		})
		is.True(errors.As(err, &stale)) // begin
		err = sim.ledger.Release(sim.clock, ReleaseRequest{Key: k.key, Workspace: "w", Fence: wrong.fence, Holder: wrong.holder})
		is.True(errors.As(err, &stale)) // release
		is.True(errors.As(sim.completeWith(&wrong, withOutcome(OutcomeNotRun)), &stale))
		if t.Failed() {
			t.Fatal(name)
		}
	}
	sim.beginAndDeliver(current)
	is.Equal(current.state, running)
}

// TestBeginAfterExpiry guards against a begin that is accepted after the key has expired.
func TestBeginAfterExpiry(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	a := sim.claim(sim.mint("w"), "a")
	sim.clock = sim.clock.Add(testLifetime)
	r := BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: "a", Engine: "e", RequestID: "r"}
	data, err := sim.ledger.Begin(sim.clock, r)
	var expired *ExpiredError
	is.True(errors.As(err, &expired))
	is.True(len(data) > 0) // the time must be synced before the error is returned
	sim.write(data)
	sim.sync()
	data, err = sim.ledger.Begin(sim.clock, r)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(len(data), 0)
}

// TestReleaseFreesTheKey guards against a begin under a released claim, and against a key that cannot be
// claimed after a release.
func TestReleaseFreesTheKey(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	k := sim.mint("w")
	a := sim.claim(k, "a")
	release := ReleaseRequest{Key: k.key, Workspace: "w", Fence: a.fence, Holder: "a"}
	is.NoErr(sim.ledger.Release(sim.clock, release))
	is.Equal(sim.lookup(k).State, StateUnused)
	is.Equal(sim.ledger.Stats().Workspaces, 0)
	sim.beginAndDeliver(a)
	is.True(a.state != running)
	b := sim.claim(k, "b")
	var stale *StaleError
	is.True(errors.As(sim.ledger.Release(sim.clock, release), &stale)) // a repeated message must not release b's claim
	sim.beginAndDeliver(b)
	is.Equal(b.state, running)
}

// TestFailedJournal guards against a ledger that, after a failure of its journal, still accepts begins,
// reports unsynced outcomes or does not report synced outcomes.
func TestFailedJournal(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	known, waiting, pending := beginNewKey(sim), sim.claim(sim.mint("w"), "a"), beginNewKey(sim)
	unused := sim.mint("w")
	is.NoErr(sim.completeWith(known, withOutcome(OutcomeAnswered)))
	_, err := sim.ledger.Complete(sim.clock, CompleteRequest{
		Key: pending.key.key, Workspace: "w", Fence: pending.fence, Holder: "a", Outcome: OutcomeNotRun,
	})
	is.NoErr(err)
	sim.ledger.Fail(errors.New("disk"))
	var unavailable *UnavailableError
	_, err = sim.ledger.Begin(sim.clock, BeginRequest{
		Key: waiting.key.key, Workspace: "w", Fence: waiting.fence, Holder: "a", Engine: "e", RequestID: "r",
	})
	is.True(errors.As(err, &unavailable))
	is.True(errors.As(sim.completeWith(known, withOutcome(OutcomeAnswered)), &unavailable))
	_, _, err = sim.ledger.Claim(sim.clock, ClaimRequest{Key: unused.key, Workspace: "w", Holder: "a"})
	is.True(errors.As(err, &unavailable))
	_, err = sim.ledger.Mint(sim.clock, MintRequest{Workspace: "w", Count: 1, Lifetime: time.Minute}, sim)
	is.True(errors.As(err, &unavailable))
	sim.ledger.recordsCommitted = 0
	sim.ledger.recordsCommitted = sim.ledger.keys[mustID(known.key.key)].recordNumber
	is.Equal(sim.lookup(known.key).Outcome, OutcomeAnswered)
	is.Equal(sim.lookup(pending.key), Status{State: StateUndetermined, Holder: "a", Engine: "e", RequestID: "r"})
	sim.clock = sim.clock.Add(2 * testLifetime)
	_, _, err = sim.ledger.Lookup(sim.clock, LookupRequest{Key: unused.key, Workspace: "w"})
	is.True(errors.As(err, &unavailable)) // the expiry cannot be written to the journal
}

func mustID(k Key) ID {
	parts, err := k.Parse()
	if err != nil {
		panic(err)
	}
	return parts.ID
}

// TestStoredResponsesAreBounded guards against stored responses that exceed the limit of one response, of a
// workspace or of the owner, against an outcome that is lost when its response is evicted, and against
// inaccurate counts.
func TestStoredResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	sim.limits.ResponseBytes = 100
	sim.limits.StoredResponseBytes = 600
	sim.start()
	withBody := func(n int) func(*CompleteRequest) {
		return func(r *CompleteRequest) {
			r.Response = &Response{Status: 200, Header: []HeaderField{{"A", "b"}}, Body: bytes.Repeat([]byte("x"), n)}
		}
	}
	long := beginNewKey(sim)
	is.NoErr(sim.completeWith(long, withBody(99)))
	is.Equal(sim.lookup(long.key).Response, &Response{Status: 200, Omitted: true})
	var all []*attempt
	for range 9 {
		a := beginNewKey(sim)
		is.NoErr(sim.completeWith(a, withBody(98)))
		all = append(all, a)
	}
	is.Equal(sim.ledger.Stats().CopyBytes, 300) // one workspace may use at most half of the limit
	for i, a := range all {
		s := sim.lookup(a.key)
		is.Equal(s.Outcome, OutcomeAnswered)
		is.Equal(s.Response.Omitted, i < 6) // only the newest responses are kept
	}
	sim.compact()
	sim.crash(0)
	is.Equal(sim.ledger.Stats().CopyBytes, 300)
	sim.clock = sim.clock.Add(testLifetime + testRetention + 2*time.Minute)
	sim.ledger.Tick(sim.clock)
	is.Equal(sim.ledger.Stats().CopyBytes, 0)
	is.Equal(sim.ledger.Stats().Keys+sim.ledger.Stats().Workspaces, 0)
	is.Equal(len(sim.ledger.removals), 0)
}

// TestOneWorkspaceCannotUseAllKeys guards against a workspace that uses all keys, so that other workspaces
// get none.
func TestOneWorkspaceCannotUseAllKeys(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	sim.ledger.limits.Keys = 100
	sim.ledger.limits.KeysPerWorkspace = 60
	fill := func(workspace string) int {
		for n := 0; ; n++ {
			k := sim.mint(workspace)
			_, _, err := sim.ledger.Claim(sim.clock, ClaimRequest{Key: k.key, Workspace: workspace, Holder: "a"})
			if err != nil {
				var limit *LimitError
				is.True(errors.As(err, &limit))
				return n
			}
		}
	}
	is.Equal([]int{fill("a"), fill("b"), fill("c"), fill("d")}, []int{50, 25, 13, 6})
	sim.ledger.limits.KeysPerWorkspace = 3
	is.Equal(fill("e"), 3)
	sim.clock = sim.clock.Add(testLimits.ClaimLifetime + time.Minute)
	sim.ledger.Tick(sim.clock)
	is.Equal(sim.ledger.Stats().Claims, 0) // unused claims are removed after their lifetime
}

// TestRestoreGivesTheSameState guards against a state that differs after a replay or a restore, and against
// the acceptance of a truncated snapshot.
func TestRestoreGivesTheSameState(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	for i := range 20 {
		a := beginNewKey(sim)
		if i%3 > 0 {
			is.NoErr(sim.completeWith(a, func(r *CompleteRequest) {
				r.Response = &Response{Status: 200 + i, Body: []byte("answer")}
			}))
		}
	}
	a := sim.claim(sim.mint("w"), "a")
	sim.cancel(a)
	sim.deliverSynced()
	before := sim.ledger
	replayed, err := New("owner", testLimits)
	is.NoErr(err)
	for _, data := range sim.disk.records {
		is.NoErr(replayed.Replay(data))
	}
	replayed.incarnation, replayed.epoch = replayed.StoredIdentity()
	is.True(sameState(before, replayed))
	data, err := before.Snapshot()
	is.NoErr(err)
	restored, err := New("owner", testLimits)
	is.NoErr(err)
	is.NoErr(restored.Restore(data))
	restored.incarnation, restored.epoch = restored.StoredIdentity()
	is.True(sameState(before, restored))
	for cut := range data {
		partial, err := New("owner", testLimits)
		is.NoErr(err)
		var unreadable *RecordError
		is.True(errors.As(partial.Restore(data[:cut]), &unreadable))
	}
}

// TestViewDoesNotChange guards against a snapshot that mixes states of different times because it is encoded
// while the ledger is in use.
func TestViewDoesNotChange(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	sim.ledger.limits.StoredResponseBytes = 50
	withBody := func(r *CompleteRequest) { r.Response = &Response{Status: 200, Body: make([]byte, 20)} }
	first, second := beginNewKey(sim), beginNewKey(sim)
	is.NoErr(sim.completeWith(first, withBody))
	want, err := sim.ledger.Snapshot()
	is.NoErr(err)
	view := sim.ledger.View()
	is.NoErr(sim.completeWith(second, withBody))
	is.True(sim.lookup(first.key).Response.Omitted) // its response was evicted
	sim.clock = sim.clock.Add(time.Hour)
	sim.ledger.Tick(sim.clock)
	got, err := view.Encode()
	is.NoErr(err)
	is.Equal(got, want)
}

// TestUnknownVersionsAreRejected guards against records of a later version that are skipped or misread.
func TestUnknownVersionsAreRejected(t *testing.T) {
	is := is.New(t)
	l, err := New("owner", testLimits)
	is.NoErr(err)
	var unreadable *RecordError
	data, err := encoder.Marshal(map[int]any{1: 2, 99: "later"})
	is.NoErr(err)
	is.True(errors.As(l.Replay(data), &unreadable))
	is.Equal(unreadable.Version, uint64(2))
	is.True(errors.As(l.Restore(data), &unreadable))
	data, err = encoder.Marshal(map[int]any{1: 1, 2: 5, 99: "unknown field"})
	is.NoErr(err)
	is.True(errors.As(l.Replay(data), &unreadable))
}

// TestStartRequiresNewEpoch guards against a repeated epoch, with which claims of an earlier process would be
// valid again.
func TestStartRequiresNewEpoch(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	sim.crash(0)
	data, err := sim.ledger.Snapshot()
	is.NoErr(err)
	l, err := New("owner", testLimits)
	is.NoErr(err)
	is.NoErr(l.Restore(data))
	_, err = l.Start(sim.clock, sim.disk.identity)
	var invalid *InvalidRequestError
	is.True(errors.As(err, &invalid))
}
