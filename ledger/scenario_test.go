package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func (w *world) claim(k *keyState, holder string) *attempt {
	a := w.attempt(k, holder)
	w.settle()
	return a
}

func (w *world) beginAndSettle(a *attempt) {
	if a.step == claimed {
		w.begin(a)
	}
	w.settle()
}

// deliverAll hands over every message without a sync, and every reply that does not wait for one.
func (w *world) deliverAll() {
	messages := w.messages
	w.messages = nil
	for _, m := range messages {
		w.deliver(m)
	}
	replies := w.replies
	w.replies = nil
	for _, r := range replies {
		w.receive(r)
	}
}

// ask delivers one claim and returns its reply after a sync.
func (w *world) ask(r ClaimRequest) reply {
	w.deliver(message{from: &attempt{key: &keyState{}}, request: r})
	w.sync()
	answer := w.replies[len(w.replies)-1]
	w.replies = nil
	return answer
}

func (w *world) expect(err error, target any) {
	if !errors.As(err, target) {
		w.check(fmt.Errorf("got error %v, want %T", err, target))
	}
}

var errGranted = errors.New("a claim was granted")

func (w *world) refuse(r reply) {
	if r.grant.Granted {
		w.check(errGranted)
	}
}

type scenario struct {
	guardsAgainst string
	without       variant
	run           func(w *world)
}

