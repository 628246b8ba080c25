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

// wire is a link.Caller that encodes and decodes as a link does. Peers without handlers are unknown.
type wire struct {
	from  string
	peers map[string]map[link.Kind]link.Handler
	fail  func(to string) error
	calls []string
}

func newWire(from string) *wire {
	return &wire{from: from, peers: map[string]map[link.Kind]link.Handler{}, fail: func(string) error { return nil }}
}

func (w *wire) add(name string, owner ledger.Service) {
	handlers := map[link.Kind]link.Handler{}
	Register(func(k link.Kind, h link.Handler) { handlers[k] = h }, owner)
	w.peers[name] = handlers
}

func (w *wire) Send(string, link.Kind, any) error { return nil }

func (w *wire) Call(ctx context.Context, to string, kind link.Kind, body, reply any) error {
	w.calls = append(w.calls, to)
	if err := w.fail(to); err != nil {
		return err
	}
	handle, found := w.peers[to][kind]
	if !found {
		return &link.UnknownPeerError{Peer: to}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	result, err := handle(ctx, link.Sender{Name: w.from}, data)
	if err != nil {
		return &link.RemoteError{Peer: to, Code: code(err), Detail: err.Error()}
	}
	if data, err = cbor.Marshal(result); err != nil {
		return err
	}
	return cbor.Unmarshal(data, reply)
}

func newTestClient(w *wire, local ledger.Service, owners ...OwnerInfo) *Client {
	return NewClient(ClientOptions{
		Name: "olten-1", DataCentre: "olten", Caller: w, Local: local,
		Owners: func() []OwnerInfo { return owners },
		Random: rand.New(rand.NewPCG(1, 1)),
		// A busy machine must not change the verdict.
		CallTimeout: time.Minute, MintTimeout: time.Minute,
	})
}

// Guards against fields that are lost on the wire, and against a holder that the message may choose.
func TestClientRoundTrip(t *testing.T) {
	is := is.New(t)
	owner, _ := run(t, options(faultfs.New()))
	w := newWire("olten-1")
	w.add("bern-1", owner)
	c := newTestClient(w, nil, OwnerInfo{"bern-1", "bern"})
	keys := mint(t, c, 3)
	first := claim(t, c, keys[0])
	is.True(first.Granted)
	is.Equal(lookup(t, c, keys[0]), ledger.Status{State: ledger.StateClaimed, Holder: "olten-1"})
	is.NoErr(c.Begin(background, beginRequest(keys[0], first)))
	is.Equal(claim(t, c, keys[0]).Status, ledger.Status{State: ledger.StateInProgress, Holder: "olten-1", Engine: "e", RequestID: "r"})
	is.NoErr(c.Complete(background, answered(keys[0], first)))
	is.Equal(string(lookup(t, c, keys[0]).Response.Body), "the answer")
	second := claim(t, c, keys[1])
	is.NoErr(c.Release(background, ledger.ReleaseRequest{Key: keys[1], Workspace: "w", Fence: second.Fence}))
	is.Equal(lookup(t, c, keys[1]).State, ledger.StateUnused)

	w.from = "olten-2" // the message still names olten-1
	third := claim(t, c, keys[2])
	is.Equal(lookup(t, c, keys[2]).Holder, "olten-2")
	w.from = "olten-1"
	var stale *ledger.StaleError
	is.True(errors.As(c.Begin(background, beginRequest(keys[2], third)), &stale))
	is.Equal(stale.Fence, third.Fence)
}

// Guards against an answer above the bound that is sent over the link.
func TestClientBoundsAnswers(t *testing.T) {
	is := is.New(t)
	owner, _ := run(t, options(faultfs.New()))
	w := newWire("olten-1")
	w.add("bern-1", owner)
	c := newTestClient(w, nil, OwnerInfo{"bern-1", "bern"})
	c.options.ResponseBytes = 5
	key := mint(t, c, 1)[0]
	grant := claim(t, c, key)
	is.NoErr(c.Begin(background, beginRequest(key, grant)))
	is.NoErr(c.Complete(background, answered(key, grant)))
	is.Equal(lookup(t, c, key).Response, &ledger.Response{Status: 201, Omitted: true})
}

// stub is an owner that fails every call.
type stub struct {
	ledger.Service
	err error
}

func (s stub) Begin(context.Context, ledger.BeginRequest) error { return s.err }

// Guards against an error that loses its type on the way, which would let a caller draw the wrong conclusion.
func TestErrorsKeepTheirType(t *testing.T) {
	owner, _ := run(t, options(faultfs.New()))
	key := mint(t, owner, 1)[0]
	for _, err := range []error{
		&ledger.InvalidKeyError{}, &ledger.WrongOwnerError{}, &ledger.ExpiredError{}, &ledger.LostError{},
		&ledger.StaleError{}, &ledger.MismatchError{}, &ledger.FinishedError{}, &ledger.LimitError{},
		&ledger.UnavailableError{}, &ledger.InvalidRequestError{}, &BusyError{}, &ClosedError{},
	} {
		w := newWire("olten-1")
		w.add("bern-1", stub{err: err})
		got := newTestClient(w, nil).Begin(background, beginRequest(key, ledger.Grant{}))
		if reflect.TypeOf(got) != reflect.TypeOf(err) || code(got) != code(err) {
			t.Errorf("%T arrived as %T", err, got)
		}
	}
}

// Guards against a request that may have arrived and is reported as if it had not.
func TestUnreachableTellsWhetherTheMessageMayHaveArrived(t *testing.T) {
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
		w := newWire("olten-1")
		w.fail = func(string) error { return row.err }
		err := newTestClient(w, nil).Begin(background, beginRequest(key, ledger.Grant{}))
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) || unreachable.MayHaveArrived != row.mayHaveArrived || !errors.Is(err, row.err) {
			t.Errorf("%T: got %v", row.err, err)
		}
	}
}

