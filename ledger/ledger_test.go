package ledger

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func begun(w *world) *attempt {
	a := w.claim(w.mint("w"), "a")
	w.beginAndSettle(a)
	return a
}

func (w *world) lookup(k *keyState) Status {
	s, data, err := w.ledger.Lookup(w.clock, LookupRequest{Key: k.key, Workspace: "w"})
	w.check(err)
	w.write(data)
	return s
}

func (w *world) finish(a *attempt, change func(*CompleteRequest)) error {
	r := CompleteRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: a.holder, Outcome: OutcomeAnswered}
	change(&r)
	data, err := w.ledger.Complete(w.clock, r)
	w.write(data)
	w.sync()
	return err
}

func outcome(o Outcome) func(*CompleteRequest) {
	return func(r *CompleteRequest) { r.Outcome = o }
}

// Guards against an outcome that changes after it was told, and against one that is lost in a restart.
func TestOutcomesAreFinal(t *testing.T) {
	for _, first := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUndetermined} {
		for _, second := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUndetermined} {
			t.Run(fmt.Sprint(first, " then ", second), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(intact)
				a := begun(w)
				w.crash(0) // an outcome is accepted from the holder also after a restart of the owner
				is.NoErr(w.finish(a, outcome(first)))
				err := w.finish(a, outcome(second))
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
				w.crash(0)
				w.compact()
				w.crash(0)
				is.Equal(w.lookup(a.key).Outcome, want)
				is.NoErr(w.fault)
			})
		}
	}
}

// Guards against outcomes from instances that cannot know them.
func TestCompleteNeedsTheFenceOrTheRequestID(t *testing.T) {
	refused := map[string]func(*CompleteRequest){
		"other fence":             func(r *CompleteRequest) { r.Fence.Generation++ },
		"other holder":            func(r *CompleteRequest) { r.Holder = "b" },
		"no fence":                func(r *CompleteRequest) { r.Fence = Fence{} },
		"resumed, not-run":        func(r *CompleteRequest) { r.Fence, r.RequestID, r.Outcome = Fence{}, "r", OutcomeNotRun },
		"resumed, other request":  func(r *CompleteRequest) { r.Fence, r.RequestID = Fence{}, "s" },
		"resumed, undetermined":   func(r *CompleteRequest) { r.Fence, r.RequestID, r.Outcome = Fence{}, "r", OutcomeUndetermined },
		"other fence, request ID": func(r *CompleteRequest) { r.Fence.Epoch++; r.RequestID = "r" },
	}
	for name, change := range refused {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(intact)
			a := begun(w)
			var stale *StaleError
			is.True(errors.As(w.finish(a, change), &stale))
			is.Equal(w.lookup(a.key).State, StateInProgress)
		})
	}
	t.Run("resumed, answered", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(intact)
		a := begun(w)
		is.NoErr(w.finish(a, func(r *CompleteRequest) { r.Fence, r.Holder, r.RequestID = Fence{}, "b", "r" }))
		is.Equal(w.lookup(a.key).Outcome, OutcomeAnswered)
	})
	t.Run("answered before begin", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(intact)
		a := w.claim(w.mint("w"), "a")
		var stale *StaleError
		is.True(errors.As(w.finish(a, outcome(OutcomeAnswered)), &stale))
	})
}

// Guards against a begin whose repeated message is refused, which would make a lost reply fatal, and against a
// begin of another content, or after the outcome, that is accepted.
func TestRepeatedBegin(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	a := begun(w)
	r := BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: "a", Engine: "e", RequestID: "r"}
	data, err := w.ledger.Begin(w.clock, r)
	is.NoErr(err)
	is.Equal(len(data), 0)
	other := r
	other.Engine = "f"
	var stale *StaleError
	_, err = w.ledger.Begin(w.clock, other)
	is.True(errors.As(err, &stale))
	is.NoErr(w.finish(a, outcome(OutcomeNotRun)))
	_, err = w.ledger.Begin(w.clock, r)
	is.True(errors.As(err, &stale))
}

