package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// claim starts an attempt and delivers its claim.
func (sim *simulation) claim(k *keyState, holder string) *attempt {
	a := sim.attempt(k, holder)
	sim.deliverSynced()
	return a
}

// beginAndDeliver begins a claimed attempt and delivers all messages.
func (sim *simulation) beginAndDeliver(a *attempt) {
	if a.state == claimed {
		sim.begin(a)
	}
	sim.deliverSynced()
}

// deliverUnsynced delivers all messages without a sync, and all replies that do not depend on one.
func (sim *simulation) deliverUnsynced() {
	messages := sim.messages
	sim.messages = nil
	for _, m := range messages {
		sim.deliver(m)
	}
	replies := sim.replies
	sim.replies = nil
	for _, r := range replies {
		sim.receive(r)
	}
}

// claimDirectly delivers one claim and returns its reply after a sync.
func (sim *simulation) claimDirectly(r ClaimRequest) reply {
	sim.deliver(message{from: &attempt{key: &keyState{}}, request: r})
	sim.sync()
	last := sim.replies[len(sim.replies)-1]
	sim.replies = nil
	return last
}

// expectError checks that err has the type of target.
func (sim *simulation) expectError(err error, target any) {
	if !errors.As(err, target) {
		sim.check(fmt.Errorf("got error %v, want %T", err, target))
	}
}

var errGranted = errors.New("a claim was granted")

// expectNotGranted checks that a claim was not granted.
func (sim *simulation) expectNotGranted(r reply) {
	if r.grant.Granted {
		sim.check(errGranted)
	}
}

// scenario is a sequence of events that must pass without a mutation and be detected as a failure with it.
type scenario struct {
	failure  string
	mutation mutation
	run      func(sim *simulation)
}

