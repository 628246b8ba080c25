package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/primrosebeam/primrosebeam/internal/link"
	"github.com/primrosebeam/primrosebeam/journal/faultfs"
	"github.com/primrosebeam/primrosebeam/ledger"
)

// fakeCaller is a link.Caller that encodes and decodes messages as a link does, and calls the handlers
// directly. Peers without handlers are unknown.
type fakeCaller struct {
	from  string // name of the sender
	peers map[string]map[link.Kind]link.Handler
	fail  func(to string) error // returns the error of a call, or nil
	calls []string              // names of the called peers
}

func newFakeCaller(from string) *fakeCaller {
	return &fakeCaller{from: from, peers: map[string]map[link.Kind]link.Handler{}, fail: func(string) error { return nil }}
}

func (caller *fakeCaller) add(name string, owner ledger.Service) {
	handlers := map[link.Kind]link.Handler{}
	Register(func(k link.Kind, h link.Handler) { handlers[k] = h }, owner)
	caller.peers[name] = handlers
}

func (caller *fakeCaller) Send(string, link.Kind, any) error { return nil }

func (caller *fakeCaller) Call(ctx context.Context, to string, kind link.Kind, body, reply any) error {
	caller.calls = append(caller.calls, to)
	if err := caller.fail(to); err != nil {
		return err
	}
	handle, found := caller.peers[to][kind]
	if !found {
		return &link.UnknownPeerError{Peer: to}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	result, err := handle(ctx, link.Sender{Name: caller.from}, data)
	if err != nil {
		return &link.RemoteError{Peer: to, Code: code(err), Detail: err.Error()}
	}
	if data, err = cbor.Marshal(result); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func newTestClient(caller *fakeCaller, local ledger.Service, owners ...OwnerInfo) *Client {
	return NewClient(ClientOptions{
		Name: "olten-1", DataCentre: "olten", Caller: caller, Local: local,
		Owners: func() []OwnerInfo { return owners },
		Random: rand.New(rand.NewPCG(1, 1)),
		// The limits are long, so that a busy machine does not change the result.
		CallTimeout: time.Minute, MintTimeout: time.Minute,
	})
}

// TestClientRoundTrip guards against fields that are lost in encoding, and against a holder that is taken
// from the message instead of its sender.
func TestClientRoundTrip(t *testing.T) {
	is := is.New(t)
	owner, _ := run(t, options(faultfs.New()))
	caller := newFakeCaller("olten-1")
	caller.add("bern-1", owner)
	c := newTestClient(caller, nil, OwnerInfo{"bern-1", "bern"})
	keys := mint(t, c, 3)
	first := claim(t, c, keys[0])
	is.True(first.Granted)
	is.Equal(lookup(t, c, keys[0]), ledger.Status{State: ledger.StateClaimed, Holder: "olten-1"})
	is.NoErr(c.Begin(background, beginRequest(keys[0], first)))
	is.Equal(claim(t, c, keys[0]).Status, ledger.Status{
		State: ledger.StateInProgress, Holder: "olten-1", Engine: "e", RequestID: "r",
	})
	is.NoErr(c.Complete(background, answered(keys[0], first)))
	is.Equal(string(lookup(t, c, keys[0]).Response.Body), "the answer")
	second := claim(t, c, keys[1])
	is.NoErr(c.Release(background, ledger.ReleaseRequest{Key: keys[1], Workspace: "w", Fence: second.Fence}))
	is.Equal(lookup(t, c, keys[1]).State, ledger.StateUnused)

	caller.from = "olten-2" // the message still contains olten-1 as the holder
	third := claim(t, c, keys[2])
	is.Equal(lookup(t, c, keys[2]).Holder, "olten-2")
	caller.from = "olten-1"
	var stale *ledger.StaleError
	is.True(errors.As(c.Begin(background, beginRequest(keys[2], third)), &stale))
	is.Equal(stale.Fence, third.Fence)
}

// TestClientLimitsResponses guards against a response above the size limit that is sent over the link.
func TestClientLimitsResponses(t *testing.T) {
	is := is.New(t)
	owner, _ := run(t, options(faultfs.New()))
	caller := newFakeCaller("olten-1")
	caller.add("bern-1", owner)
	c := newTestClient(caller, nil, OwnerInfo{"bern-1", "bern"})
	c.options.ResponseBytes = 5
	key := mint(t, c, 1)[0]
	grant := claim(t, c, key)
	is.NoErr(c.Begin(background, beginRequest(key, grant)))
	is.NoErr(c.Complete(background, answered(key, grant)))
	is.Equal(lookup(t, c, key).Response, &ledger.Response{Status: 201, Omitted: true})
}

// stub is an owner whose Begin always returns err.
type stub struct {
	ledger.Service
	err error
}

func (s stub) Begin(context.Context, ledger.BeginRequest) error { return s.err }

// TestErrorsKeepTheirType guards against an error that loses its type between instances, so that the caller
// handles it as another error.
func TestErrorsKeepTheirType(t *testing.T) {
	owner, _ := run(t, options(faultfs.New()))
	key := mint(t, owner, 1)[0]
	for _, err := range []error{
		&ledger.InvalidKeyError{}, &ledger.WrongOwnerError{}, &ledger.ExpiredError{}, &ledger.LostError{},
		&ledger.StaleError{}, &ledger.MismatchError{}, &ledger.FinishedError{}, &ledger.LimitError{},
		&ledger.UnavailableError{}, &ledger.InvalidRequestError{}, &BusyError{}, &ClosedError{},
	} {
		caller := newFakeCaller("olten-1")
		caller.add("bern-1", stub{err: err})
		got := newTestClient(caller, nil).Begin(background, beginRequest(key, ledger.Grant{}))
		if reflect.TypeOf(got) != reflect.TypeOf(err) || code(got) != code(err) {
			t.Errorf("%T arrived as %T", err, got)
		}
	}
}

// TestUnreachableErrorReportsPossibleArrival guards against a request that may have arrived but is reported
// as not received.
func TestUnreachableErrorReportsPossibleArrival(t *testing.T) {
	owner, _ := run(t, options(faultfs.New()))
	key := mint(t, owner, 1)[0]
	for _, row := range []struct {
		err            error
		mayHaveArrived bool
	}{
		{&link.UnreachableError{Sent: false}, false},
		{&link.UnreachableError{Sent: true}, true},
		{&link.UnknownPeerError{}, false},
		{&link.FullError{}, false},
		{context.DeadlineExceeded, true},
		{&link.RemoteError{Code: CodeUnreachable}, true},
		{&link.RemoteError{Code: "unheard-of"}, true},
	} {
		caller := newFakeCaller("olten-1")
		caller.fail = func(string) error { return row.err }
		err := newTestClient(caller, nil).Begin(background, beginRequest(key, ledger.Grant{}))
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || unreachable.MayHaveArrived != row.mayHaveArrived || !errors.Is(err, row.err) {
			t.Errorf("%T: got %v", row.err, err)
		}
	}
}

// TestMintSelectsOwners guards against minting that prefers an owner in another data centre or a failing
// owner, uses only one owner, or returns an error before all owners were tried.
func TestMintSelectsOwners(t *testing.T) {
	is := is.New(t)
	caller := newFakeCaller("olten-1")
	owners := []OwnerInfo{{"bern-1", "bern"}, {"olten-2", "olten"}, {"olten-3", "olten"}, {"aarau-1", "aarau"}}
	for _, o := range owners {
		options := options(faultfs.New())
		options.Name = o.Name
		owner, _ := run(t, options)
		caller.add(o.Name, owner)
	}
	c := newTestClient(caller, nil, owners...)
	now := time.Now()
	c.options.Now = func() time.Time { return now }
	mintCounts := func(n int) map[string]int {
		counts := map[string]int{}
		for range n {
			parts, err := mint(t, c, 1)[0].Parse()
			is.NoErr(err)
			counts[parts.Owner]++
		}
		return counts
	}
	near := mintCounts(200)
	is.Equal(near["olten-2"]+near["olten-3"], 200)
	is.True(near["olten-2"] > 50 && near["olten-3"] > 50)

	unreachable := map[string]bool{"olten-2": true, "olten-3": true}
	caller.fail = func(to string) error {
		if unreachable[to] {
			return &link.UnreachableError{Peer: to}
		}
		return nil
	}
	caller.calls = nil
	far := mintCounts(200)
	is.True(far["bern-1"] > 50 && far["aarau-1"] > 50)
	is.True(len(caller.calls) <= 202) // each failing owner is tried once before its backoff
	unreachable = nil
	now = now.Add(mintBackoff)
	is.Equal(mintCounts(10)["bern-1"], 0)

	caller.fail = func(to string) error { return &link.UnreachableError{Peer: to} }
	_, err := c.Mint(background, ledger.MintRequest{Workspace: "w", Count: 1, Lifetime: time.Hour})
	var noOwner *NoOwnerError
	is.True(errors.As(err, &noOwner))
	var invalid *ledger.InvalidRequestError
	caller.fail = func(string) error { return nil }
	_, err = c.Mint(background, ledger.MintRequest{})
	is.True(errors.As(err, &invalid))
}

// slowOwner is an owner that mints keys after a delay.
type slowOwner struct {
	ledger.Service
	delay time.Duration
}

func (s slowOwner) Mint(ctx context.Context, _ ledger.MintRequest) ([]ledger.Key, error) {
	select {
	case <-time.After(s.delay):
		return []ledger.Key{"key"}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestMintWaitsForTheLastOwner guards against a request for keys that is refused although the only owner that is left
// would have answered within the time limit of a call, for example after a slow sync.
func TestMintWaitsForTheLastOwner(t *testing.T) {
	for name, owners := range map[string][]OwnerInfo{
		"remote, alone":       {{"bern-1", "bern"}},
		"local, alone":        {{"olten-1", "olten"}},
		"after another owner": {{"olten-2", "olten"}, {"bern-1", "bern"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			caller := newFakeCaller("olten-1")
			caller.add("bern-1", slowOwner{delay: 2 * DefaultMintTimeout})
			caller.add("olten-2", slowOwner{delay: time.Hour})
			c := newTestClient(caller, slowOwner{delay: 2 * DefaultMintTimeout}, owners...)
			c.options.MintTimeout = DefaultMintTimeout
			keys, err := c.Mint(background, ledger.MintRequest{Workspace: "w", Count: 1, Lifetime: time.Hour})
			is.NoErr(err)
			is.Equal(keys, []ledger.Key{"key"})
		})
	}
}

// TestClientUsesTheLocalOwner guards against calls to the local owner that use the link, and against keys of
// other owners that are passed to the local owner.
func TestClientUsesTheLocalOwner(t *testing.T) {
	is := is.New(t)
	o := options(faultfs.New())
	o.Name = "olten-1"
	local, _ := run(t, o)
	remote, _ := run(t, options(faultfs.New()))
	caller := newFakeCaller("olten-1")
	caller.add("bern-1", remote)
	c := newTestClient(caller, local, OwnerInfo{"olten-1", "olten"}, OwnerInfo{"bern-1", "bern"})
	key := mint(t, c, 1)[0]
	is.NoErr(c.Begin(background, beginRequest(key, claim(t, c, key))))
	is.Equal(len(caller.calls), 0)
	claim(t, c, mint(t, remote, 1)[0])
	is.Equal(caller.calls, []string{"bern-1"})
	_, err := c.Lookup(background, ledger.LookupRequest{Key: "not a key", Workspace: "w"})
	var invalid *ledger.InvalidKeyError
	is.True(errors.As(err, &invalid))
}

// FuzzMessages guards against a message decoder that panics.
func FuzzMessages(f *testing.F) {
	owner := stub{err: &ledger.LostError{}}
	handlers := map[link.Kind]link.Handler{}
	Register(func(k link.Kind, h link.Handler) { handlers[k] = h }, owner)
	data, err := cbor.Marshal(beginRequest("key", ledger.Grant{}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := handlers[KindBegin](background, link.Sender{}, data); err == nil {
			t.Fatal("the stub's error was lost")
		}
	})
}