// Guards against each part of the fence that is not compared: a begin, release or outcome under an older generation
// or epoch of the same instance, or of another instance that knows the fence, must have no effect.
func TestEveryPartOfTheFenceCounts(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	k := w.mint("w")
	w.claim(k, "a")
	w.crash(0)
	old, current := w.claim(k, "a"), w.claim(k, "a")
	for name, change := range map[string]func(*attempt){
		"generation": func(a *attempt) { a.fence = old.fence },
		"epoch":      func(a *attempt) { a.fence.Epoch-- },
		"holder":     func(a *attempt) { a.holder = "b" },
	} {
		wrong := *current
		change(&wrong)
		var stale *StaleError
		_, err := w.ledger.Begin(w.clock, BeginRequest{Key: k.key, Workspace: "w", Fence: wrong.fence, Holder: wrong.holder, Engine: "e", RequestID: "r"})
		is.True(errors.As(err, &stale)) // begin
		err = w.ledger.Release(w.clock, ReleaseRequest{Key: k.key, Workspace: "w", Fence: wrong.fence, Holder: wrong.holder})
		is.True(errors.As(err, &stale)) // release
		is.True(errors.As(w.finish(&wrong, outcome(OutcomeNotRun)), &stale))
		if t.Failed() {
			t.Fatal(name)
		}
	}
	w.beginAndSettle(current)
	is.Equal(current.step, running)
}

// Guards against a begin that is accepted after the key has expired.
func TestBeginAfterExpiry(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	a := w.claim(w.mint("w"), "a")
	w.clock = w.clock.Add(testLifetime)
	r := BeginRequest{Key: a.key.key, Workspace: "w", Fence: a.fence, Holder: "a", Engine: "e", RequestID: "r"}
	data, err := w.ledger.Begin(w.clock, r)
	var expired *ExpiredError
	is.True(errors.As(err, &expired))
	is.True(len(data) > 0) // the time has to be synced before the error is told
	w.write(data)
	w.sync()
	data, err = w.ledger.Begin(w.clock, r)
	var stale *StaleError
	is.True(errors.As(err, &stale))
	is.Equal(len(data), 0)
}

// Guards against a released claim that can still begin, and a key that stays blocked after a release.
func TestReleaseFreesTheKey(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	k := w.mint("w")
	a := w.claim(k, "a")
	release := ReleaseRequest{Key: k.key, Workspace: "w", Fence: a.fence, Holder: "a"}
	is.NoErr(w.ledger.Release(w.clock, release))
	is.Equal(w.lookup(k).State, StateUnused)
	is.Equal(w.ledger.Stats().Workspaces, 0)
	w.beginAndSettle(a)
	is.True(a.step != running)
	b := w.claim(k, "b")
	var stale *StaleError
	is.True(errors.As(w.ledger.Release(w.clock, release), &stale)) // a repeated message must not free b's claim
	w.beginAndSettle(b)
	is.Equal(b.step, running)
}

// Guards against a failed journal under which begins are still accepted or unsynced outcomes are told, and against
// one that hides the outcomes that are known.
func TestFailedJournal(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	known, waiting, pending := begun(w), w.claim(w.mint("w"), "a"), begun(w)
	unused := w.mint("w")
	is.NoErr(w.finish(known, outcome(OutcomeAnswered)))
	_, err := w.ledger.Complete(w.clock, CompleteRequest{Key: pending.key.key, Workspace: "w", Fence: pending.fence, Holder: "a", Outcome: OutcomeNotRun})
	is.NoErr(err)
	w.ledger.Fail(errors.New("disk"))
	var unavailable *UnavailableError
	_, err = w.ledger.Begin(w.clock, BeginRequest{Key: waiting.key.key, Workspace: "w", Fence: waiting.fence, Holder: "a", Engine: "e", RequestID: "r"})
	is.True(errors.As(err, &unavailable))
	is.True(errors.As(w.finish(known, outcome(OutcomeAnswered)), &unavailable))
	_, _, err = w.ledger.Claim(w.clock, ClaimRequest{Key: unused.key, Workspace: "w", Holder: "a"})
	is.True(errors.As(err, &unavailable))
	_, err = w.ledger.Mint(w.clock, MintRequest{Workspace: "w", Count: 1, Lifetime: time.Minute}, w)
	is.True(errors.As(err, &unavailable))
	w.ledger.recordsCommitted = 0
	w.ledger.recordsCommitted = w.ledger.keys[mustID(known.key.key)].recordNumber
	is.Equal(w.lookup(known.key).Outcome, OutcomeAnswered)
	is.Equal(w.lookup(pending.key), Status{State: StateUndetermined, Holder: "a", Engine: "e", RequestID: "r"})
	w.clock = w.clock.Add(2 * testLifetime)
	_, _, err = w.ledger.Lookup(w.clock, LookupRequest{Key: unused.key, Workspace: "w"})
	is.True(errors.As(err, &unavailable)) // the expiry could not be made durable
}

func mustID(k Key) ID {
	parts, err := k.Parse()
	if err != nil {
		panic(err)
	}
	return parts.ID
}