// Guards against minting that prefers a distant or failing owner, loads one owner only, or gives up too early.
func TestMintPicksAnOwner(t *testing.T) {
	is := is.New(t)
	w := newWire("olten-1")
	owners := []OwnerInfo{{"bern-1", "bern"}, {"olten-2", "olten"}, {"olten-3", "olten"}, {"aarau-1", "aarau"}}
	for _, o := range owners {
		options := options(faultfs.New())
		options.Name = o.Name
		owner, _ := run(t, options)
		w.add(o.Name, owner)
	}
	c := newTestClient(w, nil, owners...)
	now := time.Now()
	c.options.Now = func() time.Time { return now }
	use := func(n int) map[string]int {
		counts := map[string]int{}
		for range n {
			parts, err := mint(t, c, 1)[0].Parse()
			is.NoErr(err)
			counts[parts.Owner]++
		}
		return counts
	}
	near := use(200)
	is.Equal(near["olten-2"]+near["olten-3"], 200)
	is.True(near["olten-2"] > 50 && near["olten-3"] > 50)

	down := map[string]bool{"olten-2": true, "olten-3": true}
	w.fail = func(to string) error {
		if down[to] {
			return &link.UnreachableError{Peer: to}
		}
		return nil
	}
	w.calls = nil
	far := use(200)
	is.True(far["bern-1"] > 50 && far["aarau-1"] > 50)
	is.True(len(w.calls) <= 202) // each failing owner is tried once and then avoided
	down = nil
	now = now.Add(mintBackoff)
	is.Equal(use(10)["bern-1"], 0)

	w.fail = func(to string) error { return &link.UnreachableError{Peer: to} }
	_, err := c.Mint(background, ledger.MintRequest{Workspace: "w", Count: 1, Lifetime: time.Hour})
	var none *NoOwnerError
	is.True(errors.As(err, &none))
	var invalid *ledger.InvalidRequestError
	w.fail = func(string) error { return nil }
	_, err = c.Mint(background, ledger.MintRequest{})
	is.True(errors.As(err, &invalid))
}

// Guards against calls to the local owner that take the link, or keys of other owners that do not.
func TestClientUsesTheLocalOwner(t *testing.T) {
	is := is.New(t)
	o := options(faultfs.New())
	o.Name = "olten-1"
	local, _ := run(t, o)
	remote, _ := run(t, options(faultfs.New()))
	w := newWire("olten-1")
	w.add("bern-1", remote)
	c := newTestClient(w, local, OwnerInfo{"olten-1", "olten"}, OwnerInfo{"bern-1", "bern"})
	key := mint(t, c, 1)[0]
	is.NoErr(c.Begin(background, beginRequest(key, claim(t, c, key))))
	is.Equal(len(w.calls), 0)
	claim(t, c, mint(t, remote, 1)[0])
	is.Equal(w.calls, []string{"bern-1"})
	_, err := c.Lookup(background, ledger.LookupRequest{Key: "not a key", Workspace: "w"})
	var invalid *ledger.InvalidKeyError
	is.True(errors.As(err, &invalid))
}

// Guards against a message decoder that panics.
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