var scenarios = []scenario{
	{"a claim lost with the disk and granted again", keepIdentity, func(w *world) {
		k := w.mint("w")
		w.beginAndSettle(w.claim(k, "a"))
		w.replaceDisk()
		w.start()
		w.beginAndSettle(w.claim(k, "b"))
		r := w.ask(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"})
		w.refuse(r)
		if r.grant.Status.State != StateUndetermined {
			w.check(fmt.Errorf("state %s", r.grant.Status.State))
		}
	}},
	{"a late begin of an instance that was frozen while the key was claimed anew", ignoreFence, func(w *world) {
		k := w.mint("w")
		frozen := w.claim(k, "a")
		w.beginAndSettle(w.claim(k, "b"))
		w.beginAndSettle(frozen)
		second := w.mint("w")
		frozen = w.claim(second, "a")
		other := w.claim(second, "b")
		w.beginAndSettle(frozen)
		w.beginAndSettle(other)
		if other.step != running {
			w.check(errors.New("the current holder could not begin"))
		}
	}},
	{"a late begin under a claim of the owner's previous epoch", ignoreFence, func(w *world) {
		k := w.mint("w")
		frozen := w.claim(k, "a")
		w.crash(0)
		other := w.claim(k, "b")
		w.beginAndSettle(frozen)
		w.beginAndSettle(other)
		if other.step != running {
			w.check(errors.New("the current holder could not begin"))
		}
	}},
	{"not-run told while another instance holds the claim", notRunUnasked, func(w *world) {
		k := w.mint("w")
		first, second := w.claim(k, "a"), w.claim(k, "b")
		w.abandon(first)
		w.settle()
		w.beginAndSettle(second)
	}},
	{"not-run told after a release and a later claim", notRunByRelease, func(w *world) {
		k := w.mint("w")
		w.abandon(w.claim(k, "a"))
		w.settle()
		w.beginAndSettle(w.claim(k, "b"))
	}},
	{"not-run told before it is synced, and forgotten in a crash", tellUnsynced, func(w *world) {
		k := w.mint("w")
		w.abandon(w.claim(k, "a"))
		w.deliverAll()
		w.attempt(k, "b")
		w.deliverAll()
		w.crash(0)
		w.beginAndSettle(w.claim(k, "c"))
	}},
	{"a begin acknowledged before the sync, and forgotten in a crash", acknowledgeUnsynced, func(w *world) {
		k := w.mint("w")
		w.begin(w.claim(k, "a"))
		w.deliverAll()
		w.crash(0)
		w.beginAndSettle(w.claim(k, "b"))
	}},
	{"a key that runs again after retention and a clock step backwards across a restart", forgetTime, func(w *world) {
		k := w.mint("w")
		start := w.clock
		w.beginAndSettle(w.claim(k, "a"))
		w.clock = start.Add(testLifetime + testLinger + 2*time.Minute)
		w.ledger.Tick(w.clock)
		if w.ledger.Stats().Keys != 0 {
			w.check(errors.New("the key was not dropped after retention"))
		}
		w.compact()
		w.clock = start
		w.crash(0)
		w.beginAndSettle(w.claim(k, "b"))
		var expired *ExpiredError
		w.expect(w.ask(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"}).err, &expired)
	}},
	{"a key told to be expired that is granted after a clock step backwards across a restart", forgetTime, func(w *world) {
		k := w.mint("w")
		start := w.clock
		w.clock = start.Add(testLifetime)
		request := ClaimRequest{Key: k.key, Workspace: "w", Holder: "a"}
		var expired *ExpiredError
		w.expect(w.ask(request).err, &expired)
		w.clock = start
		w.crash(0)
		w.expect(w.ask(request).err, &expired)
	}},
	{"a resend during the first attempt that is dispatched too", forgetBegun, func(w *world) {
		k := w.mint("w")
		w.beginAndSettle(w.claim(k, "a"))
		r := w.ask(ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: NewFingerprint([]byte(testBody)), Holder: "b"})
		w.refuse(r)
		want := Status{State: StateInProgress, Holder: "a", Engine: "e", RequestID: "r"}
		if r.grant.Status != want {
			w.check(fmt.Errorf("status %+v", r.grant.Status))
		}
	}},
	{"a forged key", skipMAC, func(w *world) {
		parts, err := w.mint("w").key.Parse()
		w.check(err)
		parts.ID[0]++
		var invalid *InvalidKeyError
		w.expect(w.ask(ClaimRequest{Key: parts.encode(newSigner(make([]byte, MinSecretBytes))), Workspace: "w", Holder: "a"}).err, &invalid)
		parts.Expiry = parts.Expiry.Add(time.Hour)
		w.expect(w.ask(ClaimRequest{Key: parts.encode(newSigner(nil)), Workspace: "w", Holder: "a"}).err, &invalid)
	}},
	{"a key borrowed from another workspace", skipMAC, func(w *world) {
		k := w.mint("w")
		w.beginAndSettle(w.claim(k, "a"))
		var invalid *InvalidKeyError
		w.expect(w.ask(ClaimRequest{Key: k.key, Workspace: "x", Holder: "a"}).err, &invalid)
		w.expect(w.ask(ClaimRequest{Key: w.mint("w").key, Workspace: "x", Holder: "a"}).err, &invalid)
	}},
	{"the same key with another body", skipFingerprint, func(w *world) {
		k := w.mint("w")
		w.beginAndSettle(w.claim(k, "a"))
		var mismatch *MismatchError
		other := NewFingerprint([]byte("other body"))
		w.expect(w.ask(ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: other, Holder: "a"}).err, &mismatch)
	}},
}

// Guards against the failure named in each row. The same run must notice the failure when its guard is removed.
func TestGuards(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.guardsAgainst, func(t *testing.T) {
			w := newWorld(intact)
			s.run(w)
			if w.fault != nil {
				t.Errorf("with every guard: %v", w.fault)
			}
			w = newWorld(s.without)
			s.run(w)
			if w.fault == nil {
				t.Errorf("nothing noticed that %s", s.without)
			}
		})
	}
}

// Guards against a claim with another body that replaces the waiting one.
func TestMismatchBeforeBegin(t *testing.T) {
	is := is.New(t)
	w := newWorld(intact)
	k := w.mint("w")
	a := w.claim(k, "a")
	var mismatch *MismatchError
	is.True(errors.As(w.ask(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"}).err, &mismatch))
	w.beginAndSettle(a)
	is.Equal(a.step, running)
}