// Guards against answers that exceed the bound of one copy, of a workspace or of the owner, against an outcome that
// goes with its copy, and against counts that drift.
func TestCopiesAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	w.limits.ResponseBytes = 100
	w.limits.StoredResponseBytes = 600
	w.start()
	answer := func(n int) func(*CompleteRequest) {
		return func(r *CompleteRequest) {
			r.Response = &Response{Status: 200, Header: []HeaderField{{"A", "b"}}, Body: bytes.Repeat([]byte("x"), n)}
		}
	}
	long := begun(w)
	is.NoErr(w.finish(long, answer(99)))
	is.Equal(w.lookup(long.key).Response, &Response{Status: 200, Omitted: true})
	var all []*attempt
	for range 9 {
		a := begun(w)
		is.NoErr(w.finish(a, answer(98)))
		all = append(all, a)
	}
	is.Equal(w.ledger.Stats().CopyBytes, 300) // one workspace gets at most half
	for i, a := range all {
		s := w.lookup(a.key)
		is.Equal(s.Outcome, OutcomeAnswered)
		is.Equal(s.Response.Omitted, i < 6) // the newest copies are kept
	}
	w.compact()
	w.crash(0)
	is.Equal(w.ledger.Stats().CopyBytes, 300)
	w.clock = w.clock.Add(testLifetime + testLinger + 2*time.Minute)
	w.ledger.Tick(w.clock)
	is.Equal(w.ledger.Stats().CopyBytes, 0)
	is.Equal(w.ledger.Stats().Keys+w.ledger.Stats().Workspaces, 0)
	is.Equal(len(w.ledger.removals), 0)
}

// Guards against a workspace that takes all the room and shuts the others out.
func TestOneWorkspaceCannotFillTheOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	w.ledger.limits.Keys = 100
	w.ledger.limits.KeysPerWorkspace = 60
	fill := func(workspace string) int {
		for n := 0; ; n++ {
			k := w.mint(workspace)
			_, _, err := w.ledger.Claim(w.clock, ClaimRequest{Key: k.key, Workspace: workspace, Holder: "a"})
			if err != nil {
				var limit *LimitError
				is.True(errors.As(err, &limit))
				return n
			}
		}
	}
	is.Equal([]int{fill("a"), fill("b"), fill("c"), fill("d")}, []int{50, 25, 13, 6})
	w.ledger.limits.KeysPerWorkspace = 3
	is.Equal(fill("e"), 3)
	w.clock = w.clock.Add(testLimits.ClaimLifetime + time.Minute)
	w.ledger.Tick(w.clock)
	is.Equal(w.ledger.Stats().Claims, 0) // abandoned claims do not occupy the room for ever
}

// Guards against a state that differs after replay, snapshot and restore, and against a snapshot that is read in part.
func TestRestoreGivesTheSameState(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	for i := range 20 {
		a := begun(w)
		if i%3 > 0 {
			is.NoErr(w.finish(a, func(r *CompleteRequest) {
				r.Response = &Response{Status: 200 + i, Body: []byte("answer")}
			}))
		}
	}
	a := w.claim(w.mint("w"), "a")
	w.abandon(a)
	w.settle()
	before := w.ledger
	replayed, err := New("owner", testLimits)
	is.NoErr(err)
	for _, data := range w.disk.records {
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

// Guards against a snapshot that mixes moments because it is encoded while the ledger goes on.
func TestViewDoesNotChange(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	w.ledger.limits.StoredResponseBytes = 50
	answer := func(r *CompleteRequest) { r.Response = &Response{Status: 200, Body: make([]byte, 20)} }
	first, second := begun(w), begun(w)
	is.NoErr(w.finish(first, answer))
	want, err := w.ledger.Snapshot()
	is.NoErr(err)
	view := w.ledger.View()
	is.NoErr(w.finish(second, answer))
	is.True(w.lookup(first.key).Response.Omitted) // its copy has given way
	w.clock = w.clock.Add(time.Hour)
	w.ledger.Tick(w.clock)
	got, err := view.Encode()
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against records of a later version that are skipped or misread.
func TestUnknownVersionsAreRefused(t *testing.T) {
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

// Guards against an epoch that repeats, which would revive the claims of an earlier process.
func TestStartNeedsANewEpoch(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	w.crash(0)
	data, err := w.ledger.Snapshot()
	is.NoErr(err)
	l, err := New("owner", testLimits)
	is.NoErr(err)
	is.NoErr(l.Restore(data))
	_, err = l.Start(w.clock, w.disk.identity)
	var invalid *InvalidRequestError
	is.True(errors.As(err, &invalid))
}