var scenarios = []scenario{
	{"a claim lost with the disk and granted again", keepIdentity, func(sim *simulation) {
		k := sim.mint("w")
		sim.beginAndDeliver(sim.claim(k, "a"))
		sim.replaceDisk()
		sim.start()
		sim.beginAndDeliver(sim.claim(k, "b"))
		r := sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"})
		sim.expectNotGranted(r)
		if r.grant.Status.State != StateUndetermined {
			sim.check(fmt.Errorf("state %s", r.grant.Status.State))
		}
	}},
	{"a late begin of an instance that was frozen while the key was claimed again", ignoreFence, func(sim *simulation) {
		k := sim.mint("w")
		frozen := sim.claim(k, "a")
		sim.beginAndDeliver(sim.claim(k, "b"))
		sim.beginAndDeliver(frozen)
		second := sim.mint("w")
		frozen = sim.claim(second, "a")
		other := sim.claim(second, "b")
		sim.beginAndDeliver(frozen)
		sim.beginAndDeliver(other)
		if other.state != running {
			sim.check(errors.New("the current holder could not begin"))
		}
	}},
	{"a late begin under a claim of the owner's previous epoch", ignoreFence, func(sim *simulation) {
		k := sim.mint("w")
		frozen := sim.claim(k, "a")
		sim.crash(0)
		other := sim.claim(k, "b")
		sim.beginAndDeliver(frozen)
		sim.beginAndDeliver(other)
		if other.state != running {
			sim.check(errors.New("the current holder could not begin"))
		}
	}},
	{"not-run reported while another instance holds the claim", notRunUnconfirmed, func(sim *simulation) {
		k := sim.mint("w")
		first, second := sim.claim(k, "a"), sim.claim(k, "b")
		sim.cancel(first)
		sim.deliverSynced()
		sim.beginAndDeliver(second)
	}},
	{"not-run reported after a release and a later claim", notRunByRelease, func(sim *simulation) {
		k := sim.mint("w")
		sim.cancel(sim.claim(k, "a"))
		sim.deliverSynced()
		sim.beginAndDeliver(sim.claim(k, "b"))
	}},
	{"not-run reported before it is synced, and lost in a crash", reportUnsynced, func(sim *simulation) {
		k := sim.mint("w")
		sim.cancel(sim.claim(k, "a"))
		sim.deliverUnsynced()
		sim.attempt(k, "b")
		sim.deliverUnsynced()
		sim.crash(0)
		sim.beginAndDeliver(sim.claim(k, "c"))
	}},
	{"a begin acknowledged before the sync, and lost in a crash", acknowledgeUnsynced, func(sim *simulation) {
		k := sim.mint("w")
		sim.begin(sim.claim(k, "a"))
		sim.deliverUnsynced()
		sim.crash(0)
		sim.beginAndDeliver(sim.claim(k, "b"))
	}},
	{"a key that runs again after retention and a clock step backwards across a restart", forgetTime, func(sim *simulation) {
		k := sim.mint("w")
		start := sim.clock
		sim.beginAndDeliver(sim.claim(k, "a"))
		sim.clock = start.Add(testLifetime + testRetention + 2*time.Minute)
		sim.ledger.Tick(sim.clock)
		if sim.ledger.Stats().Keys != 0 {
			sim.check(errors.New("the key was not removed after retention"))
		}
		sim.compact()
		sim.clock = start
		sim.crash(0)
		sim.beginAndDeliver(sim.claim(k, "b"))
		var expired *ExpiredError
		sim.expectError(sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"}).err, &expired)
	}},
	{"a key reported as expired that is granted after a clock step backwards across a restart", forgetTime, func(sim *simulation) {
		k := sim.mint("w")
		start := sim.clock
		sim.clock = start.Add(testLifetime)
		request := ClaimRequest{Key: k.key, Workspace: "w", Holder: "a"}
		var expired *ExpiredError
		sim.expectError(sim.claimDirectly(request).err, &expired)
		sim.clock = start
		sim.crash(0)
		sim.expectError(sim.claimDirectly(request).err, &expired)
	}},
	{"a retry during the first attempt that is dispatched too", ignoreEntry, func(sim *simulation) {
		k := sim.mint("w")
		sim.beginAndDeliver(sim.claim(k, "a"))
		r := sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: NewFingerprint([]byte(testBody)), Holder: "b"})
		sim.expectNotGranted(r)
		want := Status{State: StateInProgress, Holder: "a", Engine: "e", RequestID: "r"}
		if r.grant.Status != want {
			sim.check(fmt.Errorf("status %+v", r.grant.Status))
		}
	}},
	{"a forged key", skipMAC, func(sim *simulation) {
		parts, err := sim.mint("w").key.Parse()
		sim.check(err)
		parts.ID[0]++
		var invalid *InvalidKeyError
		sim.expectError(sim.claimDirectly(ClaimRequest{
			Key: parts.encode(newSigner(make([]byte, MinSecretBytes))), Workspace: "w", Holder: "a",
		}).err, &invalid)
		parts.Expiry = parts.Expiry.Add(time.Hour)
		sim.expectError(sim.claimDirectly(ClaimRequest{
			Key: parts.encode(newSigner(nil)), Workspace: "w", Holder: "a",
		}).err, &invalid)
	}},
	{"a key of another workspace", skipMAC, func(sim *simulation) {
		k := sim.mint("w")
		sim.beginAndDeliver(sim.claim(k, "a"))
		var invalid *InvalidKeyError
		sim.expectError(sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "x", Holder: "a"}).err, &invalid)
		sim.expectError(sim.claimDirectly(ClaimRequest{Key: sim.mint("w").key, Workspace: "x", Holder: "a"}).err, &invalid)
	}},
	{"the same key with another body", skipFingerprint, func(sim *simulation) {
		k := sim.mint("w")
		sim.beginAndDeliver(sim.claim(k, "a"))
		var mismatch *MismatchError
		other := NewFingerprint([]byte("other body"))
		sim.expectError(sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "w", Fingerprint: other, Holder: "a"}).err, &mismatch)
	}},
}

// TestScenarios guards against the failure named in each scenario. The scenario must pass without a mutation,
// and must detect the failure when its mutation is applied.
func TestScenarios(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.failure, func(t *testing.T) {
			sim := newSimulation(noMutation)
			s.run(sim)
			if sim.violation != nil {
				t.Errorf("without a mutation: %v", sim.violation)
			}
			sim = newSimulation(s.mutation)
			s.run(sim)
			if sim.violation == nil {
				t.Errorf("mutation not detected: %s", s.mutation)
			}
		})
	}
}

// TestMismatchBeforeBegin guards against a claim with another body that replaces the current claim.
func TestMismatchBeforeBegin(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(noMutation)
	k := sim.mint("w")
	a := sim.claim(k, "a")
	var mismatch *MismatchError
	is.True(errors.As(sim.claimDirectly(ClaimRequest{Key: k.key, Workspace: "w", Holder: "b"}).err, &mismatch))
	sim.beginAndDeliver(a)
	is.Equal(a.state, running)
}
